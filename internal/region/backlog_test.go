package region_test

import (
	"context"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/region"
	"github.com/lovageroad/lovageroad/internal/work"
)

// maxRow is the largest value of a row of the users' table in bytes.
const maxRow = 65536

// timedJob returns a job with a small task each second, whose first occurrence was due a
// while before the time at which the harness begins.
func timedJob(id work.JobID, occurrences int, late time.Duration) work.Job {
	j := gpuJob(id, 1, 0)
	j.Steps[0].Need = work.Resources{Processor: 10, Memory: 16}
	j.OccurrenceCount, j.FirstDue, j.Interval = occurrences, work.TimestampOf(time.Unix(1000, 0).Add(-late)), time.Second
	return j
}

// checkRows fails the test if the table can't hold a row that a batch has written.
func (h *harness) checkRows() {
	h.t.Helper()
	rows, err := h.table.Scan(context.Background(), region.RecordPrefix, "", 1000)
	if err != nil {
		h.t.Fatal(err)
	}
	for _, row := range rows {
		if len(row.Value) > maxRow {
			h.t.Fatalf("row %s has %d bytes", row.Key, len(row.Value))
		}
	}
}

// TestBacklogOfTimedJob guards against a record that outgrows its row since a timed job has
// very many due occurrences.
func TestBacklogOfTimedJob(t *testing.T) {
	const occurrences, takeoverAfter = 30_000, 25_000
	h := newHarness(t)
	h.join("a")
	h.submit(timedJob("t1", occurrences, 12*time.Hour))
	done := make(map[work.TaskID]bool)
	results := control.ResultID(0)
	ended := []control.Result(nil)
	for led := 1; len(done) < occurrences; {
		starts := h.report("a", func(r *control.Report) { r.Results = ended }).Starts
		h.save()
		h.checkRows()
		if len(starts) == 0 {
			t.Fatalf("nothing starts, %d of %d done", len(done), occurrences)
		}
		ended = ended[:0]
		for _, s := range starts {
			if done[s.Task] {
				t.Fatalf("%s starts again", s.Task)
			}
			done[s.Task] = true
			results++
			ended = append(ended, control.Result{ID: results, Task: s.Task, Run: s.Run, Outcome: control.Done})
		}
		if led == 1 && len(done) >= takeoverAfter {
			led++
			h.report("a", func(r *control.Report) { r.Results = ended })
			h.save()
			h.lead(2)
		}
	}
	h.report("a", func(r *control.Report) { r.Results = ended })
	h.save()
	if state := h.record("t1").State; state != region.Completed {
		t.Errorf("record says %q, want %q", state, region.Completed)
	}
}
