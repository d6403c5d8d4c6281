package scheduler

import (
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
)

const (
	// A job waits in its lane, is in back-off after a failure, is pending (it
	// holds a place that evicted jobs still occupy), runs, or is leaving (it was
	// told to stop).
	stateWaiting state = iota
	stateBackoff
	statePending
	stateRunning
	stateLeaving

	// firstBackoff is the back-off after the first failure, and maxBackoff the
	// longest.
	firstBackoff = time.Second
	maxBackoff   = 5 * time.Minute
	// avoidFor is how long a job avoids a worker on which it failed.
	avoidFor = 30 * time.Minute

	// avoidUnprovenFor replaces avoidFor while no other job has run well on
	// the worker since.
	avoidUnprovenFor = 6 * time.Hour
)

type (
	// state is where a job is between its admission and its removal.
	state int

	// jobEntry is the scheduling state of one job. It is guaranteed while it
	// runs on a guarantee of its account, and a borrower otherwise.
	jobEntry struct {
		Job
		tenant  *tenant
		lane    *lane
		state   state
		arrival uint64
		urgent  bool
		// shares is the place of the job by rank: one share for each worker.
		shares []share
		// guarantee is the one that the job holds its place on, and segments
		// the indexes of the segments that it uses. backing is an unused
		// guarantee of the account that entitles the job to its place
		// elsewhere.
		guarantee *guarantee
		backing   *guarantee
		segments  []int
		queuedAt  time.Time
		startedAt time.Time
		// deadline is when a leaving job must have stopped.
		deadline time.Time
		// progress is the run time that checkpoints have saved.
		progress time.Duration
		// failures counts failed runs, and earlyEnds runs that ended early
		// without a failure, a reclaim or a lost worker.
		failures       int
		workerFailures []workerFailure
		earlyEnds      int
		notBefore      time.Time
		// avoidWorkers lists the workers on which the job failed, the last
		// time at failedAt. It is limited to about half of the known workers;
		// the oldest entry is dropped first.
		avoidWorkers []floor.WorkerID
		failedAt     time.Time
		// backfills is a reservation of another job on whose place this job
		// runs until it is needed.
		backfills   *reservation
		reservation *reservation
		estimate    *estimate
		// endEstimate is scratch space of vacancyOn.
		endEstimate time.Time
		throttled   bool
		throttledAt time.Time
	}
)

// reclaimable reports whether a job that is not guaranteed may have this one
// evicted: it neither runs on a guarantee nor is urgent.
func (t *jobEntry) reclaimable() bool {
	return t.guarantee == nil && !t.urgent
}

// guaranteed reports whether the job holds its place on behalf of a guarantee.
func (t *jobEntry) guaranteed() bool {
	return t.guarantee != nil || t.backing != nil
}

// active reports whether the job runs, also if it has been told to stop.
func (t *jobEntry) active() bool {
	return t.state == stateRunning || t.state == stateLeaving
}

// avoids reports whether a job must not be placed on a worker: on one where it
// failed, for longer while no other job has run well there since, or, if the
// job is not idempotent, on one that may be faulty.
func (t *jobEntry) avoids(now time.Time, w *worker) bool {
	if !t.Idempotent && w.mayBeFaulty(now) {
		return true
	}
	if len(t.avoidWorkers) == 0 || !slices.Contains(t.avoidWorkers, w.ID) {
		return false
	}
	since := now.Sub(t.failedAt)
	return since < avoidFor || since < avoidUnprovenFor && !w.lastSuccess.After(t.failedAt)
}

func (t *jobEntry) placement() floor.Placement {
	placement := make(floor.Placement, 0, len(t.shares))
	for _, s := range t.shares {
		placement = append(placement, floor.Allocation{
			Worker: s.worker.ID, Accelerators: s.mask, Cores: s.amount.cores, Memory: s.amount.memory,
		})
	}
	return placement
}

// size returns the size of the job in accelerators, or in workers if it needs
// no accelerators.
func (t *jobEntry) size() int {
	return t.Shape.Workers * max(1, t.Shape.Accelerators)
}

// start records the decision to start a job on its shares, and counts the job
// as running.
func (p *policy) start(t *jobEntry) {
	p.markRunning(t)
	t.startedAt = p.now
	p.addDecision(Start{Job: t.ID, Placement: t.placement()})
}

// markRunning counts a job as running on its shares.
func (p *policy) markRunning(t *jobEntry) {
	t.state = stateRunning
	t.throttled = false
	for _, s := range t.shares {
		s.occupy(t)
	}
	t.tenant.running++
	t.tenant.active = append(t.tenant.active, t)
	t.tenant.runningSize += t.size()
	p.changes++
	p.dropReservation(t)
}

// releaseRun frees the shares of a running job.
func (p *policy) releaseRun(t *jobEntry) {
	if t.state == stateLeaving {
		p.leaving = without(p.leaving, t)
	}
	for _, s := range t.shares {
		s.vacate(t)
	}
	t.tenant.running--
	t.tenant.active = without(t.tenant.active, t)
	t.tenant.runningSize -= t.size()
	p.leaveGuarantee(t)
	t.shares = nil
	t.backfills = nil
	p.noteFreed()
}

// hold keeps the shares of a job for it until the jobs on them have stopped.
func (p *policy) hold(t *jobEntry) {
	t.state = statePending
	for _, s := range t.shares {
		s.hold(t)
	}
	p.pending = append(p.pending, t)
	p.dropReservation(t)
	p.changes++
}

func (p *policy) unhold(t *jobEntry) {
	for _, s := range t.shares {
		s.unhold(t)
	}
	p.pending = without(p.pending, t)
	p.noteFreed()
}

// requeuePending gives up the place that a pending job holds and puts it back
// into its queue.
func (p *policy) requeuePending(t *jobEntry) {
	p.unhold(t)
	p.leaveGuarantee(t)
	t.shares = nil
	p.enqueue(t)
}

// startPending starts the pending jobs whose place is clear and whose budgets
// allow it. For a guaranteed one whose budgets do not, cooling is reclaimed.
func (p *policy) startPending() {
	p.jobScratch = append(p.jobScratch[:0], p.pending...)
	for _, t := range p.jobScratch {
		if slices.ContainsFunc(t.shares, func(s share) bool { return !s.clear() }) {
			continue
		}
		if !t.fitsBudgets() {
			if t.guaranteed() {
				p.reclaimCooling(t, p.config.Grace)
			}
			continue
		}
		shares := t.shares
		p.unhold(t)
		t.shares = shares
		p.start(t)
	}
}

// startOrHold starts a job on its shares. If others run there, it evicts them
// with the given grace and holds the shares meanwhile. It also holds them if a
// budget does not allow the start yet; for a guaranteed or urgent job, cooling
// is then reclaimed.
func (p *policy) startOrHold(t *jobEntry, grace time.Duration) {
	p.dequeue(t)
	free := true
	for _, s := range t.shares {
		p.victims, _ = p.victimsOf(t, s, t.guaranteed(), p.victims[:0])
		p.jobScratch = append(p.jobScratch[:0], p.victims...)
		for _, v := range p.jobScratch {
			p.evict(v, grace)
		}
		free = free && s.clear()
	}
	if !t.fitsBudgets() {
		free = false
		if t.guaranteed() || t.urgent {
			p.reclaimCooling(t, grace)
		}
	}
	if free {
		p.start(t)
		return
	}
	p.hold(t)
}
