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

// clockOffset is the difference between the wall-clock time and the clock of the
// tests.
const clockOffset = 50 * 365 * 24 * time.Hour

// TestDueByWallClock has a job whose occurrences are due at wall-clock times, while
// the leader's clock counts from the boot of its machine. The leader must convert
// one to the other.
func TestDueByWallClock(t *testing.T) {
	h := newHarness(t)
	h.core.SetWallClockOffset(clockOffset)
	h.join("a")
	j := gpuJob("j1", 1, 1)
	j.OccurrenceCount, j.Interval = 2, 3*time.Second
	j.FirstDue = work.TimestampOf(h.now.Add(clockOffset + 1300*time.Millisecond))
	h.submit(j)
	starts := func(after time.Duration) int {
		h.now = h.now.Add(after)
		return len(h.report("a", nil).Starts)
	}
	if n := starts(1299 * time.Millisecond); n != 0 {
		t.Errorf("%d tasks start before they are due", n)
	}
	if n := starts(time.Millisecond); n != 1 {
		t.Errorf("%d tasks start when the first occurrence is due, want 1", n)
	}
	if n := starts(3 * time.Second); n != 2 {
		t.Errorf("%d tasks are ordered when the second occurrence is due, want 2", n)
	}
}

// TestGuaranteeOfJobsNotDue has a job that is due in an hour. It must not use up
// its account's guarantee before then.
func TestGuaranteeOfJobsNotDue(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	low := gpuJob("low", 8, 1)
	h.submit(low)
	if n := len(h.report("a", nil).Starts); n != 8 {
		t.Fatalf("%d starts", n)
	}
	later := gpuJob("later", 1, 8)
	later.Queue, later.OccurrenceCount, later.FirstDue = "checks", 1, work.TimestampOf(h.now.Add(time.Hour))
	h.submit(later)
	urgent := gpuJob("urgent", 1, 8)
	urgent.Queue = "checks"
	h.submit(urgent)
	running := func(r *control.Report) {
		for i := range 8 {
			r.Tasks = append(r.Tasks, control.Task{ID: taskOf("low", i), Run: h.runs[taskOf("low", i)], Phase: control.Running})
		}
	}
	if orders := h.report("a", running); len(orders.Stops) != 8 {
		t.Errorf("%d tasks stop for the guaranteed job, want 8", len(orders.Stops))
	}
}

// TestAgeOutlastsLeader has two jobs that wait over a change of leader. The one
// that was accepted earlier must start first, although the new leader learns of
// both at the same time.
func TestAgeOutlastsLeader(t *testing.T) {
	h := newHarness(t)
	h.wallClockOffset = clockOffset
	accept := func(id work.JobID, age time.Duration) {
		s := region.Submission{Job: gpuJob(id, 1, 8), Pool: pool, MaxFailures: 2, ObjectiveFactor: 3}
		s.AcceptedAt = work.TimestampOf(h.now.Add(clockOffset - age))
		value, err := cbor.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		key := region.JobPrefix + table.Key(id)
		if _, err := h.table.Commit(context.Background(), table.Txn{Writes: []table.Write{{Key: key, Value: value}}}); err != nil {
			t.Fatal(err)
		}
	}
	accept("a-new", 0)
	accept("b-old", 8*time.Second)
	h.lead(2)
	h.join("a")
	orders := h.report("a", nil)
	if len(orders.Starts) != 1 || orders.Starts[0].Task.Job != "b-old" {
		t.Errorf("starts %v, want the task of the older job", orders.Starts)
	}
}

// TestRunTimesOutlastLeader has a leader learn that tasks take longer than
// declared. The next leader must continue with these run-time statistics.
func TestRunTimesOutlastLeader(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	for i, id := range []work.JobID{"p0", "p1", "p2", "p3"} {
		h.submit(gpuJob(id, 1, 8))
		h.report("a", nil)
		h.now = h.now.Add(6 * time.Second)
		h.report("a", func(r *control.Report) {
			r.Results = []control.Result{{ID: control.ResultID(i + 1), Task: taskOf(id, 0), Run: h.runs[taskOf(id, 0)], Outcome: control.Done}}
		})
		h.save()
	}
	rows, err := h.table.Scan(context.Background(), region.RunTimesKey, "", 10)
	if err != nil || len(rows) != 1 {
		t.Fatalf("%d rows of run-time statistics, %v", len(rows), err)
	}
	h.lead(2)
	h.now = h.now.Add(6 * time.Second)
	h.join("a")
	h.submit(gpuJob("next", 1, 8))
	h.report("a", nil)
	h.now = h.now.Add(6 * time.Second)
	h.report("a", h.reportDone(5, "next"))
	h.save()
	again, err := h.table.Scan(context.Background(), region.RunTimesKey, "", 10)
	if err != nil || len(again) != 1 || again[0].Version == rows[0].Version {
		t.Fatalf("run-time statistics are not written by the next leader: %v, %v", again, err)
	}
	var runTimes map[work.QueueID]struct {
		RunTime struct {
			Count float64 `cbor:"1,keyasint"`
		} `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(again[0].Value, &runTimes); err != nil {
		t.Fatal(err)
	}
	if got := runTimes[queueID].RunTime.Count; got != 5 {
		t.Errorf("%v run times are remembered, want 5", got)
	}
}

// TestOccurrenceOfFasterClock guards against an occurrence that is stopped or repeated by a slower clock.
func TestOccurrenceOfFasterClock(t *testing.T) {
	for _, ended := range []bool{false, true} {
		h := newHarness(t)
		h.wallClockOffset = clockOffset
		h.lead(1)
		h.join("a")
		j := gpuJob("j1", 2, 8)
		j.OccurrenceCount, j.Interval = 2, time.Minute
		j.FirstDue = work.TimestampOf(h.now.Add(clockOffset))
		h.submit(j)
		if n := len(h.report("a", nil).Starts); n != 1 {
			t.Fatalf("%d starts", n)
		}
		started := taskOf("j1", 0)
		h.wallClockOffset -= 3 * time.Second
		h.lead(2)
		h.join("b")
		change := func(r *control.Report) {
			if ended {
				r.Results = []control.Result{{ID: 1, Task: started, Run: h.runs[started], Outcome: control.Done}}
			} else {
				r.Tasks = []control.Task{{ID: started, Run: h.runs[started], Phase: control.Running}}
			}
		}
		starts := make(map[work.TaskID]int)
		collect := func(orders control.Orders) {
			if len(orders.Stops) > 0 {
				t.Errorf("ended %t: stops %v", ended, orders.Stops)
			}
			for _, start := range orders.Starts {
				starts[start.Task]++
			}
		}
		collect(h.report("a", change))
		orders := h.report("a", change)
		collect(orders)
		if orders.Acked != 0 {
			t.Errorf("result %d acknowledged before it is durable", orders.Acked)
			change = nil
		}
		h.save()
		h.now = h.now.Add(2 * time.Second)
		collect(h.report("a", change))
		collect(h.report("b", nil))
		if len(starts) != 0 {
			t.Errorf("ended %t: starts %v before they are due", ended, starts)
		}
		h.now = h.now.Add(time.Second)
		collect(h.report("a", change))
		collect(h.report("b", nil))
		if starts[started] != 0 || starts[taskOf("j1", 1)] == 0 {
			t.Errorf("ended %t: starts %v, want the other task only", ended, starts)
		}
	}
}
