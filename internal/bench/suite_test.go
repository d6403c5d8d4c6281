package bench_test

import (
	"sync"

	"github.com/lovageroad/lovageroad/internal/baseline"
	"github.com/lovageroad/lovageroad/internal/bench"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

const (
	// parallel is the number of runs at a time.
	parallel = 4
)

type (
	// candidate is a policy to measure.
	candidate struct {
		Name string
		New  func() scheduler.Policy
	}

	// row is the result of one run.
	row struct {
		Workload string
		Fault    bench.Fault
		Policy   string
		Result   *bench.Result
	}
)

// baselines are the policies to compare with.
var baselines = []candidate{
	{Name: "firstfit", New: baseline.NewFirstFit},
	{Name: "backfill", New: baseline.NewBackfill},
}

// suite runs each policy under each fault, and returns the results in that order.
func suite(load bench.Workload, faults []bench.Fault, candidates []candidate, seed uint64) []row {
	rows := make([]row, len(faults)*len(candidates))
	var group sync.WaitGroup
	tokens := make(chan struct{}, parallel)
	for i := range rows {
		c := candidates[i%len(candidates)]
		rows[i] = row{Workload: load.Name, Fault: faults[i/len(candidates)], Policy: c.Name}
		tokens <- struct{}{}
		group.Go(func() {
			rows[i].Result = bench.Run(load, rows[i].Fault, c.New(), seed)
			<-tokens
		})
	}
	group.Wait()
	return rows
}
