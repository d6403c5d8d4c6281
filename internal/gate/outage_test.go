package gate_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/lab"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// urgentStart is the time in which urgent work starts.
const urgentStart = 2 * time.Second

// ready returns a region that leads and knows its agents, with a ledger.
func ready(t *testing.T, seed uint64, gates, agents int, options ...gate.Option) (*lab.Region, *lab.Ledger) {
	t.Helper()
	r := lab.NewRegion(seed, gates, agents, options...)
	ledger := lab.NewLedger(r)
	run(t, r, 30*time.Second)
	if r.Leader() == nil {
		t.Fatal("no gate leads")
	}
	return r, ledger
}

func run(t *testing.T, r *lab.Region, duration time.Duration) {
	t.Helper()
	if err := r.Run(duration); err != nil {
		t.Fatal(err)
	}
}

func until(t *testing.T, r *lab.Region, limit time.Duration, holds func() bool) time.Duration {
	t.Helper()
	took, err := r.Until(limit, holds)
	if err != nil {
		t.Fatal(err)
	}
	return took
}

// TestOutage takes the store away in each of the ways in which it fails. Idempotent
// jobs of callers that wait start in time and are answered; all else is refused as
// not run, and stays so when the store is back.
func TestOutage(t *testing.T) {
	faults := map[string]func(*lab.Store){
		"down":   func(s *lab.Store) { s.Down = true },
		"silent": func(s *lab.Store) { s.Silent = true },
	}
	for name, fault := range faults {
		for seed := range uint64(10) {
			for _, after := range []time.Duration{0, time.Minute, time.Hour} {
				t.Run(fmt.Sprintf("%s/%d/%v", name, seed, after), func(t *testing.T) {
					t.Parallel()
					r, ledger := ready(t, seed, 3, 3)
					fault(r.Store)
					run(t, r, after)
					key := func(s string) string { return fmt.Sprint(s, seed) }
					waiting := r.Callers.Submit(r.Gates[seed%3], key("waiting"), lab.SpecOf(2, true, time.Second), time.Minute)
					until(t, r, urgentStart, func() bool { return ledger.Starts(waiting.Job) > 0 })
					leaving := r.Callers.Submit(r.Gates[seed%3], key("leaving"), lab.SpecOf(1, true, time.Second), 0)
					once := r.Callers.Submit(r.Gates[seed%3], key("once"), lab.SpecOf(1, false, time.Second), time.Minute)
					until(t, r, 20*time.Second, func() bool { return waiting.Reply != nil && leaving.Reply != nil && once.Reply != nil })
					if waiting.Reply.Record.State != job.StateDone {
						t.Errorf("the job that may run twice: got %+v", waiting.Reply)
					}
					for _, call := range []*lab.Call{leaving, once} {
						if call.Reply.Record.State != job.StateRefused || call.Reply.Record.Ran != job.NotRun {
							t.Errorf("a job that cannot be promised: got %+v", call.Reply)
						}
					}
					r.Store.Heal()
					run(t, r, time.Minute)
					if err := ledger.Settled(); err != nil {
						t.Error(err)
					}
				})
			}
		}
	}
}

// TestAdoption loses the leader while the store is away and agents run a gang that
// the table does not know. The new leader takes the gang over.
func TestAdoption(t *testing.T) {
	for seed := range uint64(20) {
		r, ledger := ready(t, seed, 3, 3)
		leader := r.Leader()
		asked := r.Gates[0]
		if asked == leader {
			asked = r.Gates[1]
		}
		r.Store.Down = true
		run(t, r, time.Minute)
		call := r.Callers.Submit(asked, "gang", lab.SpecOf(3, true, time.Minute), 5*time.Minute)
		until(t, r, urgentStart, func() bool { return ledger.Starts(call.Job) > 0 })
		leader.Crash()
		run(t, r, 10*time.Second)
		r.Store.Heal()
		until(t, r, 2*time.Minute, func() bool { return call.Reply != nil })
		if call.Reply.Record.State != job.StateDone || ledger.Starts(call.Job) != 1 {
			t.Errorf("seed %d: %d starts, got %+v", seed, ledger.Starts(call.Job), call.Reply)
		}
	}
}

// TestReturn counts what all gates ask of the store while it is away, or loses
// every answer, and in each second after its return, with many jobs waiting to be
// written.
func TestReturn(t *testing.T) {
	const (
		perGate = 10
		outage  = 10 * time.Minute
		jobs    = 400

		// The store takes several hundred writes and two thousand reads a second.
		// Three regions share it.
		writes = 300
		reads  = 2000 / 3
	)
	for seed := range uint64(2) {
		r, ledger := ready(t, seed, 3, 6)
		r.Store.Down = seed == 0
		r.Store.Lost = float64(seed)
		run(t, r, 10*time.Second)
		for i := range jobs {
			r.Callers.Submit(r.Gates[i%3], fmt.Sprint("job-", i), lab.SpecOf(1, true, time.Second), time.Hour)
			r.Callers.Submit(r.Gates[i%3], fmt.Sprint("once-", i), lab.SpecOf(1, false, time.Second), time.Hour)
		}
		before := r.Store.Asked()
		run(t, r, outage)
		if rate := float64(r.Store.Asked()-before) / outage.Seconds(); rate > perGate*3 {
			t.Errorf("seed %d: %.1f operations a second while the store is away", seed, rate)
		}
		r.Store.Heal()
		for second := range 60 {
			before := r.Store.Memory.Counts()
			run(t, r, time.Second)
			after := r.Store.Memory.Counts()
			if n := after.Writes - before.Writes; n > writes {
				t.Errorf("seed %d: %d rows written in second %d after the return", seed, n, second)
			}
			if n := after.Reads - before.Reads; n > reads {
				t.Errorf("seed %d: %d rows read in second %d after the return", seed, n, second)
			}
		}
		if err := ledger.Settled(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// TestDeposed pauses a leader with a write on its way to the store until another
// leads, and looks that the write does not land then.
func TestDeposed(t *testing.T) {
	for seed := range uint64(20) {
		r, ledger := ready(t, seed, 2, 2)
		old := r.Leader()
		call := r.Callers.Submit(old, "late", lab.SpecOf(1, false, time.Second), 0)
		held := []machine.Effect{}
		r.Watch(func(trace lab.Trace) error {
			for _, effect := range trace.Effects {
				if c, ok := effect.(machine.Commit); ok && trace.Process == old && strings.Contains(fmt.Sprint(c.Txn.Writes[0].Key), string(call.Job)) {
					held = append(held, effect)
				}
			}
			return nil
		})
		r.Store.Silent = true
		run(t, r, 100*time.Millisecond)
		old.Pause()
		r.Store.Heal()
		until(t, r, time.Minute, func() bool { l := r.Leader(); return l != nil && l != old })
		run(t, r, 5*time.Second)
		if len(held) == 0 {
			t.Fatalf("seed %d: the leader wrote nothing", seed)
		}
		if r.Store.Replay(held[0]) == nil {
			t.Errorf("seed %d: a write of a deposed leader landed", seed)
		}
		old.Resume()
		run(t, r, time.Minute)
		if n := ledger.Starts(call.Job); n > 1 {
			t.Errorf("seed %d: started %d times", seed, n)
		}
	}
}

// TestLostMember loses a machine under a gang and looks how soon the rest stops.
func TestLostMember(t *testing.T) {
	const bound = gate.DefaultAgentTimeout + 5*time.Second
	for seed := range uint64(20) {
		r, ledger := ready(t, seed, 2, 4)
		ledger.PartialBound = bound
		call := r.Callers.Submit(r.Gates[0], "gang", lab.SpecOf(3, seed%2 == 0, 5*time.Minute), 0)
		until(t, r, 10*time.Second, func() bool { return computing(r) == 3 })
		for _, runner := range r.Runners {
			if len(runner.Running()) > 0 {
				runner.Fail()
				break
			}
		}
		run(t, r, 2*time.Minute)
		want := map[bool]int{true: 3, false: 0}[seed%2 == 0]
		if n := computing(r); n != want {
			t.Errorf("seed %d: %d members of %s compute, want %d", seed, n, call.Job, want)
		}
	}
}

func computing(r *lab.Region) int {
	n := 0
	for _, runner := range r.Runners {
		n += len(runner.Running())
	}
	return n
}

// TestLeave shuts the leader down with requests open, with the store up and away.
func TestLeave(t *testing.T) {
	for _, down := range []bool{false, true} {
		r, ledger := ready(t, 1, 3, 3)
		leader := r.Leader()
		short := r.Callers.Submit(leader, "short", lab.SpecOf(1, true, 3*time.Second), time.Minute)
		long := r.Callers.Submit(leader, "long", lab.SpecOf(2, false, 5*time.Minute), 10*time.Minute)
		run(t, r, time.Second)
		r.Store.Down = down
		left := false
		r.Watch(func(trace lab.Trace) error {
			for _, effect := range trace.Effects {
				if _, ok := effect.(gate.Left); ok && trace.Process == leader {
					left = true
				}
			}
			return nil
		})
		leader.Post(gate.Leave{})
		until(t, r, gate.DefaultLeaveTimeout+gate.DefaultTick, func() bool { return left })
		if short.Reply == nil || short.Reply.Record.State != job.StateDone {
			t.Errorf("down %v: the short job got %+v", down, short.Reply)
		}
		if long.Reply == nil || long.Reply.Err != nil || long.Reply.Record.State != job.StateStarted {
			t.Errorf("down %v: the long job got %+v", down, long.Reply)
		}
		leader.Crash()
		r.Store.Heal()
		run(t, r, 10*time.Minute)
		if err := ledger.Settled(); err != nil {
			t.Errorf("down %v: %v", down, err)
		}
	}
}
