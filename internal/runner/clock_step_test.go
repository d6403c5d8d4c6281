package runner_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/runner"
)

// TestRestartAfterClockStep guards against tasks that wait for ever for a runner with an earlier start time.
func TestRestartAfterClockStep(t *testing.T) {
	h := newHarness(t)
	h.heartbeatOf(reborn)
	h.sendOrders(must[runner.Send](h), nil)
	h.listFrom(must[runner.RenewLease](h), control.Task{ID: start(1).Task, Run: 1, Phase: control.Running})
	h.step(runner.RenewLeaseResult{Call: must[runner.RenewLease](h), Answer: runner.OtherIncarnation, Clock: 150})
	h.wait(300 * time.Millisecond)
	h.step(runner.RenewLeaseResult{Call: must[runner.RenewLease](h), Answer: runner.OtherIncarnation, Clock: 450})
	gone := must[runner.Send](h)
	if !gone.Report.RunnerGone {
		t.Errorf("report %+v, want that the former incarnation is gone", gone.Report)
	}
	h.sendOrders(gone, nil)
	h.heartbeatOf(self)
	list := must[runner.RenewLease](h)
	if list.Runner != self {
		t.Fatalf("list requested of %+v, want %+v", list.Runner, self)
	}
	h.listFrom(list)
	if report := must[runner.Send](h).Report; report.Runner.ID != self || !report.Complete || len(report.Tasks) != 0 {
		t.Errorf("report %+v", report)
	}
}

// TestLateHeartbeatAfterRestart guards against a late heartbeat that hides the present incarnation.
func TestLateHeartbeatAfterRestart(t *testing.T) {
	newest := control.RunnerID{Name: self.Name, Incarnation: reborn.Incarnation + 1}
	h := newHarness(t)
	h.heartbeatOf(reborn)
	h.sendOrders(must[runner.Send](h), nil)
	h.listFrom(must[runner.RenewLease](h), control.Task{ID: start(1).Task, Run: 1, Phase: control.Running})
	h.step(runner.RenewLeaseResult{Call: must[runner.RenewLease](h), Answer: runner.OtherIncarnation, Clock: 150})
	h.heartbeatOf(self)
	if list, ok := find[runner.RenewLease](h); ok {
		h.step(runner.RenewLeaseResult{Call: list, Answer: runner.OtherIncarnation, Clock: 160})
	}
	for _, effect := range h.effects {
		if send, ok := effect.(runner.Send); ok && send.Report.Complete {
			t.Errorf("report of a complete list: %+v", send.Report)
		}
	}
	h.heartbeatOf(newest)
	list := must[runner.RenewLease](h)
	if list.Runner != newest {
		t.Fatalf("list requested of %+v, want %+v", list.Runner, newest)
	}
}

// TestHeartbeatFromBeforeClockStep guards against a lease that is no longer renewed after a late heartbeat.
func TestHeartbeatFromBeforeClockStep(t *testing.T) {
	h := newHarness(t)
	h.startFirst()
	h.heartbeatOf(reborn)
	h.step(runner.RenewLeaseResult{Call: must[runner.RenewLease](h), Answer: runner.OtherIncarnation, Clock: 5100})
	h.wait(300 * time.Millisecond)
	h.sendList(must[runner.RenewLease](h), control.Task{ID: start(1).Task, Run: 1, Phase: control.Running})
	if renewal := must[runner.RenewLease](h); renewal.Until == 0 {
		t.Errorf("the lease is not renewed: %+v", renewal)
	}
}

// TestRestartOfLostRunnerAfterClockStep guards against a runner that stays unused since it was
// given up before it started again with an earlier start time.
func TestRestartOfLostRunnerAfterClockStep(t *testing.T) {
	h := newHarness(t)
	h.heartbeatOf(reborn)
	h.sendOrders(must[runner.Send](h), nil)
	h.listFrom(must[runner.RenewLease](h), control.Task{ID: start(1).Task, Run: 1, Phase: control.Running})
	renewal := must[runner.RenewLease](h)
	h.step(runner.RenewLeaseResult{Call: renewal, Answer: runner.NotListening})
	for range 3 {
		h.wait(300 * time.Millisecond)
		if renewal, ok := find[runner.RenewLease](h); ok {
			h.step(runner.RenewLeaseResult{Call: renewal, Answer: runner.NotListening})
		}
	}
	h.wait(300 * time.Millisecond)
	h.step(runner.RenewLeaseResult{Call: must[runner.RenewLease](h), Answer: runner.OtherIncarnation, Clock: 10})
	h.heartbeatOf(self)
	if list := must[runner.RenewLease](h); list.Runner != self {
		t.Errorf("list requested of %+v, want %+v", list.Runner, self)
	}
}
