package region_test

import (
	"context"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/region"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// rows counts the rows that the table has of jobs.
func (b *bed) rows() int {
	b.t.Helper()
	n := 0
	for _, prefix := range []table.Key{region.JobPrefix, region.RecordPrefix, region.CancelPrefix} {
		found, err := b.table.Scan(context.Background(), prefix, "", 1000)
		if err != nil {
			b.t.Fatal(err)
		}
		n += len(found)
	}
	return n
}

// TestRetention has one job end and another one cancelled. Their rows stay for the
// retention, and go then; those of a job that runs stay.
func TestRetention(t *testing.T) {
	b := newBed(t)
	b.join("a")
	b.submit(gpuJob("j1", 1, 4))
	b.report("a", nil)
	b.report("a", b.ending(1, "j1"))
	b.submit(gpuJob("j2", 1, 4))
	cancel := table.Txn{Writes: []table.Write{{Key: region.CancelPrefix + "j2"}}}
	if _, err := b.table.Commit(context.Background(), cancel); err != nil {
		t.Fatal(err)
	}
	b.core.Row(b.now, table.Row{Key: region.CancelPrefix + "j2", Version: 9, Value: []byte{}})
	b.submit(gpuJob("j3", 2, 8))
	b.save()
	step := func(d time.Duration) {
		b.now = b.now.Add(d)
		b.core.Tick(b.now)
		b.save()
	}
	step(region.DefaultRetention - time.Second)
	kept := b.rows()
	if kept < 6 {
		t.Fatalf("%d rows before the retention has passed", kept)
	}
	step(2 * time.Second)
	if got := b.rows(); got != kept-5 {
		t.Errorf("%d rows after the retention, want %d", got, kept-5)
	}
	for id, want := range map[string]bool{"j1": false, "j2": false, "j3": true} {
		if _, known := b.core.State(work.JobID(id)); known != want {
			t.Errorf("%s: known is %t, want %t", id, known, want)
		}
	}
}

// TestRetentionConflict has another process change the row of an ended job. The
// records of other jobs are written all the same.
func TestRetentionConflict(t *testing.T) {
	b := newBed(t)
	b.join("a")
	b.submit(gpuJob("j1", 1, 4))
	b.report("a", nil)
	b.report("a", b.ending(1, "j1"))
	b.save()
	changed := table.Txn{Writes: []table.Write{{Key: region.JobPrefix + "j1", Value: []byte("x")}}}
	if _, err := b.table.Commit(context.Background(), changed); err != nil {
		t.Fatal(err)
	}
	b.now = b.now.Add(region.DefaultRetention)
	b.join("a")
	b.submit(gpuJob("j2", 1, 4))
	b.report("a", nil)
	b.report("a", b.ending(2, "j2"))
	for range 3 {
		b.save()
		if keys := b.core.Unsure(); len(keys) > 0 {
			rows, err := b.table.Read(context.Background(), keys)
			if err != nil {
				t.Fatal(err)
			}
			b.core.Resync(keys, rows)
		}
	}
	if got := b.stored("j2").State; got != region.Completed {
		t.Errorf("record of j2 says %q", got)
	}
}

func TestRetentionOfStates(t *testing.T) {
	for told, want := range map[time.Duration]time.Duration{0: region.DefaultRetention, 200 * time.Second: 1000 * time.Second} {
		if got := region.Retention(told); got != want {
			t.Errorf("states told for %v: rows kept for %v, want %v", told, got, want)
		}
	}
}
