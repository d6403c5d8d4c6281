// Package baseline has simple scheduling policies and a lower bound for
// completion times. Benchmarks compare the policy of package scheduler with them.
package baseline

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

// maxFailures is the number of failures after which a job is not tried again.
const maxFailures = 3

type (
	// base is what the policies of this package share: the workers, the queue in
	// the order of submission, and the running jobs. everKnown is all workers
	// that were ever added, with nothing running on them.
	base struct {
		pool      pool
		everKnown pool
		accounts  map[account.Name]account.Account
		queue     []scheduler.Job
		running   map[job.ID]*runningJob
		failures  map[job.ID]int
	}

	// runningJob is a job and where it runs. expectedEnd is when it ends if its
	// declared run time is right.
	runningJob struct {
		job         scheduler.Job
		placement   floor.Placement
		expectedEnd time.Time
	}
)

func newBase() base {
	return base{
		accounts: make(map[account.Name]account.Account),
		running:  make(map[job.ID]*runningJob),
		failures: make(map[job.ID]int),
	}
}

func (b *base) AddWorker(worker floor.Worker) {
	b.pool.add(worker)
	b.everKnown.add(worker)
}

func (b *base) DrainWorker(id floor.WorkerID) {
	if m := b.pool.find(id); m != nil {
		m.draining = true
	}
}

func (b *base) RemoveWorker(id floor.WorkerID) {
	b.pool.remove(id)
}

func (b *base) SetAccounts(accounts []account.Account) {
	clear(b.accounts)
	for _, a := range accounts {
		b.accounts[a.Name] = a
	}
}

func (b *base) CheckAccounts([]account.Account) error {
	return nil
}

func (b *base) Admit(_ time.Time, entry scheduler.Job) error {
	entry.Shape = entry.Shape.WithDefaults()
	if b.everKnown.place(entry.Shape, firstFitting) == nil {
		return &scheduler.RefusedError{Field: "shape", Reason: "no known workers can ever hold the shape", Permanent: true}
	}
	waiting := 0
	for _, q := range b.queue {
		if q.Account == entry.Account {
			waiting++
		}
	}
	limit := b.accounts[entry.Account].Parameters.QueueLimit
	if limit > 0 && waiting >= limit {
		return &scheduler.RefusedError{Field: "account", Reason: "the account's queue limit is reached"}
	}
	b.enqueue(entry)
	return nil
}

func (b *base) Restore(now time.Time, entry scheduler.Job, placement floor.Placement) {
	entry.Shape = entry.Shape.WithDefaults()
	if placement == nil {
		b.enqueue(entry)
		return
	}
	b.start(now, entry, placement)
}

func (b *base) Requeue(_ time.Time, id job.ID, outcome scheduler.Outcome) {
	if outcome.Failed {
		b.failures[id]++
	}
	r, ok := b.running[id]
	if !ok {
		return
	}
	b.release(id)
	b.enqueue(r.job)
}

// Exhausted reports whether a job has failed maxFailures times, whatever the cause.
func (b *base) Exhausted(id job.ID) bool {
	return b.failures[id] >= maxFailures
}

func (b *base) Remove(_ time.Time, id job.ID, _ scheduler.Outcome) {
	delete(b.failures, id)
	b.release(id)
	b.queue = slices.DeleteFunc(b.queue, func(q scheduler.Job) bool { return q.ID == id })
}

// SetBudgets applies the budget of the whole region. Those of data centres and
// racks are ignored.
func (b *base) SetBudgets(budgets []scheduler.Budget) {
	for _, limit := range budgets {
		if limit.DataCentre == "" {
			b.pool.budget = limit.Cooling
		}
	}
}

func (b *base) ReportDraw(time.Time, floor.WorkerID, floor.Watts) {}

func (b *base) Explain(_ time.Time, id job.ID) (scheduler.Explanation, bool) {
	for i, q := range b.queue {
		if q.ID == id {
			return scheduler.Explanation{Job: id, Waiting: true, Position: i + 1, Reason: "jobs before it wait"}, true
		}
	}
	_, ok := b.running[id]
	return scheduler.Explanation{Job: id}, ok
}

func (b *base) Overview(time.Time) scheduler.Overview {
	var overview scheduler.Overview
	for _, m := range b.pool.machines {
		overview.Workers = append(overview.Workers, scheduler.WorkerState{
			Worker: m.worker, Busy: m.busy, Cores: m.cores, Memory: m.memory, Slots: m.slots, Draining: m.draining,
		})
	}
	return overview
}

func (b *base) Wake() time.Time {
	return time.Time{}
}

// enqueue adds a job to the queue, which is in the order of submission.
func (b *base) enqueue(entry scheduler.Job) {
	i, _ := slices.BinarySearchFunc(b.queue, entry, bySubmission)
	b.queue = slices.Insert(b.queue, i, entry)
}

func (b *base) start(now time.Time, entry scheduler.Job, placement floor.Placement) {
	b.pool.take(placement, 1)
	b.running[entry.ID] = &runningJob{job: entry, placement: placement, expectedEnd: now.Add(entry.Expected)}
}

func (b *base) release(id job.ID) {
	if r, ok := b.running[id]; ok {
		b.pool.take(r.placement, -1)
		delete(b.running, id)
	}
}

func bySubmission(x, y scheduler.Job) int {
	return cmp.Or(x.Submitted.Compare(y.Submitted), cmp.Compare(x.ID, y.ID))
}
