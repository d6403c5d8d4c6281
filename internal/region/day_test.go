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

// bootAge is the difference between the time of day and the clock of the tests.
const bootAge = 50 * 365 * 24 * time.Hour

// TestDueByTimeOfDay has a job whose occurrences are due by the time of day, as
// callers say it, while the leader's clock counts from the start of its machine.
func TestDueByTimeOfDay(t *testing.T) {
	b := newBed(t)
	b.core.SetDay(bootAge)
	b.join("a")
	j := gpuJob("j1", 1, 1)
	j.Repeats, j.Interval = 2, 3*time.Second
	j.First = work.DateOf(b.now.Add(bootAge + 1300*time.Millisecond))
	b.submit(j)
	starts := func(after time.Duration) int {
		b.now = b.now.Add(after)
		return len(b.report("a", nil).Starts)
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

// TestGuaranteeOfJobsNotDue has a job that is due in an hour take no part of what
// is guaranteed to its account.
func TestGuaranteeOfJobsNotDue(t *testing.T) {
	b := newBed(t)
	b.join("a")
	low := gpuJob("low", 8, 1)
	b.submit(low)
	if n := len(b.report("a", nil).Starts); n != 8 {
		t.Fatalf("%d starts", n)
	}
	later := gpuJob("later", 1, 8)
	later.Queue, later.Repeats, later.First = "checks", 1, work.DateOf(b.now.Add(time.Hour))
	b.submit(later)
	urgent := gpuJob("urgent", 1, 8)
	urgent.Queue = "checks"
	b.submit(urgent)
	running := func(r *control.Report) {
		for i := range 8 {
			r.Tasks = append(r.Tasks, control.Task{ID: taskOf("low", i), Run: b.run[taskOf("low", i)], Phase: control.Running})
		}
	}
	if word := b.report("a", running); len(word.Stops) != 8 {
		t.Errorf("%d tasks stop for the guaranteed job, want 8", len(word.Stops))
	}
}

// TestAgeOutlastsLeader has two jobs wait over a change of leader: the one that
// was accepted long before comes first, though the new leader learns of both at
// the same time.
func TestAgeOutlastsLeader(t *testing.T) {
	b := newBed(t)
	b.day = bootAge
	accept := func(id work.JobID, age time.Duration) {
		s := region.Submission{Job: gpuJob(id, 1, 8), Pool: pool, Attempts: 2, Stretch: 3}
		s.Accepted = work.DateOf(b.now.Add(bootAge - age))
		value, err := cbor.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		key := region.JobPrefix + table.Key(id)
		if _, err := b.table.Commit(context.Background(), table.Txn{Writes: []table.Write{{Key: key, Value: value}}}); err != nil {
			t.Fatal(err)
		}
	}
	accept("a-new", 0)
	accept("b-old", 8*time.Second)
	b.lead(2)
	b.join("a")
	word := b.report("a", nil)
	if len(word.Starts) != 1 || word.Starts[0].Task.Job != "b-old" {
		t.Errorf("starts %v, want the task of the older job", word.Starts)
	}
}

// TestPacesOutlastLeader has a leader learn that tasks take much longer than
// declared. The next leader goes on from there.
func TestPacesOutlastLeader(t *testing.T) {
	b := newBed(t)
	b.join("a")
	for i, id := range []work.JobID{"p0", "p1", "p2", "p3"} {
		b.submit(gpuJob(id, 1, 8))
		b.report("a", nil)
		b.now = b.now.Add(6 * time.Second)
		b.report("a", func(r *control.Report) {
			r.Ends = []control.End{{N: control.EndID(i + 1), Task: taskOf(id, 0), Run: b.run[taskOf(id, 0)], Outcome: control.Done}}
		})
		b.save()
	}
	rows, err := b.table.Scan(context.Background(), region.PaceKey, "", 10)
	if err != nil || len(rows) != 1 {
		t.Fatalf("%d rows of paces, %v", len(rows), err)
	}
	b.lead(2)
	b.now = b.now.Add(6 * time.Second)
	b.join("a")
	b.submit(gpuJob("next", 1, 8))
	b.report("a", nil)
	b.now = b.now.Add(6 * time.Second)
	b.report("a", b.ending(5, "next"))
	b.save()
	again, err := b.table.Scan(context.Background(), region.PaceKey, "", 10)
	if err != nil || len(again) != 1 || again[0].Version == rows[0].Version {
		t.Fatalf("paces are not written by the next leader: %v, %v", again, err)
	}
	var paces map[work.QueueID]struct {
		Took struct {
			Count float64 `cbor:"1,keyasint"`
		} `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(again[0].Value, &paces); err != nil {
		t.Fatal(err)
	}
	if got := paces[queueID].Took.Count; got != 5 {
		t.Errorf("%v run times are remembered, want 5", got)
	}
}
