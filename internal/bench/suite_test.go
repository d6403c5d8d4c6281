package bench_test

import (
	"sync"

	"github.com/lovageroad/lovageroad/internal/baseline"
	"github.com/lovageroad/lovageroad/internal/bench"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

const (
	// maxParallelRuns is the number of simulations that run at a time.
	maxParallelRuns = 4
)

type (
	// candidate is a policy to measure.
	candidate struct {
		Name string
		New  func() scheduler.Policy
	}

	// measurement is the result of one run.
	measurement struct {
		Workload string
		Fault    bench.Fault
		Policy   string
		Result   *bench.Result
	}
)

// baselines are the policies that the tested policy is compared with.
var baselines = []candidate{
	{Name: "firstfit", New: baseline.NewFirstFit},
	{Name: "backfill", New: baseline.NewBackfill},
}

// runSuite simulates each policy under each fault. It returns the results by
// fault, and by policy within a fault.
func runSuite(workload bench.Workload, chosen []bench.Fault, policies []candidate, workloadSeed uint64) []measurement {
	rows := make([]measurement, len(chosen)*len(policies))
	var runs sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelRuns)
	for i := range rows {
		policy := policies[i%len(policies)]
		rows[i] = measurement{Workload: workload.Name, Fault: chosen[i/len(policies)], Policy: policy.Name}
		semaphore <- struct{}{}
		runs.Go(func() {
			rows[i].Result = bench.Run(workload, rows[i].Fault, policy.New(), workloadSeed)
			<-semaphore
		})
	}
	runs.Wait()
	return rows
}
