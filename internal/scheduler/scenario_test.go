package scheduler_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

func one(name account.Name, class account.Class, workers, accelerators int) scheduler.Job {
	return scheduler.Job{
		Account: name, Class: class, Idempotent: true, Checkpoint: true, Expected: time.Hour,
		Shape: floor.Shape{Workers: workers, Accelerators: accelerators, Adjacency: floor.AdjacentRack},
	}
}

// fill submits jobs until nothing is free.
func (m *model) fill(t *testing.T, entry scheduler.Job, count int, actual time.Duration) {
	t.Helper()
	for range count {
		if err := m.submit(entry, actual); err != nil {
			t.Fatal(err)
		}
	}
	m.decide()
}

// wait lets the time pass in steps until the job runs, and returns how long.
func (m *model) wait(t *testing.T, id job.ID, step, limit time.Duration) time.Duration {
	t.Helper()
	since := m.now
	for m.decide(); m.jobs[id].step != running; m.decide() {
		m.advance(step)
		if m.now.Sub(since) > limit {
			e, _ := m.policy.Explain(m.now, id)
			t.Fatalf("job %s waits after %v: %+v", id, limit, e)
		}
	}
	if len(m.faults) > 0 {
		t.Fatal(m.faults)
	}
	return m.now.Sub(since)
}

func (m *model) last() job.ID {
	return job.ID(fmt.Sprintf("j%05d", m.next-1))
}

func TestAdmit(t *testing.T) {
	limited := accountOf("a")
	limited.Parameters.QueueLimit = 1
	m := newModel(floorOf(3), []account.Account{limited})
	tests := []struct {
		name    string
		shape   floor.Shape
		refused bool
		never   bool
	}{
		{"too wide", floor.Shape{Workers: 4, Accelerators: 1}, true, true},
		{"too deep", floor.Shape{Workers: 1, Accelerators: 9}, true, true},
		{"too many cores", floor.Shape{Workers: 1, Cores: 33}, true, true},
		{"negative", floor.Shape{Workers: 1, Accelerators: -1}, true, true},
		{"fits", floor.Shape{Workers: 3, Accelerators: 8}, false, false},
		{"over the limit", floor.Shape{Workers: 1, Accelerators: 1}, true, false},
	}
	for _, test := range tests {
		err := m.submit(scheduler.Job{Account: "a", Shape: test.shape}, time.Hour)
		var refused *scheduler.RefusedError
		if errors.As(err, &refused) != test.refused || test.refused && refused.Never != test.never {
			t.Errorf("%s: %v", test.name, err)
		}
	}
	unknown := scheduler.New()
	if err := unknown.Admit(m.now, scheduler.Job{ID: "x", Shape: floor.Shape{Workers: 99, Accelerators: 8}}); err != nil {
		t.Errorf("refused on an unknown floor: %v", err)
	}
}

func TestCheckAccounts(t *testing.T) {
	m := newModel(floorOf(6), nil)
	wide := accountOf("a", guarantee(3, 8, 2, floor.AdjacentRack))
	if err := m.policy.CheckAccounts([]account.Account{wide}); err != nil {
		t.Error(err)
	}
	for _, more := range []account.Guarantee{guarantee(1, 1, 1, ""), guarantee(1, 0, 1, "")} {
		err := m.policy.CheckAccounts([]account.Account{wide, accountOf("b", more)})
		var guarantee *scheduler.GuaranteeError
		if !errors.As(err, &guarantee) || guarantee.Account != "b" {
			t.Errorf("a full floor holds %+v: %v", more, err)
		}
	}
}

// TestClaim holds the bound in which a guaranteed shape is there: the grace, the
// time to stop, and a second order to those that do not answer.
func TestClaim(t *testing.T) {
	m := newModel(floorOf(9), []account.Account{accountOf("a", guarantee(2, 8, 1, floor.AdjacentRack)), accountOf("b")})
	m.fill(t, one("b", "reports", 1, 1), 80, 100*time.Hour)
	_ = m.submit(one("a", "reports", 2, 8), time.Hour)
	if took := m.wait(t, m.last(), time.Second, time.Minute); took > scheduler.DefaultGrace+time.Second {
		t.Errorf("a guaranteed shape took %v", took)
	}
}

// TestStubborn checks that a borrower that does not answer is told to stop
// without grace.
func TestStubborn(t *testing.T) {
	m := newModel(floorOf(3), []account.Account{accountOf("a", guarantee(3, 8, 1, floor.AdjacentRack)), accountOf("b")})
	m.fill(t, one("b", "reports", 1, 8), 3, 100*time.Hour)
	m.stubborn = true
	_ = m.submit(one("a", "reports", 3, 8), time.Hour)
	m.decide()
	m.now = m.now.Add(scheduler.DefaultGrace + 5*time.Second)
	hard := 0
	for _, d := range m.policy.Decide(m.now) {
		if r, ok := d.(scheduler.Reclaim); ok && r.Grace == 0 {
			hard++
		}
	}
	if hard != 3 {
		t.Errorf("%d of 3 borrowers were told to stop at once", hard)
	}
}

func TestUrgent(t *testing.T) {
	m := newModel(floorOf(3), []account.Account{accountOf("a", guarantee(1, 8, 2, floor.AdjacentWorker)), accountOf("b")})
	m.fill(t, one("a", "reports", 1, 8), 2, 100*time.Hour)
	m.fill(t, one("b", "other", 1, 1), 20, 100*time.Hour)
	for range 6 {
		_ = m.submit(one("a", "paths", 1, 1), time.Minute)
		if took := m.wait(t, m.last(), 250*time.Millisecond, time.Minute); took > 2*time.Second {
			t.Errorf("urgent work took %v", took)
		}
	}
}

// TestReservation checks that later small jobs do not push a large one back, and
// that one that overruns leaves.
func TestReservation(t *testing.T) {
	m := newModel(floorOf(3), []account.Account{accountOf("a"), accountOf("b")})
	holder := one("a", "reports", 1, 8)
	holder.Idempotent = false
	m.fill(t, holder, 1, time.Hour)
	_ = m.submit(one("a", "reports", 3, 8), time.Hour)
	large := m.last()
	m.decide()
	small := one("b", "other", 1, 8)
	small.Idempotent, small.Checkpoint = false, false
	small.Expected = time.Minute
	for range 100 {
		_ = m.submit(small, 50*time.Hour)
	}
	if took := m.wait(t, large, time.Second, 4*time.Hour); took > 2*time.Hour {
		t.Errorf("the large job waited %v", took)
	}
}

// TestQuarantine tells a worker that fails everything from a job that does.
func TestQuarantine(t *testing.T) {
	m := newModel(floorOf(9), []account.Account{accountOf("a")})
	quarantined := func() (ids []floor.WorkerID) {
		for _, w := range m.policy.Overview(m.now).Workers {
			if w.Quarantined {
				ids = append(ids, w.Worker.ID)
			}
		}
		return ids
	}
	for range 4 {
		_ = m.submit(one("a", "reports", 1, 1), time.Hour)
		bad := m.last()
		for range 6 {
			m.wait(t, bad, time.Second, time.Hour)
			m.requeue(m.jobs[bad], scheduler.Outcome{Failed: true, Blamed: m.jobs[bad].placement[0].Worker})
		}
		m.end(m.jobs[bad], scheduler.Outcome{Cancelled: true})
	}
	if ids := quarantined(); ids != nil {
		t.Errorf("jobs that fail everywhere put %v in quarantine", ids)
	}
	m.fill(t, one("a", "reports", 1, 1), 8, time.Hour)
	culprit := m.jobs[m.last()].placement[0].Worker
	for _, f := range m.list(running) {
		if f.placement[0].Worker == culprit {
			m.requeue(f, scheduler.Outcome{Failed: true, Blamed: culprit})
		}
	}
	if ids := quarantined(); len(ids) != 1 || ids[0] != culprit {
		t.Errorf("%v are in quarantine, not %s", ids, culprit)
	}
	m.advance(20 * time.Second)
	m.decide()
	for _, f := range m.list(running) {
		if f.placement[0].Worker == culprit {
			t.Errorf("job %s runs on the worker that failed it", f.job.ID)
		}
	}
	m.settle(t)
}

// TestRestore hands the jobs of a former leader over before the workers are
// known: guaranteed work is guaranteed again, and nothing is reclaimed.
func TestRestore(t *testing.T) {
	accounts := []account.Account{accountOf("a", guarantee(2, 8, 1, floor.AdjacentRack)), accountOf("b", guarantee(1, 8, 2, floor.AdjacentWorker))}
	p := scheduler.New()
	p.SetAccounts(accounts)
	now := time.Unix(1_000_000, 0)
	guaranteed, waits := one("a", "reports", 2, 8), one("b", "reports", 1, 8)
	guaranteed.ID, waits.ID = "held", "waits"
	p.Restore(now, guaranteed, floor.Placement{{Worker: "w000", Accelerators: 0xff, Cores: 1}, {Worker: "w001", Accelerators: 0xff, Cores: 1}})
	p.Restore(now, waits, nil)
	for i, w := range floorOf(4) {
		p.AddWorker(w)
		for _, d := range p.Decide(now.Add(time.Duration(i) * time.Second)) {
			if r, ok := d.(scheduler.Reclaim); ok {
				t.Errorf("job %s is reclaimed", r.Job)
			}
		}
	}
	for id, want := range map[job.ID]string{"held": "it runs on a guarantee", "waits": "it runs on a guarantee"} {
		if e, ok := p.Explain(now, id); !ok || e.Reason != want {
			t.Errorf("job %s: %+v", id, e)
		}
	}
}
