package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

// busyFloor returns a policy with no free capacity and a queue, and the jobs that
// run.
func busyFloor(workers, queue, accounts int, now time.Time) (scheduler.Policy, []scheduler.Job) {
	p := scheduler.New()
	var list []account.Account
	for i := range accounts {
		name := account.Name(fmt.Sprintf("a%03d", i))
		list = append(list, accountOf(name, guarantee(1, 1, max(1, workers*4/accounts), floor.AdjacentWorker)))
	}
	for _, w := range floorOf(workers) {
		p.AddWorker(w)
	}
	p.SetAccounts(list)
	running := make(map[job.ID]scheduler.Job)
	var started []scheduler.Job
	for i := range workers*8 + queue {
		entry := scheduler.Job{
			ID: job.ID(fmt.Sprintf("j%06d", i)), Account: list[i%accounts].Name, Class: "reports",
			Shape:      floor.Shape{Workers: 1, Accelerators: 1 + i%2},
			Idempotent: true, Expected: time.Duration(1+i%7) * time.Hour, Submitted: now,
		}
		if p.Admit(now, entry) == nil {
			running[entry.ID] = entry
		}
	}
	for _, d := range p.Decide(now) {
		if s, ok := d.(scheduler.Start); ok {
			started = append(started, running[s.Job])
		}
	}
	return p, started
}

// BenchmarkDecide measures the end of a job, the admission of another, and the
// decisions that follow.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{11, 230, 680} {
		for _, queue := range []int{100, 10_000} {
			for _, accounts := range []int{4, 240} {
				b.Run(fmt.Sprintf("workers=%d/queue=%d/accounts=%d", workers, queue, accounts), func(b *testing.B) {
					benchmarkDecide(b, workers, queue, accounts)
				})
			}
		}
	}
}

func benchmarkDecide(b *testing.B, workers, queue, accounts int) {
	now := time.Unix(1_000_000, 0)
	p, started := busyFloor(workers, queue, accounts, now)
	b.ReportAllocs()
	b.ResetTimer()
	next := 0
	for i := range b.N {
		now = now.Add(time.Millisecond)
		ended := started[i%len(started)]
		p.Remove(now, ended.ID, scheduler.Outcome{})
		ended.ID = job.ID(fmt.Sprintf("k%06d", next))
		ended.Submitted = now
		next++
		_ = p.Admit(now, ended)
		for _, d := range p.Decide(now) {
			if s, ok := d.(scheduler.Start); ok {
				started[i%len(started)].ID = s.Job
			}
		}
	}
}
