package region_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lovageroad/lovageroad/internal/region"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// oddJob returns the row value of a valid job after a change to it.
func oddJob(t testing.TB, change func(*work.Job)) []byte {
	t.Helper()
	j := gpuJob("odd", 1, 4)
	change(&j)
	value, err := cbor.Marshal(region.Submission{Job: j, Pool: pool, ObjectiveFactor: 3})
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// oddRows returns rows that no gate or leader writes.
func oddRows(t testing.TB) map[string]table.Row {
	t.Helper()
	nested := make([]byte, 100_000)
	for i := range nested {
		nested[i] = 0x81 // an array with one element
	}
	job := func(change func(*work.Job)) table.Row {
		return table.Row{Key: region.JobPrefix + "odd", Value: oddJob(t, change)}
	}
	row := func(key table.Key, value string) table.Row { return table.Row{Key: key, Value: []byte(value)} }
	return map[string]table.Row{
		"job: step after one that does not exist": job(func(j *work.Job) { j.Steps[0].After = []int{9} }),
		"job: step after itself":                  job(func(j *work.Job) { j.Steps[0].After = []int{0} }),
		"job: step after a negative one":          job(func(j *work.Job) { j.Steps[0].After = []int{-1} }),
		"job: no steps":                           job(func(j *work.Job) { j.Steps = nil }),
		"job: negative count":                     job(func(j *work.Job) { j.Steps[0].Count = -1 }),
		"job: count too large":                    job(func(j *work.Job) { j.Steps[0].Count = 1 << 50 }),
		"job: need too large":                     job(func(j *work.Job) { j.Steps[0].Need.Processor = 1 << 62 }),
		"job: occurrences too many":               job(func(j *work.Job) { j.OccurrenceCount = 1 << 50 }),
		"job: occurrences of many tasks":          job(func(j *work.Job) { j.OccurrenceCount, j.Steps[0].Count = 10_000, 10_000 }),
		"job: other id":                           job(func(j *work.Job) { j.ID = "other" }),
		"job: nested":                             {Key: region.JobPrefix + "odd", Value: nested},
		"job: number too large":                   row(region.JobPrefix+"odd", "\xa1\x01\xc2\x49\x01\x00\x00\x00\x00\x00\x00\x00\x00"),
		"job: truncated":                          row(region.JobPrefix+"odd", "\xa1\x01"),
		"job: empty":                              row(region.JobPrefix+"odd", ""),
		"record: nested":                          {Key: region.RecordPrefix + "odd", Value: nested},
		"record: of no job":                       row(region.RecordPrefix+"odd", "\xa1\x01\x64done"),
		"agent: nested":                           {Key: region.AgentPrefix + "x:70000", Value: nested},
		"agent: no name":                          row(region.AgentPrefix, ""),
		"cancellation: of no job":                 {Key: region.CancelPrefix + "odd", Value: nested},
		"run times: nested":                       {Key: region.RunTimesKey, Value: nested},
		"run times: infinite":                     row(region.RunTimesKey, "\xa1\x64maps\xa2\x01\xa3\x01\xf9\x7c\x00\x02\xf9\x7c\x00\x03\xf9\x7e\x00\x02\xa3\x01\x05\x02\xf9\x7c\x00\x03\xf9\x7c\x00"),
	}
}

// runBesideRow has a new leader find a row, and returns whether it still runs a job whose
// row is valid. The job is guaranteed its accelerators, whatever another job may use.
func runBesideRow(t *testing.T, row table.Row) bool {
	t.Helper()
	h := newHarness(t)
	h.join("a")
	valid := gpuJob("j1", 1, 4)
	valid.Queue = "checks"
	h.submit(valid)
	if _, err := h.table.Commit(t.Context(), table.Txn{Writes: []table.Write{{Key: row.Key, Value: row.Value}}}); err != nil {
		t.Fatal(err)
	}
	h.lead(lease.Epoch(2))
	h.core.ApplyRow(h.now, row)
	for range 12 {
		h.now = h.now.Add(time.Second)
		h.save()
		if orders := h.report("a", nil); len(orders.Starts) > 0 && orders.Starts[0].Task.Job == "j1" {
			return true
		}
	}
	return false
}

// TestOddRows leaves one row in the table that this program did not write. Each new
// leader reads it, so that a leader that ends because of it would be followed by one that
// ends, too. It must be left out, and all other jobs must run.
func TestOddRows(t *testing.T) {
	for name, row := range oddRows(t) {
		t.Run(name, func(t *testing.T) {
			if !runBesideRow(t, row) {
				t.Error("a valid job does not start")
			}
		})
	}
}

// TestDamagedRows damages valid rows at random. No row may stop a leader.
func TestDamagedRows(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	valid := oddJob(t, func(j *work.Job) {
		j.OccurrenceCount, j.Interval = 2, time.Second
		j.Steps = append(j.Steps, work.Step{Count: 2, After: []int{0}, Gang: true})
	})
	for range 300 {
		value := append([]byte(nil), valid...)
		for range 1 + random.IntN(4) {
			value[random.IntN(len(value))] = byte(random.Uint32())
		}
		if !runBesideRow(t, table.Row{Key: region.JobPrefix + "odd", Value: value[:len(value)-random.IntN(2)]}) {
			t.Fatalf("a valid job does not start beside %x", value)
		}
	}
}
