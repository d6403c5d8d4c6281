package runner_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/runner"
)

// TestRestartAfterClockStep has a runner start again under its name after the wall clock was
// set back, so that its start time is lower than before. The agent must find it when it
// has answered, so that its tasks are not waited for without end.
func TestRestartAfterClockStep(t *testing.T) {
	h := newHarness(t)
	h.heartbeatOf(reborn)
	h.sendOrders(must[runner.Send](h), nil)
	h.listFrom(must[runner.RenewLease](h), control.Task{ID: start(1).Task, Run: 1, Phase: control.Running})
	h.step(runner.RenewLeaseResult{Call: must[runner.RenewLease](h), Answer: runner.OtherIncarnation, Clock: 150})
	h.wait(300 * time.Millisecond)
	h.step(runner.RenewLeaseResult{Call: must[runner.RenewLease](h), Answer: runner.OtherIncarnation, Clock: 450})
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

// TestLateHeartbeatAfterRestart delays a heartbeat of a former incarnation until the runner has
// answered as another one. Its list shows that the heartbeat was late.
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

// TestHeartbeatFromBeforeClockStep delays a heartbeat from before the wall clock was set back
// until the next incarnation has listed its tasks. That incarnation's lease must be renewed
// again once it has answered.
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
