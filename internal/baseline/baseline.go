// Package baseline has simple policies and lower bounds that the policy of
// package scheduler is measured against.
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

type (
	// base holds what the policies of this package share: the floor, the queue
	// in the order of submission, and the running jobs.
	base struct {
		pool     pool
		known    pool
		accounts map[account.Name]account.Account
		queue    []scheduler.Job
		running  map[job.ID]*run
	}

	run struct {
		job       scheduler.Job
		placement floor.Placement
		ends      time.Time
	}
)

func newBase() base {
	return base{
		accounts: make(map[account.Name]account.Account),
		running:  make(map[job.ID]*run),
	}
}

func (b *base) AddWorker(worker floor.Worker) {
	b.pool.add(worker)
	b.known.add(worker)
}

func (b *base) DrainWorker(id floor.WorkerID) {
	if m := b.pool.find(id); m != nil {
		m.drain = true
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
	entry.Shape = entry.Shape.Normal()
	if b.known.place(entry.Shape, firstOf) == nil {
		return &scheduler.RefusedError{Field: "shape", Reason: "the floor has no such cell", Never: true}
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
	entry.Shape = entry.Shape.Normal()
	if placement == nil {
		b.enqueue(entry)
		return
	}
	b.start(now, entry, placement)
}

func (b *base) Requeue(_ time.Time, id job.ID, _ scheduler.Outcome) {
	r, ok := b.running[id]
	if !ok {
		return
	}
	b.release(id)
	b.enqueue(r.job)
}

func (b *base) Remove(_ time.Time, id job.ID, _ scheduler.Outcome) {
	b.release(id)
	b.queue = slices.DeleteFunc(b.queue, func(q scheduler.Job) bool { return q.ID == id })
}

// SetBudgets takes the budget of the whole region. Smaller ones are ignored.
func (b *base) SetBudgets(budgets []scheduler.Budget) {
	for _, limit := range budgets {
		if limit.DataCentre == "" {
			b.pool.budget = limit.Cooling
		}
	}
}

func (b *base) Report(time.Time, floor.WorkerID, floor.Watts) {}

func (b *base) Explain(_ time.Time, id job.ID) (scheduler.Explanation, bool) {
	for i, q := range b.queue {
		if q.ID == id {
			return scheduler.Explanation{Job: id, Waiting: true, Place: i + 1, Reason: "jobs before it wait"}, true
		}
	}
	_, ok := b.running[id]
	return scheduler.Explanation{Job: id}, ok
}

func (b *base) Overview(time.Time) scheduler.Overview {
	var overview scheduler.Overview
	for _, m := range b.pool.machines {
		overview.Workers = append(overview.Workers, scheduler.WorkerState{
			Worker: m.worker, Busy: m.busy, Cores: m.cores, Memory: m.memory, Slots: m.slots, Draining: m.drain,
		})
	}
	return overview
}

func (b *base) Wake() time.Time {
	return time.Time{}
}

// enqueue keeps the queue in the order of submission.
func (b *base) enqueue(entry scheduler.Job) {
	i, _ := slices.BinarySearchFunc(b.queue, entry, bySubmission)
	b.queue = slices.Insert(b.queue, i, entry)
}

func (b *base) start(now time.Time, entry scheduler.Job, placement floor.Placement) {
	b.pool.take(placement, 1)
	b.running[entry.ID] = &run{job: entry, placement: placement, ends: now.Add(entry.Expected)}
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
