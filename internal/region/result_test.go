package region_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
)

// TestResultAfterUnsavedEnd guards against a result that is acknowledged before its job's end is durable.
func TestResultAfterUnsavedEnd(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.join("b")
	h.submit(gpuJob("j1", 2, 8))
	h.report("a", nil)
	h.report("b", nil)
	failing, done := taskOf("j1", 0), taskOf("j1", 1)
	result := func(n control.ResultID, outcome control.Outcome) func(*control.Report) {
		id := failing
		if outcome == control.Done {
			id = done
		}
		return func(r *control.Report) {
			r.Results = []control.Result{{ID: n, Task: id, Run: h.runs[id], Outcome: outcome}}
		}
	}
	h.report("a", result(1, control.Failed))
	h.runs[failing]++
	h.report("a", result(2, control.Failed))
	orders := h.report("b", result(1, control.Done))
	if orders.Acked != 0 {
		t.Errorf("result %d acknowledged although nothing is durable", orders.Acked)
	}
	acked := orders.Acked > 0
	h.lead(2)
	h.join("c")
	for end := h.now.Add(10 * time.Second); h.now.Before(end); h.now = h.now.Add(500 * time.Millisecond) {
		orders = h.report("b", func(r *control.Report) {
			if !acked {
				result(1, control.Done)(r)
			}
		})
		orders.Starts = append(orders.Starts, h.report("c", nil).Starts...)
		for _, start := range orders.Starts {
			if start.Task == done {
				t.Fatalf("%s starts again after it was done", start.Task)
			}
		}
		h.save()
	}
}
