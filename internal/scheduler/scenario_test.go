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

func jobOf(name account.Name, class account.Class, workers, accelerators int) scheduler.Job {
	return scheduler.Job{
		Account: name, Class: class, Idempotent: true, Checkpoint: true, Expected: time.Hour,
		Shape: floor.Shape{Workers: workers, Accelerators: accelerators, Adjacency: floor.AdjacentRack},
	}
}

// submitAll submits count jobs and starts those that fit.
func (m *model) submitAll(t *testing.T, entry scheduler.Job, count int, runTime time.Duration) {
	t.Helper()
	for range count {
		if err := m.submit(entry, runTime); err != nil {
			t.Fatal(err)
		}
	}
	m.decide()
}

// waitForStart lets time pass in steps until the job runs, and returns how long
// that took.
func (m *model) waitForStart(t *testing.T, id job.ID, step, limit time.Duration) time.Duration {
	t.Helper()
	since := m.now
	for m.decide(); m.jobs[id].state != running; m.decide() {
		m.advance(step)
		if m.now.Sub(since) > limit {
			e, _ := m.policy.Explain(m.now, id)
			t.Fatalf("job %s waits after %v: %+v", id, limit, e)
		}
	}
	if len(m.violations) > 0 {
		t.Fatal(m.violations)
	}
	return m.now.Sub(since)
}

func (m *model) lastJob() job.ID {
	return job.ID(fmt.Sprintf("j%05d", m.next-1))
}

func TestAdmit(t *testing.T) {
	limited := accountOf("a")
	limited.Parameters.QueueLimit = 1
	m := newModel(floorOf(3), []account.Account{limited})
	tests := []struct {
		name      string
		shape     floor.Shape
		refused   bool
		permanent bool
	}{
		{"too many workers", floor.Shape{Workers: 4, Accelerators: 1}, true, true},
		{"too many accelerators", floor.Shape{Workers: 1, Accelerators: 9}, true, true},
		{"too many cores", floor.Shape{Workers: 1, Cores: 33}, true, true},
		{"negative", floor.Shape{Workers: 1, Accelerators: -1}, true, true},
		{"fits", floor.Shape{Workers: 3, Accelerators: 8}, false, false},
		{"over the limit", floor.Shape{Workers: 1, Accelerators: 1}, true, false},
	}
	for _, test := range tests {
		err := m.submit(scheduler.Job{Account: "a", Shape: test.shape}, time.Hour)
		var refused *scheduler.RefusedError
		if errors.As(err, &refused) != test.refused || test.refused && refused.Permanent != test.permanent {
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
	full := accountOf("a", guarantee(3, 8, 2, floor.AdjacentRack))
	if err := m.policy.CheckAccounts([]account.Account{full}); err != nil {
		t.Error(err)
	}
	for _, more := range []account.Guarantee{guarantee(1, 1, 1, ""), guarantee(1, 0, 1, "")} {
		err := m.policy.CheckAccounts([]account.Account{full, accountOf("b", more)})
		var guaranteeError *scheduler.GuaranteeError
		if !errors.As(err, &guaranteeError) || guaranteeError.Account != "b" {
			t.Errorf("a full floor holds %+v: %v", more, err)
		}
	}
}

// TestClaim checks how soon a guaranteed shape starts on lent capacity: within
// the grace of the borrowers, as they stop when told to. Borrowers that do not
// stop take longer by the time allowed for it and a second order to stop.
func TestClaim(t *testing.T) {
	m := newModel(floorOf(9), []account.Account{accountOf("a", guarantee(2, 8, 1, floor.AdjacentRack)), accountOf("b")})
	m.submitAll(t, jobOf("b", "reports", 1, 1), 80, 100*time.Hour)
	_ = m.submit(jobOf("a", "reports", 2, 8), time.Hour)
	if waited := m.waitForStart(t, m.lastJob(), time.Second, time.Minute); waited > scheduler.DefaultGrace+time.Second {
		t.Errorf("a guaranteed job took %v to start", waited)
	}
}

// TestUnresponsiveBorrower checks that borrowers that do not stop within their
// grace are told to stop again, without grace.
func TestUnresponsiveBorrower(t *testing.T) {
	m := newModel(floorOf(3), []account.Account{accountOf("a", guarantee(3, 8, 1, floor.AdjacentRack)), accountOf("b")})
	m.submitAll(t, jobOf("b", "reports", 1, 8), 3, 100*time.Hour)
	m.ignoreStops = true
	_ = m.submit(jobOf("a", "reports", 3, 8), time.Hour)
	m.decide()
	m.now = m.now.Add(scheduler.DefaultGrace + 5*time.Second)
	immediate := 0
	for _, d := range m.policy.Decide(m.now) {
		if r, ok := d.(scheduler.Reclaim); ok && r.Grace == 0 {
			immediate++
		}
	}
	if immediate != 3 {
		t.Errorf("%d of 3 borrowers were told to stop at once", immediate)
	}
}

func TestUrgent(t *testing.T) {
	m := newModel(floorOf(3), []account.Account{accountOf("a", guarantee(1, 8, 2, floor.AdjacentWorker)), accountOf("b")})
	m.submitAll(t, jobOf("a", "reports", 1, 8), 2, 100*time.Hour)
	m.submitAll(t, jobOf("b", "other", 1, 1), 20, 100*time.Hour)
	for range 6 {
		_ = m.submit(jobOf("a", "paths", 1, 1), time.Minute)
		if waited := m.waitForStart(t, m.lastJob(), 250*time.Millisecond, time.Minute); waited > 2*time.Second {
			t.Errorf("an urgent job took %v to start", waited)
		}
	}
}

// TestReservation checks that a stream of later small jobs does not delay a large
// one, and that small jobs on its place that overrun are evicted.
func TestReservation(t *testing.T) {
	m := newModel(floorOf(3), []account.Account{accountOf("a"), accountOf("b")})
	holder := jobOf("a", "reports", 1, 8)
	holder.Idempotent = false
	m.submitAll(t, holder, 1, time.Hour)
	_ = m.submit(jobOf("a", "reports", 3, 8), time.Hour)
	large := m.lastJob()
	m.decide()
	small := jobOf("b", "other", 1, 8)
	small.Idempotent, small.Checkpoint = false, false
	small.Expected = time.Minute
	for range 100 {
		_ = m.submit(small, 50*time.Hour)
	}
	if waited := m.waitForStart(t, large, time.Second, 4*time.Hour); waited > 2*time.Hour {
		t.Errorf("the large job waited %v", waited)
	}
}

// TestQuarantine checks that a worker that fails all jobs is put in quarantine,
// and that jobs that fail on all workers put none there.
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
		_ = m.submit(jobOf("a", "reports", 1, 1), time.Hour)
		failing := m.lastJob()
		for range 6 {
			m.waitForStart(t, failing, time.Second, time.Hour)
			m.requeue(m.jobs[failing], scheduler.Outcome{Failed: true, FailedOn: m.jobs[failing].placement[0].Worker})
		}
		m.endJob(m.jobs[failing], scheduler.Outcome{Cancelled: true})
	}
	if ids := quarantined(); ids != nil {
		t.Errorf("jobs that fail everywhere put %v in quarantine", ids)
	}
	m.submitAll(t, jobOf("a", "reports", 1, 1), 8, time.Hour)
	faulty := m.jobs[m.lastJob()].placement[0].Worker
	for _, j := range m.jobsIn(running) {
		if j.placement[0].Worker == faulty {
			m.requeue(j, scheduler.Outcome{Failed: true, FailedOn: faulty})
		}
	}
	if ids := quarantined(); len(ids) != 1 || ids[0] != faulty {
		t.Errorf("%v are in quarantine, not %s", ids, faulty)
	}
	m.advance(20 * time.Second)
	m.decide()
	for _, j := range m.jobsIn(running) {
		if j.placement[0].Worker == faulty {
			t.Errorf("job %s runs on the worker that failed it", j.job.ID)
		}
	}
	m.runAll(t)
}

// TestRestore restores jobs of a former leader before the workers are added: the
// job that was guaranteed is guaranteed again, and nothing is reclaimed.
func TestRestore(t *testing.T) {
	accounts := []account.Account{accountOf("a", guarantee(2, 8, 1, floor.AdjacentRack)), accountOf("b", guarantee(1, 8, 2, floor.AdjacentWorker))}
	p := scheduler.New()
	p.SetAccounts(accounts)
	now := time.Unix(1_000_000, 0)
	guaranteed, waits := jobOf("a", "reports", 2, 8), jobOf("b", "reports", 1, 8)
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
	for id, want := range map[job.ID]string{"held": "running on guaranteed capacity", "waits": "running on guaranteed capacity"} {
		if e, ok := p.Explain(now, id); !ok || e.Reason != want {
			t.Errorf("job %s: %+v", id, e)
		}
	}
}
