package runner_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/runner"
)

// depart lets the agent hear that the runner departs while a task runs there, and returns
// the renewal that asks whether that is so.
func (h *harness) depart() runner.RenewLease {
	h.t.Helper()
	call := h.startFirst()
	h.step(runner.StartResult{Call: call, Answer: runner.Accepted})
	h.step(runner.Gone{ID: control.RunnerID{Name: self.Name}})
	h.checkHeld("departure")
	return must[runner.RenewLease](h)
}

// TestLateDeparture guards against a former incarnation's departure that gives up running tasks.
func TestLateDeparture(t *testing.T) {
	h := newHarness(t)
	renewal := h.depart()
	for range 5 {
		h.sendList(renewal, control.Task{ID: start(1).Task, Run: 1, Phase: control.Running})
		h.checkHeld("list")
		h.wait(300 * time.Millisecond)
		h.checkHeld("wait")
		renewal = must[runner.RenewLease](h)
	}
	h.step(runner.Heartbeat{Runner: control.Runner{ID: self, Pool: "p"}, Seq: 2, Clock: 5000})
	h.step(runner.RenewLeaseResult{Call: renewal, Answer: runner.Unreachable})
	h.checkHeld("heartbeat, no connection")
}

// TestDepartureGivesTasksUp checks that the tasks of a runner that has ended are gone at once.
func TestDepartureGivesTasksUp(t *testing.T) {
	for _, answer := range []runner.Answer{runner.Unreachable, runner.OtherRunner} {
		h := newHarness(t)
		h.step(runner.RenewLeaseResult{Call: h.depart(), Answer: answer})
		if report := must[runner.Send](h).Report; !report.RunnerGone || len(report.Tasks) != 0 {
			t.Errorf("answer %d: report %+v", answer, report)
		}
		if renewal, ok := find[runner.RenewLease](h); ok {
			t.Errorf("answer %d: %+v without a back-off", answer, renewal)
		}
	}
}

// TestDepartureBeforeEnd guards against tasks that are given up while a departing runner goes on.
func TestDepartureBeforeEnd(t *testing.T) {
	h := newHarness(t)
	h.sendList(h.depart(), control.Task{ID: start(1).Task, Run: 1, Phase: control.Running})
	h.wait(250 * time.Millisecond)
	h.step(runner.RenewLeaseResult{Call: must[runner.RenewLease](h), Answer: runner.Unreachable})
	if report := must[runner.Send](h).Report; !report.RunnerGone || len(report.Tasks) != 0 {
		t.Errorf("report %+v", report)
	}
}

// TestDepartureBesideSuccessor guards against a departure that gives up a start at the next incarnation.
func TestDepartureBesideSuccessor(t *testing.T) {
	h := newHarness(t)
	call := h.startFirst()
	h.step(runner.StartResult{Call: call, Answer: runner.Accepted})
	h.heartbeatOf(reborn)
	h.step(runner.Gone{ID: control.RunnerID{Name: self.Name}})
	h.checkHeld("departure")
}

// runFirst has the runner run a task and list it, and returns the task and the renewal
// that follows.
func (h *harness) runFirst() (control.Task, runner.RenewLease) {
	h.t.Helper()
	call := h.startFirst()
	renewal := must[runner.RenewLease](h)
	h.step(runner.StartResult{Call: call, Answer: runner.Accepted})
	running := control.Task{ID: start(1).Task, Run: 1, Phase: control.Running}
	h.sendList(renewal, running)
	return running, must[runner.RenewLease](h)
}

// awaitRenewal waits until the agent renews the lease.
func (h *harness) awaitRenewal() runner.RenewLease {
	h.t.Helper()
	for range 20 {
		h.wait(50 * time.Millisecond)
		if renewal, ok := find[runner.RenewLease](h); ok {
			return renewal
		}
	}
	return must[runner.RenewLease](h)
}

// TestRunnerThatLeft has a runner end without a word, some of them after an announcement
// for an earlier time. Its tasks must be given up soon, and not when its lease has
// expired, but not before nobody has listened for a while or the announced time has come.
func TestRunnerThatLeft(t *testing.T) {
	for name, c := range map[string]struct {
		draining         bool
		remaining        time.Duration
		earliest, latest time.Duration
	}{
		"crashed":                 {false, 0, 400 * time.Millisecond, 800 * time.Millisecond},
		"announced, before time":  {true, 10 * time.Second, 400 * time.Millisecond, 800 * time.Millisecond},
		"announced, at that time": {true, 0, 0, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			_, renewal := h.runFirst()
			announced := control.Runner{ID: self, Pool: "p", Draining: c.draining, Remaining: c.remaining}
			h.step(runner.Heartbeat{Runner: announced, Seq: 2, Clock: 5000})
			for refused := h.now; ; renewal = h.awaitRenewal() {
				h.step(runner.RenewLeaseResult{Call: renewal, Answer: runner.NotListening})
				took := h.now.Sub(refused)
				send, ok := find[runner.Send](h)
				given := ok && send.Report.RunnerGone
				if given && took < c.earliest || !given && took >= c.latest {
					t.Errorf("tasks given up %t after %v, want between %v and %v", given, took, c.earliest, c.latest)
				}
				if given || took >= c.latest {
					return
				}
			}
		})
	}
}

// TestListeningAgain guards against tasks that are given up since nobody listened at
// times, while the runner answered in between.
func TestListeningAgain(t *testing.T) {
	h := newHarness(t)
	running, renewal := h.runFirst()
	for range 10 {
		h.step(runner.RenewLeaseResult{Call: renewal, Answer: runner.NotListening})
		h.checkHeld("nobody listens")
		h.sendList(h.awaitRenewal(), running)
		h.checkHeld("list")
		renewal = must[runner.RenewLease](h)
		h.wait(200 * time.Millisecond)
	}
}
