package runner_test

import (
	"context"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/runner"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// harness drives the core of an agent and keeps the effects of the last step.
type harness struct {
	t       *testing.T
	now     time.Time
	core    *runner.Core
	effects []any
	lastSeq control.OrdersSeq
}

// maxUnanswered is how many reports may be sent to a gate that does not answer.
const maxUnanswered = 2

var self = control.RunnerID{Name: "i-1", Incarnation: 1}

func newHarness(t *testing.T, options ...runner.Option) *harness {
	options = append([]runner.Option{runner.WithHoldTime(6 * time.Second)}, options...)
	return &harness{
		t: t, now: time.Unix(1000, 0),
		core: runner.New("a", 7, []machine.Node{"gate:1"}, options...),
	}
}

func (h *harness) step(event any) {
	h.effects = h.core.Step(h.now, event)
}

func (h *harness) wait(d time.Duration) {
	h.now = h.now.Add(d)
	h.step(runner.Tick{})
}

// find returns the first effect of type T of the last step.
func find[T any](h *harness) (T, bool) {
	for _, effect := range h.effects {
		if e, ok := effect.(T); ok {
			return e, true
		}
	}
	var zero T
	return zero, false
}

// must is like find, but fails the test if there is no such effect.
func must[T any](h *harness) T {
	h.t.Helper()
	effect, ok := find[T](h)
	if !ok {
		h.t.Fatalf("no %T among %v", effect, h.effects)
	}
	return effect
}

func (h *harness) heartbeat() {
	h.step(runner.Heartbeat{Runner: control.Runner{ID: self, Pool: "p"}, Seq: 1, Clock: 5000})
}

// sendOrders answers a report with the next orders, which edit may change first.
func (h *harness) sendOrders(send runner.Send, edit func(*control.Orders)) {
	h.lastSeq++
	orders := control.Orders{Leads: true, Epoch: 1, Fence: 1, Seq: h.lastSeq, Runner: self}
	if edit != nil {
		edit(&orders)
	}
	h.step(runner.SendResult{Call: send, Orders: orders})
}

// sendList answers a lease renewal with the runner's tasks.
func (h *harness) sendList(renewal runner.RenewLease, tasks ...control.Task) {
	h.step(runner.RenewLeaseResult{Call: renewal, Answer: runner.Accepted, Clock: 5000 + runner.Clock(h.now.Sub(time.Unix(1000, 0)).Milliseconds()), Tasks: tasks})
}

// ready lets the agent find its runner, its leader and the runner's tasks, so that it
// applies orders, and returns its report.
func (h *harness) ready() runner.Send {
	h.t.Helper()
	h.heartbeat()
	h.sendOrders(must[runner.Send](h), nil)
	h.sendList(must[runner.RenewLease](h))
	if next := h.core.NextStep(); next.After(h.now) {
		h.wait(next.Sub(h.now))
	}
	return must[runner.Send](h)
}

func start(run work.Run) control.Start {
	return control.Start{Task: work.TaskID{StepID: work.StepID{Job: "j1"}}, Run: run}
}

// TestOrdersBeforeList sends orders before the runner has listed its tasks. They must
// not be reported as applied, since they were not carried out.
func TestOrdersBeforeList(t *testing.T) {
	h := newHarness(t)
	h.heartbeat()
	h.sendOrders(must[runner.Send](h), func(o *control.Orders) { o.Starts = []control.Start{start(1)} })
	if call, ok := find[runner.StartTask](h); ok {
		t.Errorf("started %v before the list", call.Start)
	}
	h.sendList(must[runner.RenewLease](h))
	if report := must[runner.Send](h).Report; report.Applied != 0 || !report.Complete {
		t.Errorf("applied orders %d, listed %t; want 0, true", report.Applied, report.Complete)
	}
}

// TestUnansweredStart loses the answer to a start that did not take effect. The start
// is uncertain until the runner has listed its tasks under a higher fencing token;
// from then on the runner rejects it. It is not sent again, and refused only when no
// lease lasts any more that its run may have at another incarnation.
func TestUnansweredStart(t *testing.T) {
	h := newHarness(t)
	call := h.startFirst()
	h.step(runner.StartResult{Call: call, Answer: runner.NoAnswer})
	renewal := must[runner.RenewLease](h)
	if renewal.Token <= call.Token || renewal.Wait != 0 {
		t.Errorf("list requested with token %d after token %d, wait %s", renewal.Token, call.Token, renewal.Wait)
	}
	ordered := h.now
	h.now = h.now.Add(10 * time.Millisecond)
	h.sendList(renewal)
	for refused := false; !refused; {
		h.checkHeld("after the list")
		if again, ok := find[runner.StartTask](h); ok {
			t.Errorf("sent again: %+v", again)
		}
		h.wait(100 * time.Millisecond)
		for _, effect := range h.effects {
			l, ok := effect.(runner.Log)
			refused = refused || ok && l.Event == "start refused"
		}
		if age := h.now.Sub(ordered); refused && age < maxLease || age > 12*time.Second {
			t.Fatalf("refused %t after %s", refused, age)
		}
	}
}

// TestUnansweredStartRuns loses the answer to a start that took effect.
func TestUnansweredStartRuns(t *testing.T) {
	h := newHarness(t)
	h.sendOrders(h.ready(), func(o *control.Orders) { o.Starts = []control.Start{start(1)} })
	call := must[runner.StartTask](h)
	h.step(runner.StartResult{Call: call, Answer: runner.NoAnswer})
	h.sendList(must[runner.RenewLease](h), control.Task{ID: start(1).Task, Run: 1, Phase: control.Running})
	report := must[runner.Send](h).Report
	if len(report.Tasks) != 1 || report.Tasks[0].Phase != control.Running || len(report.Refusals) != 0 {
		t.Errorf("tasks %v, refusals %v", report.Tasks, report.Refusals)
	}
}

// TestStopBeforeStart orders a run to stop that the agent does not have. The run must
// not start later.
func TestStopBeforeStart(t *testing.T) {
	h := newHarness(t)
	send := h.ready()
	h.sendOrders(send, func(o *control.Orders) {
		o.Stops = []control.Stop{{Task: start(1).Task, Run: 1}}
	})
	if report := must[runner.Send](h).Report; len(report.Refusals) != 1 {
		t.Errorf("refusals %v", report.Refusals)
	}
	h.sendOrders(send, func(o *control.Orders) { o.Starts = []control.Start{start(1)} })
	if call, ok := find[runner.StartTask](h); ok {
		t.Errorf("started %v after its stop", call.Start)
	}
}

// TestStaleOrders delays a leader's orders so long that another gate may lead. They
// must not be applied.
func TestStaleOrders(t *testing.T) {
	h := newHarness(t)
	send := h.ready()
	h.now = h.now.Add(2 * time.Second)
	h.sendOrders(send, func(o *control.Orders) { o.Starts = []control.Start{start(1)} })
	if call, ok := find[runner.StartTask](h); ok {
		t.Errorf("started %v by stale orders", call.Start)
	}
}

// TestUnansweredRenewals has a runner stop answering. Its tasks are given up only
// when its lease has expired.
func TestUnansweredRenewals(t *testing.T) {
	h := newHarness(t)
	h.sendOrders(h.ready(), func(o *control.Orders) { o.Starts = []control.Start{start(1)} })
	h.step(runner.StartResult{Call: must[runner.StartTask](h), Answer: runner.Accepted})
	last := h.now
	for range 200 {
		h.wait(100 * time.Millisecond)
		if renewal, ok := find[runner.RenewLease](h); ok {
			h.step(runner.RenewLeaseResult{Call: renewal, Answer: runner.NoAnswer})
		}
		if send, ok := find[runner.Send](h); ok {
			if send.Report.RunnerGone {
				break
			}
			h.sendOrders(send, nil)
		}
	}
	if took := h.now.Sub(last); took < 6*time.Second || took > 12*time.Second {
		t.Errorf("tasks given up after %s, want 6 to 12 s", took)
	}
}

// TestLostLeader has a leader fail while the other gate still redirects to it. The
// agent must go on asking the gates until one names another leader or a later epoch.
func TestLostLeader(t *testing.T) {
	h := newHarness(t)
	h.core.AddGates([]machine.Node{"gate:2"})
	send := h.ready()
	h.step(runner.SendResult{Call: send, Err: context.DeadlineExceeded})
	asked := make(map[machine.Node]int)
	for range 10 {
		h.wait(200 * time.Millisecond)
		send, ok := find[runner.Send](h)
		if !ok {
			continue
		}
		asked[send.To]++
		if send.To == "gate:2" {
			h.step(runner.SendResult{Call: send, Orders: control.Orders{Leader: "gate:1", Epoch: 1}})
		}
	}
	if asked["gate:1"] > maxUnanswered || asked["gate:2"] < 3 {
		t.Errorf("reports by gate: %v", asked)
	}
	for range 3 {
		h.wait(200 * time.Millisecond)
		if send, ok := find[runner.Send](h); ok && send.To == "gate:2" {
			h.step(runner.SendResult{Call: send, Orders: control.Orders{Leader: "gate:3", Epoch: 2}})
			h.wait(200 * time.Millisecond)
			if send, ok := find[runner.Send](h); !ok || send.To != "gate:3" {
				t.Errorf("report to %q, want the new leader", send.To)
			}
			return
		}
	}
	t.Error("the other gate was not asked again")
}

// TestReportWait has the leader set how long its answers may be delayed. The agent uses
// that time, but reports often enough that its hold is renewed.
func TestReportWait(t *testing.T) {
	for reportWait, want := range map[time.Duration]time.Duration{0: 600 * time.Millisecond, time.Second: time.Second, time.Hour: 2 * time.Second} {
		h := newHarness(t)
		h.heartbeat()
		h.sendOrders(must[runner.Send](h), func(o *control.Orders) { o.ReportWait = reportWait })
		h.sendList(must[runner.RenewLease](h))
		if got := must[runner.Send](h).Report.Wait; got != want {
			t.Errorf("report wait %v: report waits %v, want %v", reportWait, got, want)
		}
	}
}

// TestGoneRunner has a runner vanish for good while a task is to stop there. A
// failed connection must not count as an answer of the runner: the agent gives up its
// tasks when its lease has expired.
func TestGoneRunner(t *testing.T) {
	h := newHarness(t)
	h.sendOrders(h.ready(), func(o *control.Orders) { o.Starts = []control.Start{start(1)} })
	h.step(runner.StartResult{Call: must[runner.StartTask](h), Answer: runner.Accepted})
	send := must[runner.Send](h)
	h.sendOrders(send, func(o *control.Orders) {
		o.Stops = []control.Stop{{Task: start(1).Task, Run: 1}}
	})
	for end := h.now.Add(15 * time.Second); h.now.Before(end); {
		h.wait(100 * time.Millisecond)
		for _, effect := range h.effects {
			switch e := effect.(type) {
			case runner.RenewLease:
				h.step(runner.RenewLeaseResult{Call: e, Answer: runner.Unreachable})
			case runner.StopTask:
				h.step(runner.StopResult{Call: e, Answer: runner.Unreachable})
			case runner.Send:
				if e.Report.RunnerGone && len(e.Report.Tasks) == 0 {
					return
				}
				h.sendOrders(e, nil)
			}
		}
	}
	t.Error("the agent still reports tasks of a runner that is gone")
}

// TestGoneRunnerGetsNoStarts has a runner vanish while a task runs there and the
// leader goes on ordering starts. These must not keep the agent from giving up the
// runner's tasks.
func TestGoneRunnerGetsNoStarts(t *testing.T) {
	h := newHarness(t)
	h.sendOrders(h.ready(), func(o *control.Orders) { o.Starts = []control.Start{start(1)} })
	h.step(runner.StartResult{Call: must[runner.StartTask](h), Answer: runner.Accepted})
	pending := h.effects
	next := start(1)
	for end := h.now.Add(15 * time.Second); h.now.Before(end); {
		h.wait(50 * time.Millisecond)
		pending = append(pending, h.effects...)
		if len(pending) == 0 {
			continue
		}
		h.effects = nil
		switch e := pending[0].(type) {
		case runner.RenewLease:
			h.step(runner.RenewLeaseResult{Call: e, Answer: runner.Unreachable})
		case runner.StartTask:
			h.step(runner.StartResult{Call: e, Answer: runner.Unreachable})
		case runner.Send:
			if e.Report.RunnerGone && len(e.Report.Tasks) == 0 {
				return
			}
			next.Task.Index++
			h.sendOrders(e, func(o *control.Orders) { o.Starts = []control.Start{next} })
		}
		pending = append(pending[1:], h.effects...)
	}
	t.Error("the agent still reports tasks of a runner that is gone")
}
