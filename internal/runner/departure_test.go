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

// TestLateDeparture delays the departure of a runner until the runner has started again
// under its name. A departure names no incarnation, so the agent must not report the
// tasks of the present one as gone while it lists them.
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

// TestDeparture has a runner depart and end. Its tasks are reported as gone at once, and
// renewals to it have a back-off.
func TestDeparture(t *testing.T) {
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

// TestDepartureBeforeEnd has a runner answer once more between its departure and its end.
func TestDepartureBeforeEnd(t *testing.T) {
	h := newHarness(t)
	h.sendList(h.depart(), control.Task{ID: start(1).Task, Run: 1, Phase: control.Running})
	h.wait(250 * time.Millisecond)
	h.step(runner.RenewLeaseResult{Call: must[runner.RenewLease](h), Answer: runner.Unreachable})
	if report := must[runner.Send](h).Report; !report.RunnerGone || len(report.Tasks) != 0 {
		t.Errorf("report %+v", report)
	}
}

// TestDepartureBesideSuccessor hears of a departure while the next incarnation of the
// runner, under the same name, has not listed its tasks. It may be running the start that was
// meant for the former one.
func TestDepartureBesideSuccessor(t *testing.T) {
	h := newHarness(t)
	call := h.startFirst()
	h.step(runner.StartResult{Call: call, Answer: runner.Accepted})
	h.heartbeatOf(reborn)
	h.step(runner.Gone{ID: control.RunnerID{Name: self.Name}})
	h.checkHeld("departure")
}
