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
	// never is longer than any job runs.
	never = 10_000 * time.Hour
)

type (
	backfill struct {
		base
	}

	// hold is the place kept for the head of the queue.
	hold struct {
		from    time.Time
		workers map[floor.WorkerID]bool
	}

	quota struct {
		accelerators int
		members      int
	}
)

// NewBackfill returns a policy that takes the best fitting workers and keeps the
// head of the queue a place at the time that declared run times give. Later jobs
// start before it if they leave that place alone or end in time. Jobs of
// accounts within their quota, the sum of their guarantees, come first. It
// never stops a job.
func NewBackfill() scheduler.Policy {
	return &backfill{base: newBase()}
}

// Decide starts the jobs that fit and do not delay the head of the queue.
func (b *backfill) Decide(now time.Time) []scheduler.Decision {
	var decisions []scheduler.Decision
	var head *scheduler.Job
	var kept *hold
	misfits := make(map[floor.Shape]bool)
	for _, q := range b.ordered() {
		if misfits[q.Shape] {
			continue
		}
		placement := b.pool.place(q.Shape, bestOf)
		if placement == nil {
			misfits[q.Shape] = true
			if head == nil {
				head = &q
			}
			continue
		}
		if head != nil && kept == nil {
			kept = b.keep(now, head.Shape)
		}
		if kept.delayed(now.Add(q.Expected), placement) {
			continue
		}
		b.queue = slices.DeleteFunc(b.queue, func(other scheduler.Job) bool { return other.ID == q.ID })
		b.start(now, q, placement)
		decisions = append(decisions, scheduler.Start{Job: q.ID, Placement: placement})
	}
	return decisions
}

// ordered returns the queue with the jobs first that are within their
// account's quota.
func (b *backfill) ordered() []scheduler.Job {
	left := b.quotas()
	var within, beyond []scheduler.Job
	for _, q := range b.queue {
		l := left[q.Account]
		l.accelerators -= q.Shape.Workers * q.Shape.Accelerators
		l.members -= q.Shape.Workers
		if l.accelerators < 0 || l.members < 0 {
			beyond = append(beyond, q)
			continue
		}
		left[q.Account] = l
		within = append(within, q)
	}
	return append(within, beyond...)
}

// quotas returns what each account's guarantees leave beside its running jobs.
func (b *backfill) quotas() map[account.Name]quota {
	left := make(map[account.Name]quota)
	for name, a := range b.accounts {
		var l quota
		for _, g := range a.Parameters.Guarantees {
			l.accelerators += g.Count * g.Shape.Workers * g.Shape.Accelerators
			l.members += g.Count * max(g.Shape.Workers, g.Shape.Workers*g.Shape.Accelerators)
		}
		left[name] = l
	}
	for _, r := range b.running {
		l := left[r.job.Account]
		l.accelerators -= r.job.Shape.Workers * r.job.Shape.Accelerators
		l.members -= r.job.Shape.Workers
		left[r.job.Account] = l
	}
	return left
}

// keep returns the place that the shape gets first if running jobs end as
// declared. If it gets none, that is none at a time far off.
func (b *backfill) keep(now time.Time, shape floor.Shape) *hold {
	ids := slices.SortedFunc(maps.Keys(b.running), func(x, y job.ID) int {
		return cmp.Or(b.running[x].ends.Compare(b.running[y].ends), cmp.Compare(x, y))
	})
	after := func(ended int) floor.Placement {
		future := b.pool.clone()
		for _, id := range ids[:ended] {
			future.take(b.running[id].placement, -1)
		}
		return future.place(shape, bestOf)
	}
	ended := sort.Search(len(ids)+1, func(n int) bool { return after(n) != nil })
	if ended > len(ids) || ended == 0 {
		return &hold{from: now.Add(never)}
	}
	kept := &hold{from: b.running[ids[ended-1]].ends, workers: make(map[floor.WorkerID]bool)}
	if kept.from.Before(now) {
		kept.from = now
	}
	for _, share := range after(ended) {
		kept.workers[share.Worker] = true
	}
	return kept
}

// delayed reports whether a job would keep the place beyond its time.
func (h *hold) delayed(ends time.Time, placement floor.Placement) bool {
	if h == nil || !ends.After(h.from) {
		return false
	}
	return slices.ContainsFunc(placement, func(share floor.Share) bool { return h.workers[share.Worker] })
}
