package runner_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/runner"
)

// reborn is the runner self after it was started again under its name, and successor
// another runner at its address.
var (
	reborn    = control.RunnerID{Name: "i-1", Incarnation: 2}
	successor = control.RunnerID{Name: "i-2", Incarnation: 2}
)

// heartbeatOf sends the first heartbeat of a runner.
func (h *harness) heartbeatOf(id control.RunnerID) {
	h.step(runner.Heartbeat{Runner: control.Runner{ID: id, Pool: "p"}, Seq: 1, Clock: 100})
}

// listFrom answers a renewal with the list of a runner whose clock has just begun.
func (h *harness) listFrom(renewal runner.RenewLease, tasks ...control.Task) {
	h.step(runner.RenewLeaseResult{Call: renewal, Answer: runner.Accepted, Clock: 200, Tasks: tasks})
}

// checkHeld fails the test if a report of the last step lets the leader conclude that the
// first run does not run: it names another runner, or its list is complete without the run,
// as it is if the runner is gone.
func (h *harness) checkHeld(when string) {
	h.t.Helper()
	for _, effect := range h.effects {
		send, ok := effect.(runner.Send)
		if !ok {
			continue
		}
		report := send.Report
		if report.Runner == nil || report.Runner.ID != self || (report.RunnerGone || report.Complete) && len(report.Tasks) == 0 {
			h.t.Errorf("%s: the report gives the run up: %+v", when, report)
		}
	}
}

// startFirst orders the first run to start and returns the call.
func (h *harness) startFirst() runner.StartTask {
	h.t.Helper()
	h.sendOrders(h.ready(), func(o *control.Orders) { o.Starts = []control.Start{start(1)} })
	return must[runner.StartTask](h)
}

// TestStartReachesNextIncarnation guards against a run that is given up while the next incarnation has it.
func TestStartReachesNextIncarnation(t *testing.T) {
	for name, c := range map[string]struct{ accepted, listFirst bool }{
		"accepted, list": {true, true}, "accepted, heartbeat": {true, false},
		"in flight, list": {false, true}, "in flight, heartbeat": {false, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			call := h.startFirst()
			renewal := must[runner.RenewLease](h)
			if c.accepted {
				h.step(runner.StartResult{Call: call, Answer: runner.Accepted})
				h.checkHeld("accepted")
			}
			if c.listFirst {
				h.step(runner.RenewLeaseResult{Call: renewal, Answer: runner.OtherIncarnation, Clock: 150})
				h.checkHeld("list of another incarnation")
				for range 5 {
					h.wait(100 * time.Millisecond)
					h.checkHeld("wait for a heartbeat")
				}
			}
			h.heartbeatOf(reborn)
			h.checkHeld("heartbeat")
			list := must[runner.RenewLease](h)
			if list.Runner != reborn || list.Token <= call.Token || list.Until != 0 || list.Acked != 0 {
				t.Errorf("list requested by %+v after token %d", list, call.Token)
			}
			h.listFrom(list, control.Task{ID: start(1).Task, Run: 1, Phase: control.Running})
			report := must[runner.Send](h).Report
			if report.Runner == nil || report.Runner.ID != reborn || !report.Complete || len(report.Tasks) != 1 {
				t.Errorf("report after the list: %+v", report)
			}
		})
	}
}

// TestFencedByNextIncarnation guards against a start that is repeated at the next incarnation.
func TestFencedByNextIncarnation(t *testing.T) {
	h := newHarness(t)
	call := h.startFirst()
	h.heartbeatOf(reborn)
	h.step(runner.StartResult{Call: call, Answer: runner.Fenced})
	if repeated, ok := find[runner.StartTask](h); ok {
		t.Errorf("start repeated: %+v", repeated)
	}
}

// TestReplacedRunnerIsGone checks that tasks of a runner that was replaced are gone at once.
func TestReplacedRunnerIsGone(t *testing.T) {
	h := newHarness(t)
	call := h.startFirst()
	renewal := must[runner.RenewLease](h)
	h.step(runner.StartResult{Call: call, Answer: runner.Accepted})
	h.step(runner.RenewLeaseResult{Call: renewal, Answer: runner.OtherRunner})
	if report := must[runner.Send](h).Report; !report.RunnerGone || len(report.Tasks) != 0 {
		t.Errorf("report %+v", report)
	}
	if renewal, ok := find[runner.RenewLease](h); ok {
		t.Errorf("%+v without a back-off", renewal)
	}
	h.heartbeatOf(successor)
	h.listFrom(must[runner.RenewLease](h))
	h.wait(time.Millisecond)
	if send, ok := find[runner.Send](h); ok && (send.Report.Runner.ID != successor || send.Report.RunnerGone) {
		t.Errorf("report of the successor: %+v", send.Report)
	}
}

// TestLateHeartbeatOfFormerRunner guards against a delayed heartbeat that gives up the present runner's tasks.
func TestLateHeartbeatOfFormerRunner(t *testing.T) {
	h := newHarness(t)
	h.heartbeat()
	h.sendOrders(must[runner.Send](h), func(o *control.Orders) { o.Runner = successor })
	h.step(runner.RenewLeaseResult{Call: must[runner.RenewLease](h), Answer: runner.OtherRunner})
	for range 20 {
		for _, effect := range h.effects {
			if send, ok := effect.(runner.Send); ok {
				if send.Report.Runner != nil {
					t.Fatalf("report of a former runner: %+v", send.Report)
				}
				h.sendOrders(send, func(o *control.Orders) { o.Runner = successor })
				break
			}
		}
		h.wait(100 * time.Millisecond)
	}
	h.heartbeatOf(successor)
	h.listFrom(must[runner.RenewLease](h))
	h.wait(time.Second)
}

// TestSilentSuccessor guards against tasks that are given up before the lease has expired, or never.
func TestSilentSuccessor(t *testing.T) {
	h := newHarness(t)
	call := h.startFirst()
	h.step(runner.StartResult{Call: call, Answer: runner.Accepted})
	h.heartbeatOf(reborn)
	began := h.now
	for range 300 {
		h.wait(50 * time.Millisecond)
		for _, effect := range h.effects {
			switch e := effect.(type) {
			case runner.RenewLease:
				h.step(runner.RenewLeaseResult{Call: e, Answer: runner.NoAnswer})
			case runner.Send:
				if e.Report.RunnerGone {
					if age := h.now.Sub(began); age < 6*time.Second {
						t.Errorf("tasks given up after %s", age)
					}
					return
				}
				h.sendOrders(e, nil)
			}
		}
	}
	t.Error("the tasks were not given up")
}

// TestTokenNeverFalls guards against a fencing token that falls with a delayed answer.
func TestTokenNeverFalls(t *testing.T) {
	h := newHarness(t)
	report := h.ready()
	h.sendOrders(report, func(o *control.Orders) { o.Fence, o.Starts = 4, []control.Start{start(1)} })
	call := must[runner.StartTask](h)
	h.sendOrders(report, func(o *control.Orders) { o.Fence, o.Seq = 2, 1 })
	h.heartbeatOf(reborn)
	if list := must[runner.RenewLease](h); list.Token <= call.Token {
		t.Errorf("list requested with token %d after a start with token %d", list.Token, call.Token)
	}
}

// TestRestartWithoutHeartbeat guards against tasks that are held for a runner that has started
// again and sends no heartbeat. They are held only as long as a late start may have reached it.
func TestRestartWithoutHeartbeat(t *testing.T) {
	h := newHarness(t)
	call := h.startFirst()
	first := must[runner.RenewLease](h)
	h.step(runner.StartResult{Call: call, Answer: runner.Accepted})
	h.step(runner.RenewLeaseResult{Call: first, Answer: runner.OtherIncarnation, Clock: 100})
	h.checkHeld("first answer of the next incarnation")
	h.wait(300 * time.Millisecond)
	second := must[runner.RenewLease](h)
	if second.Token <= first.Token {
		t.Errorf("token %d of the next list, want above %d", second.Token, first.Token)
	}
	listed := control.Task{ID: start(1).Task, Run: 1, Phase: control.Running}
	h.step(runner.RenewLeaseResult{Call: second, Answer: runner.OtherIncarnation, Clock: 400, Tasks: []control.Task{listed}})
	h.checkHeld("list with the task")
	h.wait(300 * time.Millisecond)
	h.step(runner.RenewLeaseResult{Call: must[runner.RenewLease](h), Answer: runner.OtherIncarnation, Clock: 700})
	if send, ok := find[runner.Send](h); !ok || !send.Report.RunnerGone || len(send.Report.Tasks) != 0 {
		t.Errorf("report %+v, want that nothing runs there", send.Report)
	}
}

// TestStartBeforeRunnerEnds guards against a run that its leader waits for until the hold has
// passed: its runner ended before the agent carried the start out.
func TestStartBeforeRunnerEnds(t *testing.T) {
	for name, late := range map[string]bool{"ordered before the end": false, "ordered after it": true} {
		h := newHarness(t)
		call := h.startFirst()
		first := must[runner.RenewLease](h)
		h.step(runner.StartResult{Call: call, Answer: runner.Accepted})
		h.step(runner.RenewLeaseResult{Call: first, Answer: runner.OtherIncarnation, Clock: 100})
		report := must[runner.Send](h)
		order := func() {
			h.sendOrders(report, func(o *control.Orders) { o.Starts = []control.Start{start(2)} })
		}
		if !late {
			order()
		}
		h.wait(300 * time.Millisecond)
		h.step(runner.RenewLeaseResult{Call: must[runner.RenewLease](h), Answer: runner.OtherIncarnation, Clock: 400})
		if late {
			order()
		}
		if send, ok := find[runner.Send](h); !ok || !send.Report.RunnerGone || len(send.Report.Refusals) != 1 || send.Report.Refusals[0].Run != 2 {
			t.Errorf("%s: report %+v, want that run 2 will not start", name, send.Report)
		}
	}
}
