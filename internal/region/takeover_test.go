package region_test

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/region"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// advance lets time pass while the given agents report.
func (h *harness) advance(d time.Duration, agents ...control.AgentID) {
	h.t.Helper()
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(500 * time.Millisecond)
		h.core.Tick(h.now)
		for _, agent := range agents {
			h.report(agent, h.runningAll(agent))
		}
		h.save()
	}
}

// runningAll returns a change that reports every task ordered so far as running, on
// whichever agent.
func (h *harness) runningAll(control.AgentID) func(*control.Report) {
	return func(r *control.Report) {
		for id, run := range h.runs {
			r.Tasks = append(r.Tasks, control.Task{ID: id, Run: run, Phase: control.Running})
		}
	}
}

// TestTakeoverAfterLeave has an agent leave for good. A later leader must start
// jobs that were accepted earlier without waiting for this agent.
func TestTakeoverAfterLeave(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.join("gone")
	h.advance(10*time.Second, "a")
	h.submit(gpuJob("j1", 1, 16))
	h.submit(gpuJob("j2", 1, 8))
	h.lead(2)
	h.report("a", nil)
	h.save()
	if orders := h.report("a", nil); len(orders.Starts) != 1 || orders.Starts[0].Task.Job != "j2" {
		t.Errorf("starts %v, want j2 at once", orders.Starts)
	}
}

// TestTakeoverUnresponsiveAgent has an agent that may be running tasks of the
// former leader and does not report. Tasks accepted before the takeover must not
// start elsewhere while the longest lease may last that its runner may have.
func TestTakeoverUnresponsiveAgent(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.join("silent")
	h.submit(gpuJob("j1", 1, 8))
	h.lead(2)
	h.report("a", nil)
	h.save()
	if orders := h.report("a", nil); len(orders.Starts) != 0 {
		t.Errorf("started %v while it may run elsewhere", orders.Starts)
	}
	h.submit(gpuJob("j2", 1, 4))
	if orders := h.report("a", nil); len(orders.Starts) != 1 || orders.Starts[0].Task.Job != "j2" {
		t.Errorf("starts %v, want the job accepted since", orders.Starts)
	}
	h.core.Cancel(h.now, "j2", 9)
	delete(h.runs, taskOf("j2", 0))
	h.advance(slowestLease, "a")
	if h.runs[taskOf("j1", 0)] != 0 {
		t.Error("started before the lease had expired")
	}
	h.advance(2*time.Second, "a")
	if h.runs[taskOf("j1", 0)] == 0 {
		t.Error("not started after the lease had expired")
	}
}

// TestAdopt has a new leader find a task of the former leader where it runs. It
// must adopt the task and not start it a second time.
func TestAdopt(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.join("b")
	h.submit(gpuJob("j1", 1, 8))
	h.report("a", nil)
	run := h.runs[taskOf("j1", 0)]
	h.lead(2)
	h.report("a", func(r *control.Report) {
		r.Tasks = []control.Task{{ID: taskOf("j1", 0), Run: run, Phase: control.Running}}
	})
	h.save()
	orders := h.report("b", nil)
	if len(orders.Starts) != 0 {
		t.Errorf("task started a second time: %v", orders.Starts)
	}
	var id work.JobID = "j1"
	if state, ok := h.core.State(id); !ok || state != "running" {
		t.Errorf("state %q", state)
	}
}

// TestTakeoverWithoutRunner has a runner leave while its agent stays. A later
// leader must not wait for tasks that might run there.
func TestTakeoverWithoutRunner(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.join("left")
	h.report("left", func(r *control.Report) { r.RunnerGone = true })
	h.save()
	h.submit(gpuJob("j1", 1, 16))
	h.submit(gpuJob("j2", 1, 8))
	h.lead(2)
	h.report("a", nil)
	h.save()
	if orders := h.report("a", nil); len(orders.Starts) != 1 {
		t.Errorf("starts %v, want j2 at once", orders.Starts)
	}
}

// TestReplacedRunner has a new incarnation of a runner come up at an agent. Nothing
// may start there before the agent has listed the runner's tasks.
func TestReplacedRunner(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.submit(gpuJob("j1", 1, 8))
	h.report("a", nil)
	first := h.runs[taskOf("j1", 0)]
	replaced := func(listed bool) func(*control.Report) {
		return func(r *control.Report) { r.Runner.ID.Incarnation, r.Complete = 2, listed }
	}
	if orders := h.report("a", replaced(false)); len(orders.Starts) != 0 {
		t.Errorf("started %v before the list", orders.Starts)
	}
	orders := h.report("a", replaced(true))
	if len(orders.Starts) != 1 || orders.Starts[0].Run <= first {
		t.Errorf("starts %v, want j1 with a run above %d", orders.Starts, first)
	}
}

// TestGangIncomplete has a new leader find one of two members of a gang, while the
// agent that was to run the other one does not report. The member must be stopped
// before it ends alone. A member that has made progress must be left to run.
func TestGangIncomplete(t *testing.T) {
	for _, percent := range []int{0, 30} {
		h := newHarness(t)
		h.join("a")
		h.join("silent")
		j := gpuJob("j1", 2, 8)
		j.Steps[0].Gang = true
		h.submit(j)
		h.report("a", nil)
		h.report("silent", nil)
		found := taskOf("j1", 0)
		run := h.runs[found]
		h.lead(2)
		var orders control.Orders
		for range 5 {
			h.now = h.now.Add(500 * time.Millisecond)
			orders = h.report("a", func(r *control.Report) {
				r.Tasks = []control.Task{{ID: found, Run: run, Phase: control.Running, Percent: percent}}
			})
		}
		if stopped := len(orders.Stops) == 1; stopped != (percent == 0) {
			t.Errorf("at %d percent: stops %v", percent, orders.Stops)
		}
	}
}

// TestTakeoverAfterDrain has a runner drain, end its last task and vanish with its
// agent. A later leader must start jobs that were accepted earlier without waiting
// for this agent, but must wait if the task has not ended.
func TestTakeoverAfterDrain(t *testing.T) {
	for _, ended := range []bool{false, true} {
		h := newHarness(t)
		h.join("a")
		h.submit(gpuJob("j0", 1, 8))
		h.report("a", nil)
		h.join("b")
		h.report("a", func(r *control.Report) {
			r.Runner.Draining = true
			if ended {
				r.Results = []control.Result{{ID: 1, Task: taskOf("j0", 0), Run: h.runs[taskOf("j0", 0)], Outcome: control.Done}}
			} else {
				h.runningAll("a")(r)
			}
		})
		h.save()
		h.submit(gpuJob("j1", 1, 8))
		h.lead(2)
		h.report("b", nil)
		h.save()
		if got := len(h.report("b", nil).Starts); got != map[bool]int{false: 0, true: 1}[ended] {
			t.Errorf("last task ended %v: %d starts", ended, got)
		}
	}
}

// TestDrainBeforeList guards against a leader that does not wait for a draining agent without a list.
func TestDrainBeforeList(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.submit(gpuJob("j0", 1, 8))
	h.report("a", nil)
	h.join("b")
	h.lead(2)
	h.report("a", func(r *control.Report) { r.Runner.Draining, r.Complete = true, false })
	h.save()
	h.lead(3)
	h.report("b", nil)
	h.save()
	if orders := h.report("b", nil); len(orders.Starts) != 0 {
		t.Errorf("started %v while it may run elsewhere", orders.Starts)
	}
}

// TestFailuresOutOfOrder has two runs of a task fail under a leader that makes
// neither result durable. The next leader hears of the later one first. Both must
// count towards the job's attempts, and neither of them twice.
func TestFailuresOutOfOrder(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.join("b")
	h.submit(gpuJob("j1", 1, 8))
	h.lead(3)
	failed := func(n control.ResultID, run work.Run) func(*control.Report) {
		return func(r *control.Report) {
			r.Results = []control.Result{{ID: n, Task: taskOf("j1", 0), Run: run, Outcome: control.Failed}}
		}
	}
	h.report("a", failed(1, 2))
	h.report("a", failed(1, 2))
	if state, _ := h.core.State("j1"); state == region.Failed {
		t.Fatal("one failure was counted twice")
	}
	h.report("b", failed(1, 1))
	h.save()
	if state, _ := h.core.State("j1"); state != region.Failed {
		t.Errorf("state %q after two failures of two attempts, want %q", state, region.Failed)
	}
}

// TestUnreadableRecord has a leader of another release leave a record that this
// release can't decode. What the job has done is not known, so none of its tasks
// may start.
func TestUnreadableRecord(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.submit(gpuJob("j1", 1, 8))
	h.report("a", nil)
	h.report("a", h.reportDone(1, "j1"))
	h.save()
	key := region.RecordPrefix + "j1"
	if _, err := h.table.Commit(context.Background(), table.Txn{Writes: []table.Write{{Key: key, Value: []byte("{}")}}}); err != nil {
		t.Fatal(err)
	}
	h.lead(2)
	h.report("a", nil)
	h.save()
	if orders := h.report("a", nil); len(orders.Starts) != 0 {
		t.Errorf("starts %v", orders.Starts)
	}
	if state, known := h.core.State("j1"); known {
		t.Errorf("state %q of a job whose record can't be decoded", state)
	}
}

// TestRecordOfFormerRelease has a leader of the former release leave a record. The
// new leader must take the done tasks and the checkpoints from it.
func TestRecordOfFormerRelease(t *testing.T) {
	type task struct {
		Failures   int             `cbor:"1,keyasint,omitempty"`
		Failed     work.Run        `cbor:"2,keyasint,omitempty"`
		Checkpoint work.Checkpoint `cbor:"3,keyasint,omitempty"`
	}
	type step struct {
		Done     []byte       `cbor:"1,keyasint,omitempty"`
		Failures int          `cbor:"2,keyasint,omitempty"`
		Failed   work.Run     `cbor:"3,keyasint,omitempty"`
		Tasks    map[int]task `cbor:"4,keyasint,omitempty"`
	}
	type occurrence struct {
		Whole bool   `cbor:"1,keyasint,omitempty"`
		Steps []step `cbor:"2,keyasint,omitempty"`
	}
	type record struct {
		State       region.State `cbor:"1,keyasint"`
		Occurrences []occurrence `cbor:"2,keyasint,omitempty"`
	}
	h := newHarness(t)
	h.join("a")
	h.submit(gpuJob("j1", 2, 4))
	former := step{Done: []byte{1}, Tasks: map[int]task{1: {Failures: 1, Failed: 7, Checkpoint: "c"}}}
	value, err := cbor.Marshal(record{State: region.Running, Occurrences: []occurrence{{Steps: []step{former}}}})
	if err != nil {
		t.Fatal(err)
	}
	txn := table.Txn{Writes: []table.Write{{Key: region.RecordPrefix + "j1", Value: value}}}
	if _, err := h.table.Commit(context.Background(), txn); err != nil {
		t.Fatal(err)
	}
	h.lead(2)
	h.report("a", nil)
	h.save()
	orders := h.report("a", nil)
	if len(orders.Starts) != 1 || orders.Starts[0].Task != taskOf("j1", 1) || orders.Starts[0].Checkpoint != "c" {
		t.Errorf("starts %v, want the second task only", orders.Starts)
	}
}

// TestAgentWithoutRunner has an agent restart next to a runner that is gone for
// good. The agent can't renew the leases of the tasks there, so its reports must
// not keep these tasks placed on it.
func TestAgentWithoutRunner(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.submit(gpuJob("j1", 1, 8))
	h.report("a", nil)
	h.report("a", h.runningAll("a"))
	h.join("b")
	for end := h.now.Add(10 * time.Second); h.now.Before(end); {
		h.now = h.now.Add(500 * time.Millisecond)
		h.core.Tick(h.now)
		h.report("a", func(r *control.Report) { r.Incarnation, r.Runner, r.Complete = 2, nil, false })
		if orders := h.report("b", nil); len(orders.Starts) == 1 {
			return
		}
		h.save()
	}
	t.Error("the task is still placed on an agent that does not know its runner")
}

// TestStartAtGoneRunner guards against a task that waits for ever for a runner that has left.
func TestStartAtGoneRunner(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.submit(gpuJob("j1", 1, 8))
	if n := len(h.report("a", nil).Starts); n != 1 {
		t.Fatalf("%d starts", n)
	}
	ordered := h.now
	applied := h.ordersSeq["a"] - 1
	h.join("b")
	for h.now.Before(ordered.Add(20 * time.Second)) {
		h.report("a", func(r *control.Report) { r.RunnerGone, r.Applied = true, applied })
		starts := len(h.report("b", nil).Starts)
		if age := h.now.Sub(ordered); starts > 0 {
			if age <= 1500*time.Millisecond {
				t.Errorf("started elsewhere after %v", age)
			}
			return
		}
		h.save()
		h.now = h.now.Add(100 * time.Millisecond)
		h.core.Tick(h.now)
	}
	t.Error("not started elsewhere")
}

// TestTakeoverAfterStartAtGoneRunner guards against a second start while the first is on its way.
func TestTakeoverAfterStartAtGoneRunner(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.submit(gpuJob("j1", 1, 8))
	h.report("a", nil)
	applied := h.ordersSeq["a"] - 1
	h.report("a", func(r *control.Report) { r.RunnerGone, r.Applied = true, applied })
	h.save()
	h.join("b")
	h.lead(2)
	h.report("b", nil)
	h.save()
	if orders := h.report("b", nil); len(orders.Starts) != 0 {
		t.Errorf("started %v while it may start elsewhere", orders.Starts)
	}
}
