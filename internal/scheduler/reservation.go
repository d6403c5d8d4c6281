package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
)

const (
	// reservationReview is the time between two searches for a better
	// reservation.
	reservationReview = time.Minute

	// riskPerGuarantee is how much later a start may be to avoid a reservation on
	// capacity that is bound to a guarantee of another account.
	riskPerGuarantee = 10 * time.Minute
)

type (
	// reservation is the place planned for a waiting job and the time at which
	// it is expected to be free. Other jobs may be started there before
	// (backfill) if they are expected to end by then. Only the policy knows it:
	// the reservation of a share at an agent, which precedes each start, is
	// another thing.
	reservation struct {
		job      *jobEntry
		shares   []share
		startAt  time.Time
		reviewAt time.Time
	}

	// vacancy is a share and the time from which it is expected to be free. risk
	// is added to that time when vacancies are compared.
	vacancy struct {
		share share
		from  time.Time
		risk  time.Duration
	}
)

// startReserved starts the jobs with a reservation whose place, or another one,
// is free.
func (p *policy) startReserved() {
	for _, r := range slices.Clone(p.reservations) {
		t := r.job
		if t.state != stateWaiting {
			p.releaseReservation(r)
			continue
		}
		shares := r.shares
		if slices.ContainsFunc(shares, func(s share) bool { return !s.available() }) || !allAffordable(shares) {
			shares = p.place(t, viewFree)
		}
		if shares == nil {
			continue
		}
		t.shares = shares
		p.dequeue(t)
		p.start(t)
	}
}

// available reports whether a job can be started on the share at once.
func (s share) available() bool {
	w := s.worker
	return s.clear() && w.held&s.mask == 0 &&
		w.busyAmount.plus(w.heldAmount).plus(s.amount).within(w.capacity())
}

// reserveOldest gives reservations to the jobs that have waited longest, up to
// the configured number. From the second on, only jobs that have waited longer
// than agedAfter get one.
func (p *policy) reserveOldest() {
	for _, r := range slices.Clone(p.reservations) {
		if !r.valid() {
			p.releaseReservation(r)
		}
	}
	for len(p.reservations) < p.config.Reservations {
		t := p.oldest()
		if t == nil || len(p.reservations) > 0 && !p.aged(t) || !p.reserve(t) {
			return
		}
	}
}

// valid reports whether the job still waits and all of the place can be used.
func (r *reservation) valid() bool {
	return r.job.state == stateWaiting &&
		!slices.ContainsFunc(r.shares, func(s share) bool { return !s.worker.usable() || s.worker.held&s.mask != 0 })
}

// oldest returns the waiting job without a reservation that was submitted first,
// or nil.
func (p *policy) oldest() *jobEntry {
	var best *jobEntry
	for _, sg := range p.shapeGroups {
		if sg.unreservableAt == p.freed {
			continue
		}
		for _, l := range sg.lanes {
			for _, t := range l.jobs[l.first:min(len(l.jobs), l.first+p.config.Reservations+1)] {
				if t.reservation == nil {
					if best == nil || before(t, best) {
						best = t
					}
					break
				}
			}
		}
	}
	return best
}

// reserve makes a reservation where the job can start first. It returns false
// if there is no place and no other job is left to try.
func (p *policy) reserve(t *jobEntry) bool {
	shares, at := p.earliest(t)
	if shares == nil {
		p.shapeGroup(t.Shape).unreservableAt = p.freed
		return p.oldest() != nil
	}
	r := &reservation{job: t, shares: shares, startAt: at, reviewAt: at}
	t.reservation = r
	p.reservations = append(p.reservations, r)
	for _, s := range shares {
		s.worker.reservation = r
		s.worker.reserved = s.mask
		s.worker.reservedAmount = s.amount
	}
	return true
}

// releaseReservation deletes a reservation.
func (p *policy) releaseReservation(r *reservation) {
	for _, s := range r.shares {
		if s.worker.reservation == r {
			s.worker.reservation = nil
			s.worker.reserved = 0
			s.worker.reservedAmount = amount{}
		}
	}
	r.job.reservation = nil
	p.reservations = without(p.reservations, r)
	p.noteFreed()
}

// dropReservation deletes the reservation of a job, if it has one.
func (p *policy) dropReservation(t *jobEntry) {
	if t.reservation != nil {
		p.releaseReservation(t.reservation)
	}
}

// markBackfill records whose reservation a starting job backfills.
func (p *policy) markBackfill(t *jobEntry) {
	for _, s := range t.shares {
		if r := s.worker.reservation; r != nil && r != t.reservation && s.mask&s.worker.reserved != 0 {
			t.backfills = r
		}
	}
}

// reviewReservations evicts backfill jobs that run longer than was expected, and
// looks for a better place for reservations that are late.
func (p *policy) reviewReservations() {
	for _, r := range slices.Clone(p.reservations) {
		if p.now.Before(r.reviewAt) {
			continue
		}
		r.reviewAt = p.now.Add(reservationReview)
		evicted := p.reclaimBackfilled(r)
		if evicted || r.job.state != stateWaiting {
			continue
		}
		if shares, at := p.earliest(r.job); shares != nil && at.Before(p.now.Add(reservationReview)) {
			continue
		} else if shares != nil && at.Before(r.clear(p.now)) {
			t := r.job
			p.releaseReservation(r)
			p.reserve(t)
		}
	}
}

// clear returns when the last job on the reserved place is expected to end.
func (r *reservation) clear(now time.Time) time.Time {
	last := now
	for _, s := range r.shares {
		for _, t := range s.worker.jobs {
			if end := t.expectedEnd(now); t.mask&s.mask != 0 && end.After(last) {
				last = end
			}
		}
	}
	return last
}

// reclaimBackfilled evicts the jobs that backfill a reservation and reports
// whether there were any.
func (p *policy) reclaimBackfilled(r *reservation) bool {
	found := false
	for _, s := range r.shares {
		for _, t := range slices.Clone(s.worker.jobs) {
			if t.backfills == r && t.state == stateRunning && t.reclaimable() {
				p.evict(t.jobEntry, p.config.Grace)
				found = true
			}
		}
	}
	return found
}

// earliest returns the place where a job is expected to be able to start first,
// and when.
func (p *policy) earliest(t *jobEntry) ([]share, time.Time) {
	var best []share
	var at time.Time
	for _, d := range p.floor.domains(t.Shape.Adjacency) {
		p.vacancies = p.vacancies[:0]
		for _, w := range d.workers {
			if v, ok := p.vacancyOn(t, w); ok {
				p.vacancies = append(p.vacancies, v)
			}
		}
		if len(p.vacancies) < t.Shape.Workers {
			continue
		}
		slices.SortStableFunc(p.vacancies, func(x, y vacancy) int {
			return cmp.Or(x.from.Add(x.risk).Compare(y.from.Add(y.risk)), x.from.Compare(y.from))
		})
		last := p.vacancies[t.Shape.Workers-1].from
		if best != nil && !last.Before(at) {
			continue
		}
		at = last
		best = best[:0]
		for _, v := range p.vacancies[:t.Shape.Workers] {
			best = append(best, v.share)
		}
	}
	return best, at
}

// vacancyOn returns when a worker is expected to have the capacity for a member
// free. It returns false if the worker must not be used or is too small.
func (p *policy) vacancyOn(t *jobEntry, w *worker) (vacancy, bool) {
	n := needOf(t.Shape)
	if !w.usable() || t.avoids(p.now, w) || w.reservation != nil && w.reservation != t.reservation ||
		w.Accelerators < n.accelerators || !n.amount.within(w.capacity()) {
		return vacancy{}, false
	}
	busy, used := w.busy|w.held, w.busyAmount.plus(w.heldAmount)
	p.endings = append(append(p.endings[:0], w.jobs...), w.pending...)
	for i := range p.endings {
		p.endings[i].endEstimate = p.endings[i].expectedEnd(p.now)
	}
	slices.SortStableFunc(p.endings, func(x, y jobShare) int { return x.endEstimate.Compare(y.endEstimate) })
	at := p.now
	for i := 0; ; i++ {
		mask, _, ok := alignedGroup(busy, w.Accelerators, n.accelerators)
		if ok && used.plus(n.amount).within(w.capacity()) {
			return vacancy{share: share{worker: w, mask: mask, amount: n.amount}, from: at, risk: p.claimRisk(t, w, mask)}, true
		}
		if i == len(p.endings) {
			return vacancy{}, false
		}
		at = p.endings[i].endEstimate
		busy, used = busy&^p.endings[i].mask, used.minus(p.endings[i].amount)
	}
}

// claimRisk returns by how much later a place counts as free because of the
// guarantees of other accounts that are bound to it: they may be claimed before a
// reserved job starts there.
func (p *policy) claimRisk(t *jobEntry, w *worker, mask floor.Accelerators) time.Duration {
	risk := time.Duration(0)
	for _, g := range w.guarantees {
		if g.tenant != t.tenant && g.acceleratorsOn(w)&mask != 0 {
			risk += riskPerGuarantee
		}
	}
	return risk
}
