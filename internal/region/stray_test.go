package region_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
)

// TestStrayRunAtTheSameWorker guards against a task that waits for ever since an earlier run of
// it turns up at the worker where its next run was ordered.
func TestStrayRunAtTheSameWorker(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.submit(gpuJob("j1", 1, 8))
	task := taskOf("j1", 0)
	first := h.report("a", nil).Starts[0].Run
	h.report("a", func(r *control.Report) {
		r.Refusals = []control.Refusal{{Task: task, Run: first, Reason: "unanswered"}}
	})
	h.now = h.now.Add(time.Second)
	h.report("a", nil)
	stray := func(r *control.Report) { r.Tasks = []control.Task{{ID: task, Run: first, Phase: control.Running}} }
	if stops := h.report("a", stray).Stops; len(stops) != 1 || stops[0].Run != first {
		t.Fatalf("stops %v, want the first run", stops)
	}
	h.report("a", func(r *control.Report) {
		r.Results = []control.Result{{ID: 1, Task: task, Run: first, Outcome: control.Stopped}}
	})
	for range 100 {
		h.now = h.now.Add(100 * time.Millisecond)
		if starts := h.report("a", nil).Starts; len(starts) == 1 && starts[0].Run > first {
			return
		}
	}
	t.Error("the task does not start again")
}
