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

// pass lets time pass while the given agents report.
func (b *bed) pass(d time.Duration, agents ...control.AgentID) {
	b.t.Helper()
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(500 * time.Millisecond)
		b.core.Tick(b.now)
		for _, agent := range agents {
			b.report(agent, b.holding(agent))
		}
		b.save()
	}
}

// holding lists what an agent was told to run.
func (b *bed) holding(control.AgentID) func(*control.Report) {
	return func(r *control.Report) {
		for id, run := range b.run {
			r.Tasks = append(r.Tasks, control.Task{ID: id, Run: run, Phase: control.Running})
		}
	}
}

// TestTakeoverAfterLeave has an agent leave for good. A later leader must not
// wait for it before it starts what was accepted earlier.
func TestTakeoverAfterLeave(t *testing.T) {
	b := newBed(t)
	b.join("a")
	b.join("gone")
	b.pass(10*time.Second, "a")
	b.submit(gpuJob("j1", 1, 16))
	b.submit(gpuJob("j2", 1, 8))
	b.lead(2)
	b.report("a", nil)
	b.save()
	if word := b.report("a", nil); len(word.Starts) != 1 || word.Starts[0].Task.Job != "j2" {
		t.Errorf("starts %v, want j2 at once", word.Starts)
	}
}

// TestTakeoverUnheard has an agent that may run tasks of the former leader.
// Tasks that were accepted before must not start elsewhere until its hold has
// passed.
func TestTakeoverUnheard(t *testing.T) {
	b := newBed(t)
	b.join("a")
	b.join("silent")
	b.submit(gpuJob("j1", 1, 8))
	b.lead(2)
	b.report("a", nil)
	b.save()
	if word := b.report("a", nil); len(word.Starts) != 0 {
		t.Errorf("started %v while it may run elsewhere", word.Starts)
	}
	b.submit(gpuJob("j2", 1, 4))
	if word := b.report("a", nil); len(word.Starts) != 1 || word.Starts[0].Task.Job != "j2" {
		t.Errorf("starts %v, want the job accepted since", word.Starts)
	}
	b.pass(5*time.Second, "a")
	if b.run[taskOf("j1", 0)] != 0 {
		t.Error("started before the hold had passed")
	}
	b.core.Cancel(b.now, "j2")
	delete(b.run, taskOf("j2", 0))
	b.pass(4*time.Second, "a")
	if b.run[taskOf("j1", 0)] == 0 {
		t.Error("not started after the hold had passed")
	}
}

// TestAdopt has a new leader find a task of the former one where it runs.
func TestAdopt(t *testing.T) {
	b := newBed(t)
	b.join("a")
	b.join("b")
	b.submit(gpuJob("j1", 1, 8))
	b.report("a", nil)
	run := b.run[taskOf("j1", 0)]
	b.lead(2)
	b.report("a", func(r *control.Report) {
		r.Tasks = []control.Task{{ID: taskOf("j1", 0), Run: run, Phase: control.Running}}
	})
	b.save()
	word := b.report("b", nil)
	if len(word.Starts) != 0 {
		t.Errorf("task started a second time: %v", word.Starts)
	}
	var id work.JobID = "j1"
	if state, ok := b.core.State(id); !ok || state != "running" {
		t.Errorf("state %q", state)
	}
}

// TestTakeoverWithoutRunner has a runner leave while its agent lives. A later
// leader must not wait for what the agent might run.
func TestTakeoverWithoutRunner(t *testing.T) {
	b := newBed(t)
	b.join("a")
	b.join("left")
	b.report("left", func(r *control.Report) { r.Lost = true })
	b.save()
	b.submit(gpuJob("j1", 1, 16))
	b.submit(gpuJob("j2", 1, 8))
	b.lead(2)
	b.report("a", nil)
	b.save()
	if word := b.report("a", nil); len(word.Starts) != 1 {
		t.Errorf("starts %v, want j2 at once", word.Starts)
	}
}

// TestReplacedRunner has another runner come up at an agent. Nothing may start
// there before its agent has listed what it runs.
func TestReplacedRunner(t *testing.T) {
	b := newBed(t)
	b.join("a")
	b.submit(gpuJob("j1", 1, 8))
	b.report("a", nil)
	first := b.run[taskOf("j1", 0)]
	reborn := func(listed bool) func(*control.Report) {
		return func(r *control.Report) { r.Runner.ID.Born, r.Listed = 2, listed }
	}
	if word := b.report("a", reborn(false)); len(word.Starts) != 0 {
		t.Errorf("started %v before the list", word.Starts)
	}
	word := b.report("a", reborn(true))
	if len(word.Starts) != 1 || word.Starts[0].Run <= first {
		t.Errorf("starts %v, want j1 with a run above %d", word.Starts, first)
	}
}

// TestGangIncomplete has a new leader find one of two members of a gang, and no
// word of the agent that was to run the other one. The member is stopped before
// it ends alone; one that has made progress is left to run.
func TestGangIncomplete(t *testing.T) {
	for _, percent := range []int{0, 30} {
		b := newBed(t)
		b.join("a")
		b.join("silent")
		j := gpuJob("j1", 2, 8)
		j.Steps[0].Gang = true
		b.submit(j)
		b.report("a", nil)
		b.report("silent", nil)
		found := taskOf("j1", 0)
		run := b.run[found]
		b.lead(2)
		var word control.Word
		for range 5 {
			b.now = b.now.Add(500 * time.Millisecond)
			word = b.report("a", func(r *control.Report) {
				r.Tasks = []control.Task{{ID: found, Run: run, Phase: control.Running, Percent: percent}}
			})
		}
		if stopped := len(word.Stops) == 1; stopped != (percent == 0) {
			t.Errorf("at %d percent: stops %v", percent, word.Stops)
		}
	}
}

// TestTakeoverAfterDrain has a runner drain, end its last task and vanish with
// its agent. A later leader must not wait for it before it starts what was
// accepted earlier; while the task runs, it must.
func TestTakeoverAfterDrain(t *testing.T) {
	for _, ended := range []bool{false, true} {
		b := newBed(t)
		b.join("a")
		b.submit(gpuJob("j0", 1, 8))
		b.report("a", nil)
		b.join("b")
		b.report("a", func(r *control.Report) {
			r.Runner.Draining = true
			if ended {
				r.Ends = []control.End{{N: 1, Task: taskOf("j0", 0), Run: b.run[taskOf("j0", 0)], Outcome: control.Done}}
			} else {
				b.holding("a")(r)
			}
		})
		b.save()
		b.submit(gpuJob("j1", 1, 8))
		b.lead(2)
		b.report("b", nil)
		b.save()
		if got := len(b.report("b", nil).Starts); got != map[bool]int{false: 0, true: 1}[ended] {
			t.Errorf("last task ended %v: %d starts", ended, got)
		}
	}
}

// TestFailuresOutOfOrder has two runs of a task fail under a leader that makes
// neither durable. The next one hears of the later one first; both must count
// towards the attempts of the job, and none of them twice.
func TestFailuresOutOfOrder(t *testing.T) {
	b := newBed(t)
	b.join("a")
	b.join("b")
	b.submit(gpuJob("j1", 1, 8))
	b.lead(3)
	failed := func(n control.EndID, run work.Run) func(*control.Report) {
		return func(r *control.Report) {
			r.Ends = []control.End{{N: n, Task: taskOf("j1", 0), Run: run, Outcome: control.Failed}}
		}
	}
	b.report("a", failed(1, 2))
	b.report("a", failed(1, 2))
	if state, _ := b.core.State("j1"); state == region.Failed {
		t.Fatal("one failure was counted twice")
	}
	b.report("b", failed(1, 1))
	b.save()
	if state, _ := b.core.State("j1"); state != region.Failed {
		t.Errorf("state %q after two failures of two attempts, want %q", state, region.Failed)
	}
}

// TestUnreadableRecord has a leader of another release leave a record that this
// one can't read. What the job has done is not known, so nothing of it may start.
func TestUnreadableRecord(t *testing.T) {
	b := newBed(t)
	b.join("a")
	b.submit(gpuJob("j1", 1, 8))
	b.report("a", nil)
	b.report("a", b.ending(1, "j1"))
	b.save()
	key := region.RecordPrefix + "j1"
	if _, err := b.table.Commit(context.Background(), table.Txn{Writes: []table.Write{{Key: key, Value: []byte("{}")}}}); err != nil {
		t.Fatal(err)
	}
	b.lead(2)
	b.report("a", nil)
	b.save()
	if word := b.report("a", nil); len(word.Starts) != 0 {
		t.Errorf("starts %v", word.Starts)
	}
	if state, known := b.core.State("j1"); known {
		t.Errorf("state %q of a job that can't be told", state)
	}
}

// TestRecordOfFormerRelease has a leader of the former release leave a record.
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
	b := newBed(t)
	b.join("a")
	b.submit(gpuJob("j1", 2, 4))
	former := step{Done: []byte{1}, Tasks: map[int]task{1: {Failures: 1, Failed: 7, Checkpoint: "c"}}}
	value, err := cbor.Marshal(record{State: region.Running, Occurrences: []occurrence{{Steps: []step{former}}}})
	if err != nil {
		t.Fatal(err)
	}
	txn := table.Txn{Writes: []table.Write{{Key: region.RecordPrefix + "j1", Value: value}}}
	if _, err := b.table.Commit(context.Background(), txn); err != nil {
		t.Fatal(err)
	}
	b.lead(2)
	b.report("a", nil)
	b.save()
	word := b.report("a", nil)
	if len(word.Starts) != 1 || word.Starts[0].Task != taskOf("j1", 1) || word.Starts[0].Checkpoint != "c" {
		t.Errorf("starts %v, want the second task only", word.Starts)
	}
}

// TestAgentWithoutRunner has an agent start again beside a runner that is gone for
// good. It can't renew the lease of what ran there, so that its reports must not
// keep the tasks there either.
func TestAgentWithoutRunner(t *testing.T) {
	b := newBed(t)
	b.join("a")
	b.submit(gpuJob("j1", 1, 8))
	b.report("a", nil)
	b.report("a", b.holding("a"))
	b.join("b")
	for end := b.now.Add(10 * time.Second); b.now.Before(end); {
		b.now = b.now.Add(500 * time.Millisecond)
		b.core.Tick(b.now)
		b.report("a", func(r *control.Report) { r.Life, r.Runner, r.Listed = 2, nil, false })
		if word := b.report("b", nil); len(word.Starts) == 1 {
			return
		}
		b.save()
	}
	t.Error("the task is still taken to run beside an agent that knows no runner")
}
