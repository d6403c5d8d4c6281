package runner_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/runner"
)

const suspension = 3500 * time.Millisecond

// suspend lets time pass that the runner's clock does not count.
func (s *slowRunner) suspend(d time.Duration) {
	s.began = s.began.Add(d)
	s.wait(d)
}

// startedRunner returns a runner with a task and the agent's next report.
func startedRunner(t *testing.T) (*slowRunner, runner.Send) {
	t.Helper()
	s, report := newSlowRunner(t)
	s.sendOrders(report, func(o *control.Orders) { o.Starts = []control.Start{start(1)} })
	s.runStart()
	return s, report
}

// answerRenewals answers the renewal among the last effects, and those that follow for a
// while, with the running task, and returns the latest lease end that they ask for.
func (s *slowRunner) answerRenewals(d time.Duration) runner.Clock {
	latest := runner.Clock(0)
	for end := s.now.Add(d); s.now.Before(end); {
		renewal, ok := find[runner.RenewLease](s.harness)
		s.wait(50 * time.Millisecond)
		if ok {
			latest = max(latest, renewal.Until)
			listed := control.Task{ID: start(1).Task, Run: 1, Phase: control.Running}
			s.step(runner.RenewLeaseResult{Call: renewal, Answer: runner.Accepted, Clock: s.clock(), Tasks: []control.Task{listed}})
		}
	}
	return latest
}

// TestLeaseAfterSuspension guards against leases that outlast the hold since the runner's
// clock stood still while the machine was suspended.
func TestLeaseAfterSuspension(t *testing.T) {
	for _, c := range []struct {
		name  string
		pause time.Duration
		reads time.Duration
	}{
		{"before a reading", suspension, 0},
		{"after readings", suspension, time.Second},
		{"too short to be noticed", 250 * time.Millisecond, time.Second},
	} {
		s, report := startedRunner(t)
		renewal := must[runner.RenewLease](s.harness)
		s.suspend(c.pause)
		if c.reads > 0 {
			s.step(runner.RenewLeaseResult{Call: renewal, Answer: runner.NoAnswer})
			s.wait(300 * time.Millisecond)
			s.answerRenewals(c.reads)
			renewal, _ = find[runner.RenewLease](s.harness)
		}
		report.Sent = s.now
		s.sendOrders(report, nil)
		s.step(runner.RenewLeaseResult{Call: renewal, Answer: runner.NoAnswer})
		s.wait(200 * time.Millisecond)
		lease := s.answerRenewals(500 * time.Millisecond)
		hold := runner.Clock(6 * time.Second / time.Millisecond)
		held := 5000 + runner.Clock(float64(report.Sent.Sub(s.began).Milliseconds())*slowClock) + hold
		if lease > held {
			t.Errorf("%s: the lease ends %d ms by the runner's clock after the hold", c.name, lease-held)
		} else if c.reads > 0 && lease < held-200 {
			t.Errorf("%s: the lease ends %d ms by the runner's clock before the hold", c.name, held-lease)
		}
	}
}

// TestSilentRunnerAfterSuspension guards against tasks given up while the lease of a silent
// runner lasts, since its clock stood still while the machine was suspended.
func TestSilentRunnerAfterSuspension(t *testing.T) {
	s, _ := startedRunner(t)
	s.suspend(suspension)
	for end := s.now.Add(20 * time.Second); s.now.Before(end); s.wait(100 * time.Millisecond) {
		if send, ok := find[runner.Send](s.harness); ok && send.Report.RunnerGone {
			if s.clock() <= s.lease {
				t.Errorf("tasks given up %d ms before their lease ends", s.lease-s.clock())
			}
			return
		}
		if renewal, ok := find[runner.RenewLease](s.harness); ok {
			s.step(runner.RenewLeaseResult{Call: renewal, Answer: runner.NoAnswer})
		}
	}
	t.Error("the tasks were not given up")
}

// TestHoldAfterSuspension guards against tasks that run on after the hold of the orders,
// since the runner's clock, by which their lease ends, stood still.
func TestHoldAfterSuspension(t *testing.T) {
	const (
		hold      = 6 * time.Second
		stopGrace = 900 * time.Millisecond

		// takenForLost is when a leader starts the tasks elsewhere.
		takenForLost = 7620 * time.Millisecond
	)
	s, report := startedRunner(t)
	renewal := must[runner.RenewLease](s.harness)
	s.suspend(suspension)
	s.step(runner.RenewLeaseResult{Call: renewal, Answer: runner.NoAnswer})
	stopped := time.Time{}
	for end := s.now.Add(10 * time.Second); s.now.Before(end) && stopped.IsZero(); s.wait(50 * time.Millisecond) {
		if _, ok := find[runner.StopTask](s.harness); ok {
			stopped = s.now
		} else if renewal, ok := find[runner.RenewLease](s.harness); ok {
			listed := control.Task{ID: start(1).Task, Run: 1, Phase: control.Running}
			s.step(runner.RenewLeaseResult{Call: renewal, Answer: runner.Accepted, Clock: s.clock(), Tasks: []control.Task{listed}})
		}
	}
	if stopped.IsZero() {
		t.Fatal("the task was not stopped")
	}
	age := stopped.Sub(report.Sent)
	if age > takenForLost-stopGrace {
		t.Errorf("stopped %s after the orders", age)
	}
	if age < hold {
		t.Errorf("stopped %s after the orders, within the hold", age)
	}
}
