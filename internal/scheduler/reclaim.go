package scheduler

import (
	"slices"
	"time"
)

const (
	// forbidden is the cost of a place that must not be taken.
	forbidden = 1 << 40

	// nonIdempotentLoss is the loss, besides its size, if a job that is not
	// idempotent is evicted: it cannot run again.
	nonIdempotentLoss = 1 << 24

	// lossUnit is the run time that counts as one unit of lost work for each
	// accelerator.
	lossUnit = time.Minute

	// minCheckpointGrace is the shortest grace in which a job is assumed to save
	// a checkpoint.
	minCheckpointGrace = 15 * time.Second

	// stopAllowance is the time after its grace by which an evicted job must
	// have stopped. After that it is told to stop again, without grace.
	stopAllowance = 5 * time.Second
)

// evict makes a job leave its place.
func (p *policy) evict(t *jobEntry, grace time.Duration) {
	switch t.state {
	case statePending:
		p.requeuePending(t)
	case stateRunning:
		t.state = stateLeaving
		t.deadline = p.now.Add(grace + stopAllowance)
		p.leaving = append(p.leaving, t)
		p.changes++
		p.addDecision(Reclaim{Job: t.ID, Grace: grace, Checkpoint: t.Checkpoint})
	case stateLeaving:
		if sooner := p.now.Add(grace + stopAllowance); sooner.Before(t.deadline) {
			t.deadline = sooner
			p.addDecision(Reclaim{Job: t.ID, Grace: grace, Checkpoint: t.Checkpoint})
		}
	case stateWaiting, stateBackoff:
	}
}

// lostWork returns the work that is lost if a job is evicted, in accelerator
// minutes.
func (p *policy) lostWork(t *jobEntry, grace time.Duration) int {
	switch {
	case t.guarantee != nil:
		return forbidden
	case t.state == stateLeaving:
		return 0
	case t.state == statePending:
		return 1
	case !t.Idempotent:
		return nonIdempotentLoss + t.size()
	}
	lost := 1 + int(p.now.Sub(t.startedAt)/lossUnit)
	if t.Checkpoint && grace >= minCheckpointGrace {
		lost = 1 + min(lost, 2)
	}
	return lost * t.size()
}

// evictionLoss returns the work that is lost if a share is cleared for a job, or
// forbidden.
func (p *policy) evictionLoss(t *jobEntry, s share, guaranteed bool) int {
	var total int
	p.victims, total = p.victimsOf(t, s, guaranteed, p.victims[:0])
	return total
}

// victimsOf appends the jobs that must be evicted from a share and returns the
// work lost, or forbidden if evictions cannot clear the share. guaranteed means
// that the share is for a guarantee.
func (p *policy) victimsOf(t *jobEntry, s share, guaranteed bool, victims []*jobEntry) ([]*jobEntry, int) {
	w := s.worker
	total := 0
	used := w.busyAmount.plus(s.amount)
	add := func(v jobShare) {
		victims = append(victims, v.jobEntry)
		total += p.evictionCost(t, v.jobEntry, guaranteed)
		used = used.minus(v.amount)
	}
	for _, v := range w.jobs {
		if v.jobEntry != t && v.mask&s.mask != 0 {
			add(v)
		}
	}
	for _, v := range w.pending {
		if v.jobEntry == t {
			continue
		}
		used = used.plus(v.amount)
		if v.mask&s.mask != 0 {
			add(v)
		}
	}
	for !used.within(w.capacity()) {
		next, ok := p.cheapestVictim(t, w, guaranteed, victims)
		if !ok {
			return victims, forbidden
		}
		add(next)
	}
	return victims, min(total, forbidden)
}

// evictionCost returns the cost of evicting a victim for a job. Urgent jobs,
// and those backed by a guarantee, are evicted for guarantees only. For a job
// that is neither guaranteed nor urgent, only smaller, idempotent jobs are.
func (p *policy) evictionCost(t, victim *jobEntry, guaranteed bool) int {
	switch {
	case guaranteed || victim.state == stateLeaving:
	case victim.urgent, victim.backing != nil:
		return forbidden
	case t != nil && !t.urgent && (!victim.Idempotent || victim.size() >= t.size()):
		return forbidden
	}
	grace := p.config.Grace
	if t != nil && t.urgent {
		grace = p.config.UrgentGrace
	}
	return p.lostWork(victim, grace)
}

// cheapestVictim returns the job on a worker that costs the least to evict,
// apart from those in except.
func (p *policy) cheapestVictim(t *jobEntry, w *worker, guaranteed bool, except []*jobEntry) (best jobShare, found bool) {
	lowest := forbidden
	for _, list := range [][]jobShare{w.jobs, w.pending} {
		for _, v := range list {
			if v.jobEntry == t || slices.Contains(except, v.jobEntry) {
				continue
			}
			if cost := p.evictionCost(t, v.jobEntry, guaranteed); cost < lowest {
				best, lowest, found = v, cost, true
			}
		}
	}
	return best, found
}
