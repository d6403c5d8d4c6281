package region_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/work"
)

// TestLastAttempt has a worker fail the first attempt of a job that may fail once only,
// while no other worker has room. The second attempt must not be spent on that worker,
// which may fail all that it starts, before it has run another task well.
func TestLastAttempt(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.submit(gpuJob("j1", 1, 8))
	result := control.ResultID(0)
	var running []control.Task
	report := func(outcome control.Outcome) control.Orders {
		return h.report("a", func(r *control.Report) {
			if outcome == "" {
				r.Tasks = running
				return
			}
			result++
			r.Results = []control.Result{{ID: result, Task: running[0].ID, Run: running[0].Run, Outcome: outcome}}
			running = nil
		})
	}
	expect := func(orders control.Orders, want work.JobID) {
		t.Helper()
		started := work.JobID("")
		for _, s := range orders.Starts {
			started = s.Task.Job
			running = []control.Task{{ID: s.Task, Run: s.Run, Phase: control.Running}}
		}
		if started != want {
			t.Fatalf("%q starts, want %q", started, want)
		}
	}
	expect(report(""), "j1")
	report("")
	report(control.Failed)
	h.now = h.now.Add(time.Second)
	expect(report(""), "")
	h.submit(gpuJob("j2", 1, 8))
	expect(report(""), "j2")
	report("")
	expect(report(control.Done), "j1")
}

// TestLastAttemptWaitsNotForever has a worker fail the first attempt of a job, and nothing
// else run there that could show that it is sound.
func TestLastAttemptWaitsNotForever(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.submit(gpuJob("j1", 1, 8))
	first := h.report("a", nil).Starts[0]
	h.report("a", func(r *control.Report) {
		r.Tasks = []control.Task{{ID: first.Task, Run: first.Run, Phase: control.Running}}
	})
	h.report("a", func(r *control.Report) {
		r.Results = []control.Result{{ID: 1, Task: first.Task, Run: first.Run, Outcome: control.Failed}}
	})
	for waited := time.Duration(0); len(h.report("a", nil).Starts) == 0; waited += 100 * time.Millisecond {
		if waited >= 3*time.Second {
			t.Fatal("the second attempt has not begun after 3 s beside an idle worker")
		}
		h.now = h.now.Add(100 * time.Millisecond)
	}
}
