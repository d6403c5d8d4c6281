package runner_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/runner"
)

// maxLease is the longest lease that a runner grants.
const maxLease = 10 * time.Second

// restartWithFirst starts the first run, which reaches the next incarnation of the runner under
// its name, and lets that list it.
func (h *harness) restartWithFirst() {
	h.t.Helper()
	h.startFirst()
	h.heartbeatOf(reborn)
	h.listFrom(must[runner.RenewLease](h), control.Task{ID: start(1).Task, Run: 1, Phase: control.Running})
}

// givenUpAfter answers no call to the runner, and each report after 50 ms without orders, until the
// agent reports that no task runs or may start. It returns after which time that was.
func (h *harness) givenUpAfter() time.Duration {
	h.t.Helper()
	for began := h.now; h.now.Sub(began) < time.Minute; h.wait(50 * time.Millisecond) {
		for _, effect := range h.effects {
			switch e := effect.(type) {
			case runner.Send:
				if e.Report.Complete && len(e.Report.Tasks) == 0 {
					return h.now.Sub(began)
				}
				h.now = h.now.Add(50 * time.Millisecond)
				h.step(runner.SendResult{Call: e, Orders: control.Orders{Leads: true, Epoch: 1, Fence: 1}})
			case runner.RenewLease:
				h.step(runner.RenewLeaseResult{Call: e, Answer: runner.NoAnswer})
			}
		}
	}
	h.t.Fatal("the tasks were not given up")
	return 0
}

// TestLeaseOfNextIncarnation guards against tasks that are given up while they run: a call for the
// former incarnation gave the next one, whose clock began anew, the longest lease.
func TestLeaseOfNextIncarnation(t *testing.T) {
	h := newHarness(t)
	h.restartWithFirst()
	if age := h.givenUpAfter(); age < maxLease {
		t.Errorf("tasks given up after %v", age)
	}
}

// TestHoldAfterRestart guards against tasks of the next incarnation that are never stopped, though
// the hold of the leader's last orders has passed: none came since the restart.
func TestHoldAfterRestart(t *testing.T) {
	h := newHarness(t)
	h.restartWithFirst()
	listed := h.now
	for h.now.Sub(listed) < maxLease {
		h.wait(50 * time.Millisecond)
		if _, ok := find[runner.StopTask](h); ok {
			if age := h.now.Sub(listed); age > 7*time.Second {
				t.Errorf("stopped after %v", age)
			}
			return
		}
		if renewal, ok := find[runner.RenewLease](h); ok {
			h.step(runner.RenewLeaseResult{
				Call: renewal, Answer: runner.Accepted, Clock: 200 + runner.Clock(h.now.Sub(listed).Milliseconds()),
				Tasks: []control.Task{{ID: start(1).Task, Run: 1, Phase: control.Running}},
			})
		}
	}
	t.Error("the task was not stopped")
}

// orderFirstLate orders the first run at a runner that is in touch for longer than the lease that
// the agent assumes of it at first.
func orderFirstLate(t *testing.T) *slowRunner {
	t.Helper()
	s, report := newSlowRunner(t)
	for range 200 {
		s.wait(100 * time.Millisecond)
		s.sendHeartbeat(0)
	}
	report.Sent = s.now
	s.sendOrders(report, func(o *control.Orders) { o.Starts = []control.Start{start(1)} })
	return s
}

// TestUnansweredStartAtSilentRunner guards against a run that is given up while it works: its start
// had no answer and reached the next incarnation of a runner that is cut off.
func TestUnansweredStartAtSilentRunner(t *testing.T) {
	s := orderFirstLate(t)
	s.step(runner.StartResult{Call: must[runner.StartTask](s.harness), Answer: runner.NoAnswer})
	if age := s.givenUpAfter(); age < maxLease {
		t.Errorf("run given up after %v", age)
	}
}

// TestStartAnsweredByNextIncarnation guards against a run that counts as confirmed, and its lease as
// usual, though the next incarnation has answered the start and given it the longest lease.
func TestStartAnsweredByNextIncarnation(t *testing.T) {
	h := newHarness(t)
	call := h.startFirst()
	clock := runner.Clock(100)
	h.step(runner.StartResult{Call: call, Answer: runner.Accepted, Clock: &clock})
	if send, ok := find[runner.Send](h); ok && send.Report.Tasks[0].Phase == control.Running {
		t.Errorf("reported as running: %+v", send.Report.Tasks)
	}
	if list := must[runner.RenewLease](h); list.Token <= call.Token {
		t.Errorf("list requested with token %d after token %d", list.Token, call.Token)
	}
}
