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
