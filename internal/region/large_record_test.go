package region_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/region"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// maxCall is the largest transaction of the users' table in bytes.
const maxCall = 1_000_000

// saveTo commits batches like save, but has the table refuse those for which refuse returns
// true, up to the given number of batches.
func (h *harness) saveTo(batches int, refuse func(table.Txn) bool) {
	h.t.Helper()
	for range batches {
		batch := h.core.Batch()
		if batch == nil {
			return
		}
		if refuse(batch.Txn) {
			h.core.BatchDone(batch, 0, &table.RejectedError{Reason: "status 400", Invalid: true})
			continue
		}
		version, err := h.table.Commit(context.Background(), batch.Txn)
		h.core.BatchDone(batch, version, err)
	}
}

// startAll has an agent confirm starts until it gets no more, and returns them.
func (h *harness) startAll(agent control.AgentID) []control.Start {
	h.t.Helper()
	var starts []control.Start
	var running []control.Task
	for range 100 {
		orders := h.report(agent, func(r *control.Report) { r.Tasks = running })
		for _, s := range orders.Starts {
			starts = append(starts, s)
			running = append(running, control.Task{ID: s.Task, Run: s.Run, Phase: control.Running})
		}
		if len(orders.Starts) == 0 {
			return starts
		}
	}
	h.t.Fatal("the starts have no end")
	return nil
}

// runJobs has an agent run the tasks of some jobs until they are stopped with a checkpoint,
// and returns the jobs.
func (h *harness) runJobs(jobs, tasks int, checkpoint work.Checkpoint) []work.JobID {
	h.t.Helper()
	var ids []work.JobID
	var results []control.Result
	for n := range jobs {
		j := gpuJob(work.JobID(fmt.Sprintf("j%02d", n)), tasks, 0)
		j.Steps[0].Need, j.Steps[0].Checkpoints = work.Resources{Processor: 1, Memory: 1}, true
		h.submit(j)
		ids = append(ids, j.ID)
	}
	for _, s := range h.startAll("a") {
		results = append(results, control.Result{
			ID: control.ResultID(len(results) + 1), Task: s.Task, Run: s.Run, Outcome: control.Stopped, Checkpoint: checkpoint,
		})
	}
	h.report("a", func(r *control.Report) { r.Results = results })
	return ids
}

// TestRefusedRow guards against one record that the table can't accept and that holds up all
// others.
func TestRefusedRow(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	ids := h.runJobs(20, 1, "c")
	h.saveTo(40, func(txn table.Txn) bool {
		return slices.ContainsFunc(txn.Writes, func(w table.Write) bool { return w.Key == region.RecordPrefix+"j07" })
	})
	rows, err := h.table.Scan(context.Background(), region.RecordPrefix, "", 1000)
	if err != nil || len(rows) != len(ids)-1 {
		t.Errorf("%d of %d records written, %v", len(rows), len(ids)-1, err)
	}
}

// TestLargeRecords guards against a transaction that is larger than the table accepts, since
// each of many records is large.
func TestLargeRecords(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.runJobs(30, 1000, work.Checkpoint(strings.Repeat("c", 24)))
	records := 0
	h.saveTo(40, func(txn table.Txn) bool {
		size := 0
		for _, w := range txn.Writes {
			size += len(w.Key) + len(w.Value)*4/3
			records++
		}
		if size > maxCall {
			t.Errorf("a transaction of %d rows has %d bytes", len(txn.Writes), size)
		}
		return false
	})
	if records < 30 {
		t.Errorf("%d records written", records)
	}
}

// TestRecordInParts guards against a record that is larger than a row since very many tasks of
// a job save their progress. The next leader must know it.
func TestRecordInParts(t *testing.T) {
	for _, tasks := range []int{5_000, 20_000} {
		h := newHarness(t)
		h.join("a")
		ids := h.runJobs(1, tasks, work.Checkpoint(strings.Repeat("c", 24)))
		h.saveTo(40, func(txn table.Txn) bool {
			size := 0
			for _, w := range txn.Writes {
				size += len(w.Key) + len(w.Value)*4/3
			}
			if entries := len(txn.Checks) + len(txn.Writes); size > maxCall || entries > 100 {
				t.Errorf("a transaction has %d bytes and %d entries", size, entries)
			}
			return false
		})
		h.checkRows()
		h.lead(2)
		h.join("a")
		starts := h.startAll("a")
		if kept := starts[0].Checkpoint != ""; len(starts) != tasks || kept != (tasks == 5_000) {
			t.Errorf("%d of %d tasks start, with checkpoint %t", len(starts), tasks, kept)
		}
		h.core.Cancel(h.now, ids[0], 9)
		h.save()
		if rows, _ := h.table.Scan(context.Background(), region.RecordPrefix, "", 1000); len(rows) != 1 {
			t.Errorf("%d rows left after the end of the job", len(rows))
		}
	}
}

// TestRunTimesOfManyQueues guards against run-time statistics that outgrow their row since
// queues come and go. Those of a queue that is still there must stay.
func TestRunTimesOfManyQueues(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	for n := range control.ResultID(1500) {
		j := gpuJob(work.JobID(fmt.Sprintf("j%04d", n)), 1, 0)
		if n > 0 {
			j.Queue = work.QueueID(fmt.Sprintf("r-removed%04d", n))
		}
		h.submit(j)
		h.report("a", nil)
		h.now = h.now.Add(time.Second)
		h.report("a", h.reportDone(n+1, j.ID))
	}
	h.now = h.now.Add(time.Minute)
	h.report("a", nil)
	h.save()
	rows, err := h.table.Read(context.Background(), []table.Key{region.RunTimesKey})
	if err != nil || len(rows) != 1 || len(rows[0].Value) > maxRow || !strings.Contains(string(rows[0].Value), string(queueID)) {
		t.Errorf("%d rows, %v", len(rows), err)
	}
}

// TestOrdersOfManyStarts guards against orders that are larger than an agent reads since a
// job has very many tasks with a long spec. All of them must start in the end.
func TestOrdersOfManyStarts(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	j := gpuJob("j1", 2_500, 0)
	j.Steps[0].Need, j.Spec = work.Resources{Processor: 10, Memory: 20}, strings.Repeat("x", work.MaxSpecBytes)
	h.submit(j)
	value, err := cbor.Marshal(h.report("a", nil))
	if err != nil || len(value) > control.MaxMessageBytes {
		t.Errorf("orders of %d bytes, %v", len(value), err)
	}
	if starts := h.startAll("a"); len(starts) != 2_500 {
		t.Errorf("%d of 2500 tasks start", len(starts))
	}
}
