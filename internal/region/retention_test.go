package region_test

import (
	"context"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/region"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// countRows returns the number of the table's rows that belong to jobs.
func (h *harness) countRows() int {
	h.t.Helper()
	n := 0
	for _, prefix := range []table.Key{region.JobPrefix, region.RecordPrefix, region.CancelPrefix} {
		found, err := h.table.Scan(context.Background(), prefix, "", 1000)
		if err != nil {
			h.t.Fatal(err)
		}
		n += len(found)
	}
	return n
}

// TestRetention has one job end and another one cancelled. Their rows must stay for
// the retention time and be removed after it. Those of a running job must stay.
func TestRetention(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.submit(gpuJob("j1", 1, 4))
	h.report("a", nil)
	h.report("a", h.reportDone(1, "j1"))
	h.submit(gpuJob("j2", 1, 4))
	cancel := table.Txn{Writes: []table.Write{{Key: region.CancelPrefix + "j2"}}}
	if _, err := h.table.Commit(context.Background(), cancel); err != nil {
		t.Fatal(err)
	}
	h.core.ApplyRow(h.now, table.Row{Key: region.CancelPrefix + "j2", Version: 9, Value: []byte{}})
	h.submit(gpuJob("j3", 2, 8))
	h.save()
	step := func(d time.Duration) {
		h.now = h.now.Add(d)
		h.core.Tick(h.now)
		h.save()
	}
	step(region.DefaultRetention - time.Second)
	kept := h.countRows()
	if kept < 6 {
		t.Fatalf("%d rows before the retention has passed", kept)
	}
	step(2 * time.Second)
	if got := h.countRows(); got != kept-5 {
		t.Errorf("%d rows after the retention, want %d", got, kept-5)
	}
	for id, want := range map[string]bool{"j1": false, "j2": false, "j3": true} {
		if _, known := h.core.State(work.JobID(id)); known != want {
			t.Errorf("%s: known is %t, want %t", id, known, want)
		}
	}
}

// TestRetentionConflict has another process change the row of an ended job, so that
// its removal fails. The records of other jobs must still be written.
func TestRetentionConflict(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.submit(gpuJob("j1", 1, 4))
	h.report("a", nil)
	h.report("a", h.reportDone(1, "j1"))
	h.save()
	changed := table.Txn{Writes: []table.Write{{Key: region.JobPrefix + "j1", Value: []byte("x")}}}
	if _, err := h.table.Commit(context.Background(), changed); err != nil {
		t.Fatal(err)
	}
	h.now = h.now.Add(region.DefaultRetention)
	h.join("a")
	h.submit(gpuJob("j2", 1, 4))
	h.report("a", nil)
	h.report("a", h.reportDone(2, "j2"))
	for range 3 {
		h.save()
		if keys := h.core.UnknownVersions(); len(keys) > 0 {
			rows, err := h.table.Read(context.Background(), keys)
			if err != nil {
				t.Fatal(err)
			}
			h.core.SetVersions(keys, rows)
		}
	}
	if got := h.record("j2").State; got != region.Completed {
		t.Errorf("record of j2 says %q", got)
	}
}

func TestRetentionOfStates(t *testing.T) {
	for stateRetention, want := range map[time.Duration]time.Duration{0: region.DefaultRetention, 200 * time.Second: 1000 * time.Second} {
		if got := region.Retention(stateRetention); got != want {
			t.Errorf("states available for %v: rows kept for %v, want %v", stateRetention, got, want)
		}
	}
}

// TestRowReadBeforeRemoval guards against a job that runs again from a row read before its removal.
func TestRowReadBeforeRemoval(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.submit(gpuJob("j1", 1, 4))
	h.report("a", nil)
	h.report("a", h.reportDone(1, "j1"))
	h.save()
	rows, err := h.table.Scan(context.Background(), region.JobPrefix, "", 10)
	if err != nil || len(rows) != 1 {
		t.Fatalf("%d rows, %v", len(rows), err)
	}
	h.now = h.now.Add(region.DefaultRetention)
	h.join("a")
	h.join("a")
	if _, known := h.core.State("j1"); known || h.countRows() != 0 {
		t.Fatalf("%d rows, known %t", h.countRows(), known)
	}
	h.core.ApplyRow(h.now, rows[0])
	if orders := h.report("a", nil); len(orders.Starts) != 0 {
		t.Errorf("starts %v of a job that was completed", orders.Starts)
	}
	h.submit(gpuJob("j1", 1, 4))
	if orders := h.report("a", nil); len(orders.Starts) != 1 {
		t.Errorf("starts %v of a new job, want 1", orders.Starts)
	}
}

// TestEarlyCancelRemoved guards against cancellations of unknown jobs that stay for ever, and
// against a job that runs though its cancellation came minutes before it.
func TestEarlyCancelRemoved(t *testing.T) {
	h := newHarness(t)
	for _, id := range []table.Key{"j1", "j2"} {
		key := region.CancelPrefix + id
		version, err := h.table.Commit(t.Context(), table.Txn{Writes: []table.Write{{Key: key}}})
		if err != nil {
			t.Fatal(err)
		}
		h.core.ApplyRow(h.now, table.Row{Key: key, Version: version})
	}
	h.now = h.now.Add(time.Minute)
	h.join("a")
	h.submit(gpuJob("j1", 1, 4))
	if orders := h.report("a", nil); len(orders.Starts) != 0 {
		t.Errorf("starts %v of a cancelled job", orders.Starts)
	}
	h.now = h.now.Add(2 * time.Minute)
	h.join("a")
	if rows, err := h.table.Scan(t.Context(), region.CancelPrefix, "", 10); err != nil || len(rows) != 1 || rows[0].Key != "cancel/j1" {
		t.Errorf("cancellations %v, %v, want that of the job", rows, err)
	}
}
