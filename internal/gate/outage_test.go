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

// urgentStartLimit is the time within which urgent work must start. The tests
// apply it to a job that finds free workers.
const urgentStartLimit = 2 * time.Second

// readyRegion returns a region whose leader knows its agents, with a checker
// that checks every step.
func readyRegion(t *testing.T, seed uint64, gates, agents int, options ...gate.Option) (*lab.Region, *lab.Checker) {
	t.Helper()
	region := lab.NewRegion(seed, gates, agents, options...)
	checker := lab.NewChecker(region)
	run(t, region, 30*time.Second)
	if region.Leader() == nil {
		t.Fatal("no gate leads")
	}
	return region, checker
}

// run lets virtual time pass, and fails if a check does.
func run(t *testing.T, region *lab.Region, duration time.Duration) {
	t.Helper()
	if err := region.Run(duration); err != nil {
		t.Fatal(err)
	}
}

// runUntil runs the region until the condition holds, and returns the time that
// passed. It fails if the condition does not hold within the limit.
func runUntil(t *testing.T, region *lab.Region, limit time.Duration, condition func() bool) time.Duration {
	t.Helper()
	elapsed, err := region.RunUntil(limit, condition)
	if err != nil {
		t.Fatal(err)
	}
	return elapsed
}

// TestOutage submits jobs during an outage of the store that has just begun, or
// has lasted for a minute or an hour. A store that is down rejects every
// operation, a silent one does not answer. Idempotent jobs whose callers wait
// must start in time and be done. All others would need a durable record: they
// are refused as not run, and must not run once the store is back.
func TestOutage(t *testing.T) {
	faults := map[string]func(*lab.Store){
		"down":   func(s *lab.Store) { s.Down = true },
		"silent": func(s *lab.Store) { s.Silent = true },
	}
	for name, fault := range faults {
		for seed := range uint64(10) {
			for _, outageAge := range []time.Duration{0, time.Minute, time.Hour} {
				t.Run(fmt.Sprintf("%s/%d/%v", name, seed, outageAge), func(t *testing.T) {
					t.Parallel()
					r, checker := readyRegion(t, seed, 3, 3)
					fault(r.Store)
					run(t, r, outageAge)
					key := func(s string) string { return fmt.Sprint(s, seed) }
					waitingCall := r.Callers.Submit(r.Gates[seed%3], key("waiting"), lab.SpecOf(2, true, time.Second), time.Minute)
					runUntil(t, r, urgentStartLimit, func() bool { return checker.Starts(waitingCall.Job) > 0 })
					acceptanceOnly := r.Callers.Submit(r.Gates[seed%3], key("leaving"), lab.SpecOf(1, true, time.Second), 0)
					nonIdempotent := r.Callers.Submit(r.Gates[seed%3], key("once"), lab.SpecOf(1, false, time.Second), time.Minute)
					runUntil(t, r, 20*time.Second, func() bool {
						return waitingCall.Reply != nil && acceptanceOnly.Reply != nil && nonIdempotent.Reply != nil
					})
					if waitingCall.Reply.Record.State != job.StateDone {
						t.Errorf("idempotent job with a waiting caller: got %+v, want done", waitingCall.Reply)
					}
					for _, call := range []*lab.Call{acceptanceOnly, nonIdempotent} {
						if call.Reply.Record.State != job.StateRefused || call.Reply.Record.Ran != job.NotRun {
							t.Errorf("job that cannot be made durable: got %+v, want refused as not run", call.Reply)
						}
					}
					r.Store.Heal()
					run(t, r, time.Minute)
					if err := checker.CheckFinal(); err != nil {
						t.Error(err)
					}
				})
			}
		}
	}
}

// TestAdoption crashes the leader during an outage of the store, while agents
// run a gang that was started without a durable record. The new leader must
// adopt the running gang instead of starting it again.
func TestAdoption(t *testing.T) {
	for seed := range uint64(20) {
		r, checker := readyRegion(t, seed, 3, 3)
		leader := r.Leader()
		follower := r.Gates[0]
		if follower == leader {
			follower = r.Gates[1]
		}
		r.Store.Down = true
		run(t, r, time.Minute)
		call := r.Callers.Submit(follower, "gang", lab.SpecOf(3, true, time.Minute), 5*time.Minute)
		runUntil(t, r, urgentStartLimit, func() bool { return checker.Starts(call.Job) > 0 })
		leader.Crash()
		run(t, r, 10*time.Second)
		r.Store.Heal()
		runUntil(t, r, 2*time.Minute, func() bool { return call.Reply != nil })
		if call.Reply.Record.State != job.StateDone || checker.Starts(call.Job) != 1 {
			t.Errorf("seed %d: %d starts, got %+v", seed, checker.Starts(call.Job), call.Reply)
		}
	}
}

// TestStoreLoadAfterOutage counts the operations that all gates request of the
// store while it is down (seed 0) or loses every answer (seed 1), and the rows
// written and keys read in each second after the outage, with 800 jobs submitted
// during it. Retries and deferred writes must not overload the store.
func TestStoreLoadAfterOutage(t *testing.T) {
	const (
		// maxRatePerGate is in operations per second.
		maxRatePerGate = 10

		outage         = 10 * time.Minute
		jobsOfEachKind = 400

		// maxWrites is in rows and maxReads in keys per second for one region.
		// Three regions share the store, which carries several hundred writes
		// and 2000 reads per second.
		maxWrites = 300
		maxReads  = 2000 / 3
	)
	for seed := range uint64(2) {
		r, checker := readyRegion(t, seed, 3, 6)
		r.Store.Down = seed == 0
		r.Store.LossProbability = float64(seed)
		run(t, r, 10*time.Second)
		for i := range jobsOfEachKind {
			r.Callers.Submit(r.Gates[i%3], fmt.Sprint("job-", i), lab.SpecOf(1, true, time.Second), time.Hour)
			r.Callers.Submit(r.Gates[i%3], fmt.Sprint("once-", i), lab.SpecOf(1, false, time.Second), time.Hour)
		}
		before := r.Store.Operations()
		run(t, r, outage)
		if rate := float64(r.Store.Operations()-before) / outage.Seconds(); rate > maxRatePerGate*3 {
			t.Errorf("seed %d: %.1f operations per second during the outage", seed, rate)
		}
		r.Store.Heal()
		for second := range 60 {
			before := r.Store.Memory.Counts()
			run(t, r, time.Second)
			after := r.Store.Memory.Counts()
			if rows := after.Writes - before.Writes; rows > maxWrites {
				t.Errorf("seed %d: %d rows written in second %d after the outage", seed, rows, second)
			}
			if keys := after.Reads - before.Reads; keys > maxReads {
				t.Errorf("seed %d: %d keys read in second %d after the outage", seed, keys, second)
			}
		}
		if err := checker.CheckFinal(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// TestDeposedLeaderWrite pauses a leader with a write in flight until another
// gate leads. The table must reject the write if it arrives then, and the job
// must not be started twice.
func TestDeposedLeaderWrite(t *testing.T) {
	for seed := range uint64(20) {
		r, checker := readyRegion(t, seed, 2, 2)
		deposed := r.Leader()
		call := r.Callers.Submit(deposed, "late", lab.SpecOf(1, false, time.Second), 0)
		sentWrites := []machine.Effect{}
		r.AddCheck(func(step lab.Step) error {
			for _, effect := range step.Effects {
				if commit, ok := effect.(machine.Commit); ok && step.Process == deposed && strings.Contains(fmt.Sprint(commit.Txn.Writes[0].Key), string(call.Job)) {
					sentWrites = append(sentWrites, effect)
				}
			}
			return nil
		})
		r.Store.Silent = true
		run(t, r, 100*time.Millisecond)
		deposed.Pause()
		r.Store.Heal()
		runUntil(t, r, time.Minute, func() bool { l := r.Leader(); return l != nil && l != deposed })
		run(t, r, 5*time.Second)
		if len(sentWrites) == 0 {
			t.Fatalf("seed %d: the leader wrote nothing", seed)
		}
		if r.Store.Replay(sentWrites[0]) == nil {
			t.Errorf("seed %d: the table accepted a write of a deposed leader", seed)
		}
		deposed.Resume()
		run(t, r, time.Minute)
		if n := checker.Starts(call.Job); n > 1 {
			t.Errorf("seed %d: the job was started %d times, want at most 1", seed, n)
		}
	}
}

// TestLostMember fails a machine that runs a member of a gang. The other
// members must stop within stopLimit. An idempotent gang runs again on the
// remaining machines, a non-idempotent one does not.
func TestLostMember(t *testing.T) {
	const stopLimit = gate.DefaultAgentTimeout + 5*time.Second
	for seed := range uint64(20) {
		r, checker := readyRegion(t, seed, 2, 4)
		checker.MaxPartialRun = stopLimit
		call := r.Callers.Submit(r.Gates[0], "gang", lab.SpecOf(3, seed%2 == 0, 5*time.Minute), 0)
		runUntil(t, r, 10*time.Second, func() bool { return runningTasks(r) == 3 })
		for _, runner := range r.Runners {
			if len(runner.Running()) > 0 {
				runner.LoseMachine()
				break
			}
		}
		run(t, r, 2*time.Minute)
		want := map[bool]int{true: 3, false: 0}[seed%2 == 0]
		if running := runningTasks(r); running != want {
			t.Errorf("seed %d: %d members of %s run, want %d", seed, running, call.Job, want)
		}
	}
}

// runningTasks returns the number of tasks that run at all runners.
func runningTasks(region *lab.Region) int {
	count := 0
	for _, runner := range region.Runners {
		count += len(runner.Running())
	}
	return count
}

// TestLeaderShutdown shuts the leader down gracefully while two callers wait,
// with the store up and down. The caller of the short job is sent its result,
// that of the long job its state. In the end both jobs have reached an outcome.
func TestLeaderShutdown(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		r, checker := readyRegion(t, 1, 3, 3)
		leader := r.Leader()
		short := r.Callers.Submit(leader, "short", lab.SpecOf(1, true, 3*time.Second), time.Minute)
		long := r.Callers.Submit(leader, "long", lab.SpecOf(2, false, 5*time.Minute), 10*time.Minute)
		run(t, r, time.Second)
		r.Store.Down = storeDown
		shutDown := false
		r.AddCheck(func(step lab.Step) error {
			for _, effect := range step.Effects {
				if _, ok := effect.(gate.ShutdownComplete); ok && step.Process == leader {
					shutDown = true
				}
			}
			return nil
		})
		leader.Post(gate.Shutdown{})
		runUntil(t, r, gate.DefaultShutdownTimeout+gate.DefaultTickInterval, func() bool { return shutDown })
		if short.Reply == nil || short.Reply.Record.State != job.StateDone {
			t.Errorf("store down %v: the short job got %+v, want done", storeDown, short.Reply)
		}
		if long.Reply == nil || long.Reply.Err != nil || long.Reply.Record.State != job.StateStarted {
			t.Errorf("store down %v: the long job got %+v, want started", storeDown, long.Reply)
		}
		leader.Crash()
		r.Store.Heal()
		run(t, r, 10*time.Minute)
		if err := checker.CheckFinal(); err != nil {
			t.Errorf("store down %v: %v", storeDown, err)
		}
	}
}
