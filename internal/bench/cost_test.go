package bench_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/bench"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

var benchmarkStart = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// BenchmarkDecide measures the decisions to admit, start and remove one urgent job
// while the floor is full and a queue of other jobs waits.
func BenchmarkDecide(b *testing.B) {
	tests := []struct {
		workers, accounts, queue int
	}{
		{680, 240, 0},
		{680, 240, 1000},
		{680, 240, 10_000},
		{340, 240, 1000},
		{170, 240, 1000},
		{680, 120, 1000},
		{680, 60, 1000},
	}
	for _, test := range tests {
		b.Run(fmt.Sprintf("workers=%d/accounts=%d/queue=%d", test.workers, test.accounts, test.queue), func(b *testing.B) {
			policy := newFullPolicy(test.workers, test.accounts, test.queue)
			now := benchmarkStart
			urgent := scheduler.Job{Account: "desk000", Class: "check", Idempotent: true, Expected: time.Minute}
			// Account 22 is the first that has urgent work, desk000.
			urgent.Shape = bench.Target(0).Accounts[22].Parameters.Guarantees[0].Shape
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Second)
				urgent.ID, urgent.Submitted = job.ID(fmt.Sprint(i)), now
				if err := policy.Admit(now, urgent); err != nil {
					b.Fatal(err)
				}
				policy.Decide(now)
				policy.Remove(now, urgent.ID, scheduler.Outcome{Elapsed: time.Minute})
				policy.Decide(now)
			}
		})
	}
}

// newFullPolicy returns a policy whose floor is full, with the given number of
// jobs waiting. It chooses the workers by two digits of their IDs, about as many
// as given.
func newFullPolicy(workers, accounts, queue int) scheduler.Policy {
	workload := bench.Target(240 * time.Hour)
	policy := scheduler.New()
	for _, w := range workload.Workers {
		if len(workload.Workers)/workers <= 1 || int(w.ID[3]+w.ID[4])%(len(workload.Workers)/workers) == 0 {
			policy.AddWorker(w)
		}
	}
	policy.SetAccounts(workload.Accounts[:min(accounts, len(workload.Accounts))])
	waiting := 0
	for _, j := range workload.Jobs(1) {
		j.Submitted = benchmarkStart
		if j.Urgent || policy.Admit(benchmarkStart, j.Job) != nil {
			continue
		}
		started := len(policy.Decide(benchmarkStart))
		if waiting += 1 - started; waiting >= queue && started == 0 {
			break
		}
	}
	return policy
}
