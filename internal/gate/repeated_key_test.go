package gate_test

import (
	"strings"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/lab"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// TestEndedJobNotRepeated guards against a job that runs again when its key is sent to a new leader.
func TestEndedJobNotRepeated(t *testing.T) {
	for seed := range uint64(20) {
		r, checker := readyRegion(t, seed, 2, 3)
		spec := lab.SpecOf(1, true, time.Second)
		first := r.Callers.Submit(r.Gates[0], "key", spec, time.Minute)
		runUntil(t, r, 10*time.Second, func() bool { return first.Reply != nil })
		if first.Reply.Record.State != job.StateDone {
			t.Fatalf("seed %d: got %+v, want done", seed, first.Reply)
		}
		run(t, r, time.Second)
		former := r.Leader()
		var again *lab.Call
		r.AddCheck(func(step lab.Step) error {
			for _, effect := range step.Effects {
				if scan, ok := effect.(machine.Scan); ok && again == nil && strings.HasPrefix(string(scan.Prefix), "done/") {
					r.Store.Down = true
					again = r.Callers.Submit(step.Process, "key", spec, time.Minute)
				}
			}
			return nil
		})
		former.Crash()
		run(t, r, 30*time.Second)
		if again == nil {
			t.Fatalf("seed %d: no leader read the ended jobs", seed)
		}
		if n := checker.Starts(first.Job); n != 1 {
			t.Errorf("seed %d: the job was started %d times, want once", seed, n)
		}
		r.Store.Heal()
		runUntil(t, r, time.Minute, func() bool { return again.Reply != nil })
		if again.Reply.Record.State != job.StateDone {
			t.Errorf("seed %d: the repeated request got %+v, want done", seed, again.Reply)
		}
	}
}

// TestResubmittedJobAdopted guards against a second start of a job that runs without a record.
func TestResubmittedJobAdopted(t *testing.T) {
	for seed := range uint64(20) {
		r, checker := readyRegion(t, seed, 3, 6)
		leader := r.Leader()
		follower := r.Gates[0]
		if follower == leader {
			follower = r.Gates[1]
		}
		r.Store.Down = true
		run(t, r, time.Minute)
		call := r.Callers.Submit(follower, "key", lab.SpecOf(1, true, time.Minute), 5*time.Minute)
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

// TestCancelAfterTakeover guards against a done job that runs again or ends as cancelled.
func TestCancelAfterTakeover(t *testing.T) {
	for seed := range uint64(20) {
		r, checker := readyRegion(t, seed, 2, 1)
		leader, follower := r.Leader(), r.Gates[0]
		if follower == leader {
			follower = r.Gates[1]
		}
		r.Store.Down = true
		run(t, r, time.Minute)
		spec := lab.SpecOf(1, true, time.Second)
		done := r.Callers.Submit(leader, "key", spec, time.Minute)
		runUntil(t, r, 10*time.Second, func() bool { return done.Reply != nil })
		if done.Reply.Record.State != job.StateDone {
			t.Fatalf("seed %d: got %+v, want done", seed, done.Reply)
		}
		leader.Crash()
		r.Store.Heal()
		again := r.Callers.Submit(follower, "key", spec, 0)
		runUntil(t, r, time.Minute, func() bool { return again.Reply != nil })
		r.Callers.Cancel(follower, "key")
		run(t, r, time.Minute)
		if err := checker.CheckFinal(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		if n := checker.Starts(done.Job); n != 1 {
			t.Errorf("seed %d: the job was started %d times, want once", seed, n)
		}
	}
}
