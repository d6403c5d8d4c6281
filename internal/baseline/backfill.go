package baseline

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

const (
	// farFuture is longer than any job runs.
	farFuture = 10_000 * time.Hour
)

type (
	// backfill is the policy that NewBackfill returns.
	backfill struct {
		base
	}

	// reservation is the place of the first waiting job, on workers, from startAt
	// on.
	reservation struct {
		startAt time.Time
		workers map[floor.WorkerID]bool
	}

	// quota is a number of accelerators and of shares. A job takes one share
	// for each of its workers; a guarantee allows one for each of its
	// accelerators, or for each worker if it has none.
	quota struct {
		accelerators int
		shares       int
	}
)

// NewBackfill returns a policy that starts jobs on the best fitting workers. The
// first job that does not fit gets a reservation for the time at which, by
// declared run times, its place becomes free. Later jobs may start before it if
// they do not use its workers or end in time. Jobs within the quota of their
// account, which is the sum of its guarantees, go first. Running jobs are never
// stopped.
func NewBackfill() scheduler.Policy {
	return &backfill{base: newBase()}
}

// Decide starts the jobs that fit and do not delay the first job that does not.
func (b *backfill) Decide(now time.Time) []scheduler.Decision {
	var decisions []scheduler.Decision
	var head *scheduler.Job
	var reserved *reservation
	unplaceable := make(map[floor.Shape]bool)
	for _, q := range b.ordered() {
		if unplaceable[q.Shape] {
			continue
		}
		placement := b.pool.place(q.Shape, bestFitting)
		if placement == nil {
			unplaceable[q.Shape] = true
			if head == nil {
				head = &q
			}
			continue
		}
		if head != nil && reserved == nil {
			reserved = b.reserve(now, head.Shape)
		}
		if reserved.delayedBy(now.Add(q.Expected), placement) {
			continue
		}
		b.queue = slices.DeleteFunc(b.queue, func(other scheduler.Job) bool { return other.ID == q.ID })
		b.start(now, q, placement)
		decisions = append(decisions, scheduler.Start{Job: q.ID, Placement: placement})
	}
	return decisions
}

// ordered returns the queue with the jobs that are within the quota of their
// account first.
func (b *backfill) ordered() []scheduler.Job {
	left := b.quotas()
	var within, beyond []scheduler.Job
	for _, q := range b.queue {
		l := left[q.Account]
		l.accelerators -= q.Shape.Workers * q.Shape.Accelerators
		l.shares -= q.Shape.Workers
		if l.accelerators < 0 || l.shares < 0 {
			beyond = append(beyond, q)
			continue
		}
		left[q.Account] = l
		within = append(within, q)
	}
	return append(within, beyond...)
}

// quotas returns what the running jobs of each account leave of its guarantees.
func (b *backfill) quotas() map[account.Name]quota {
	left := make(map[account.Name]quota)
	for name, a := range b.accounts {
		var l quota
		for _, g := range a.Parameters.Guarantees {
			l.accelerators += g.Count * g.Shape.Workers * g.Shape.Accelerators
			l.shares += g.Count * max(g.Shape.Workers, g.Shape.Workers*g.Shape.Accelerators)
		}
		left[name] = l
	}
	for _, r := range b.running {
		l := left[r.job.Account]
		l.accelerators -= r.job.Shape.Workers * r.job.Shape.Accelerators
		l.shares -= r.job.Shape.Workers
		left[r.job.Account] = l
	}
	return left
}

// reserve returns a reservation for a shape at the earliest time at which it
// fits if running jobs end as declared. If it never fits, or fits at once, the
// reservation has no workers and begins in the far future.
func (b *backfill) reserve(now time.Time, shape floor.Shape) *reservation {
	ids := slices.SortedFunc(maps.Keys(b.running), func(x, y job.ID) int {
		return cmp.Or(b.running[x].expectedEnd.Compare(b.running[y].expectedEnd), cmp.Compare(x, y))
	})
	placementAfter := func(ended int) floor.Placement {
		future := b.pool.clone()
		for _, id := range ids[:ended] {
			future.take(b.running[id].placement, -1)
		}
		return future.place(shape, bestFitting)
	}
	ended := sort.Search(len(ids)+1, func(n int) bool { return placementAfter(n) != nil })
	if ended > len(ids) || ended == 0 {
		return &reservation{startAt: now.Add(farFuture)}
	}
	reserved := &reservation{startAt: b.running[ids[ended-1]].expectedEnd, workers: make(map[floor.WorkerID]bool)}
	if reserved.startAt.Before(now) {
		reserved.startAt = now
	}
	for _, share := range placementAfter(ended) {
		reserved.workers[share.Worker] = true
	}
	return reserved
}

// delayedBy reports whether a job with the placement would delay the reservation.
// A nil reservation is never delayed.
func (r *reservation) delayedBy(ends time.Time, placement floor.Placement) bool {
	if r == nil || !ends.After(r.startAt) {
		return false
	}
	return slices.ContainsFunc(placement, func(share floor.Allocation) bool { return r.workers[share.Worker] })
}
