package bench_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/bench"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

var costStart = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// BenchmarkDecide measures one urgent job that is admitted, started and ended
// while the floor of the target size is full and other jobs wait.
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
			policy := full(test.workers, test.accounts, test.queue)
			now := costStart
			urgent := scheduler.Job{Account: "desk000", Class: "check", Idempotent: true, Expected: time.Minute}
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

// full returns a policy whose floor is full, with a number of jobs waiting.
func full(workers, accounts, queue int) scheduler.Policy {
	load := bench.Target(240 * time.Hour)
	policy := scheduler.New()
	for _, w := range load.Workers {
		if len(load.Workers)/workers <= 1 || int(w.ID[3]+w.ID[4])%(len(load.Workers)/workers) == 0 {
			policy.AddWorker(w)
		}
	}
	policy.SetAccounts(load.Accounts[:min(accounts, len(load.Accounts))])
	waiting := 0
	for _, task := range load.Tasks(1) {
		task.Submitted = costStart
		if task.Urgent || policy.Admit(costStart, task.Job) != nil {
			continue
		}
		started := len(policy.Decide(costStart))
		if waiting += 1 - started; waiting >= queue && started == 0 {
			break
		}
	}
	return policy
}
