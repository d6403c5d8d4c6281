package scheduler

import (
	"math/bits"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
)

const (
	// viewFree allows capacity that is neither in use nor held. Standby
	// capacity is for urgent jobs only. Capacity that is reserved for another
	// job is allowed if this one most likely ends before the reservation
	// starts.
	viewFree view = iota

	// viewUnbound allows capacity that is not bound to a guarantee, whoever uses
	// it.
	viewUnbound

	// viewReclaim allows what is free or can be had by evicting jobs for the
	// query's job, including standby and reserved capacity.
	viewReclaim

	// viewUnclaimed allows capacity that no guarantee in use is bound to, whoever
	// uses it.
	viewUnclaimed
)

type (
	// view says which capacity a search may use.
	view int

	// need is what one member of a job, or one segment of a guarantee, takes of
	// a worker. If it is proportional, cores, memory and slots that are not named
	// are in proportion to the accelerators.
	need struct {
		accelerators int
		amount       amount
		proportional bool
	}

	// query is a search for a place. until is the time by which the job has most
	// likely ended: capacity that is reserved for another job from an earlier
	// time is not used, unless until is zero. An idleOnly search takes only idle
	// accelerators; one with ignoreJobs does not count the cost of evictions.
	query struct {
		view             view
		need             need
		workers          int
		adjacency        floor.Adjacency
		until            time.Time
		reservation      *reservation
		job              *jobEntry
		idleOnly         bool
		ignoreJobs       bool
		packWeight       int
		completionWeight int
	}

	// candidate is a share that could hold a member, and its cost. segment is
	// set for shares of a guarantee only.
	candidate struct {
		segment int
		share   share
		cost    int
	}
)

func needOf(shape floor.Shape) need {
	return need{
		accelerators: shape.Accelerators,
		amount:       amount{cores: shape.Cores, memory: shape.Memory, slots: 1},
	}
}

// on returns what a member takes of the worker besides accelerators.
func (n need) on(w *worker) amount {
	a := n.amount
	if !n.proportional || n.accelerators == 0 || w.Accelerators == 0 {
		return a
	}
	if a.cores == 0 {
		a.cores = w.Cores * n.accelerators / w.Accelerators
	}
	if a.memory == 0 {
		a.memory = w.Memory * floor.MiB(n.accelerators) / floor.MiB(w.Accelerators)
	}
	a.slots = max(a.slots, w.Slots*n.accelerators/w.Accelerators)
	return a
}

// find returns the cheapest place for a query, by rank, or nil if there is none.
func (p *policy) find(q *query) []share {
	if q.workers == 1 {
		return p.findOne(q)
	}
	var best []share
	lowest := 0
	for _, d := range p.floor.domains(q.adjacency) {
		shares, cost := p.findIn(q, d.workers, nil)
		if shares != nil && (best == nil || cost < lowest) {
			best, lowest = shares, cost
		}
	}
	return best
}

// findOne is find for a single worker.
func (p *policy) findOne(q *query) []share {
	var best candidate
	for _, w := range p.floor.workers {
		c, ok := p.fitOn(q, w)
		if ok && (best.share.worker == nil || c.cost < best.cost) {
			best = c
		}
	}
	if best.share.worker == nil {
		return nil
	}
	return []share{best.share}
}

// findIn returns the cheapest place among the workers, and its cost. The place
// begins with the fixed shares; only the rest is searched for.
func (p *policy) findIn(q *query, workers []*worker, fixed []share) ([]share, int) {
	if len(workers) < q.workers {
		return nil, 0
	}
	p.candidates = p.candidates[:0]
	for _, w := range workers {
		if slices.ContainsFunc(fixed, func(s share) bool { return s.worker == w }) {
			continue
		}
		if c, ok := p.fitOn(q, w); ok {
			p.candidates = append(p.candidates, c)
		}
	}
	missing := q.workers - len(fixed)
	if len(p.candidates) < missing {
		return nil, 0
	}
	slices.SortStableFunc(p.candidates, func(x, y candidate) int { return x.cost - y.cost })
	return p.pickAffordable(q, missing, fixed)
}

// pickAffordable takes the cheapest candidates that together stay within the
// cooling budgets. Of two equally cheap places, the one with fewer candidates
// left over costs less.
func (p *policy) pickAffordable(q *query, missing int, fixed []share) ([]share, int) {
	shares := make([]share, 0, q.workers)
	shares = append(shares, fixed...)
	cost := len(p.candidates) - missing
	taken := 0
	for _, c := range p.candidates {
		if taken == missing {
			break
		}
		if !q.affordable(c.share) {
			continue
		}
		c.share.countTrialDraw(1)
		shares = append(shares, c.share)
		cost += c.cost * len(p.candidates)
		taken++
	}
	for _, s := range shares[len(fixed):] {
		s.countTrialDraw(-1)
	}
	if taken < missing {
		return nil, 0
	}
	return shares, cost
}

// fitOn returns the place of one member on a worker, and false if there is none.
func (p *policy) fitOn(q *query, w *worker) (candidate, bool) {
	if !w.usable() || (w.probation && len(w.jobs)+len(w.pending) > 0 && !q.forGuarantee()) {
		return candidate{}, false
	}
	if q.job != nil && q.job.avoids(p.now, w) {
		return candidate{}, false
	}
	if q.view == viewFree && w.Accelerators-bits.OnesCount64(uint64(w.busy|w.held)) < q.need.accelerators {
		return candidate{}, false
	}
	busy, used := p.occupied(q, w)
	wanted := q.need.on(w)
	if !used.plus(wanted).within(w.capacity()) {
		return candidate{}, false
	}
	mask, excess, ok := p.groupOn(q, w, busy)
	if !ok {
		return candidate{}, false
	}
	c := candidate{share: share{worker: w, mask: mask, amount: wanted}}
	if !q.affordable(c.share) {
		return candidate{}, false
	}
	c.cost = p.cost(q, c.share, excess)
	return c, c.cost < forbidden
}

// groupOn chooses accelerators on a worker: idle ones, or else those whose jobs
// cost the least to evict.
func (p *policy) groupOn(q *query, w *worker, busy floor.Accelerators) (floor.Accelerators, int, bool) {
	if q.view == viewFree || q.ignoreJobs || q.need.accelerators == 0 {
		return alignedGroup(busy, w.Accelerators, q.need.accelerators)
	}
	mask, excess, ok := alignedGroup(busy|w.busy|w.held, w.Accelerators, q.need.accelerators)
	if ok || q.idleOnly {
		return mask, excess, ok
	}
	return p.cheapestGroup(q, w, busy)
}

// cheapestGroup returns the aligned accelerators whose jobs cost the least to
// evict.
func (p *policy) cheapestGroup(q *query, w *worker, busy floor.Accelerators) (floor.Accelerators, int, bool) {
	n := q.need.accelerators
	size := 1 << order(n)
	var best floor.Accelerators
	lowestLoss := forbidden
	for base := 0; base < w.Accelerators; base += size {
		free := span(base, size) & w.all() &^ busy
		if free.Count() < n {
			continue
		}
		idle := free &^ (w.busy | w.held)
		mask := lowest(idle, min(n, idle.Count()))
		mask |= lowest(free&^mask, n-mask.Count())
		if loss := p.evictionLoss(q.job, share{worker: w, mask: mask, amount: q.need.on(w)}, q.forGuarantee()); loss < lowestLoss {
			best, lowestLoss = mask, loss
		}
	}
	return best, 0, best != 0
}

// forGuarantee reports whether the place is for a guarantee.
func (q *query) forGuarantee() bool {
	return q.view == viewUnbound || q.view == viewUnclaimed
}

// occupied returns the part of a worker that the query may not use.
func (p *policy) occupied(q *query, w *worker) (floor.Accelerators, amount) {
	switch q.view {
	case viewUnbound:
		if q.idleOnly {
			return w.bound | w.busy | w.held, maxAmount(w.boundAmount, w.busyAmount.plus(w.heldAmount))
		}
		return w.bound, w.boundAmount
	case viewReclaim:
		return p.notReclaimable(q, w)
	case viewUnclaimed:
		return w.claimed()
	default:
		busy, used := w.busy|w.held, w.busyAmount.plus(w.heldAmount)
		if w.standbyAmount.slots > 0 && !q.urgent() {
			busy, used = busy|w.standby, used.plus(w.standbyAmount)
		}
		if w.reservation != nil && w.reservation != q.reservation && !q.until.IsZero() && q.until.After(w.reservation.startAt) {
			return busy | w.reserved, used.plus(w.reservedAmount)
		}
		return busy, used
	}
}

// notReclaimable returns what cannot be reclaimed on a worker for the query's
// job.
func (p *policy) notReclaimable(q *query, w *worker) (floor.Accelerators, amount) {
	busy, used := w.held, w.heldAmount
	for _, t := range w.jobs {
		if p.evictionCost(q.job, t.jobEntry, false) >= forbidden {
			busy |= t.mask
			used = used.plus(t.amount)
		}
	}
	return busy, used
}

// claimed returns what guarantees in use are bound to on the worker.
func (w *worker) claimed() (floor.Accelerators, amount) {
	var busy floor.Accelerators
	var used amount
	for _, g := range w.guarantees {
		if len(g.jobs) > 0 {
			busy |= g.acceleratorsOn(w)
			used = used.plus(g.amountOn(w))
		}
	}
	return busy, used
}

// maxAmount returns the larger of two amounts, field by field.
func maxAmount(a, b amount) amount {
	return amount{max(a.cores, b.cores), max(a.memory, b.memory), max(a.slots, b.slots)}
}

// cost returns the cost of a share; lower is better. It counts the work lost to
// evictions, fragmentation of workers and racks, for guarantees the use of
// reserved capacity, and for borrowers the use of bound capacity. Jobs that are
// not idempotent are placed with others of their kind, because they are evicted
// only if nothing else helps.
func (p *policy) cost(q *query, s share, excess int) int {
	w := s.worker
	cost := 0
	if q.view != viewFree && !q.ignoreJobs {
		cost += p.evictionLoss(q.job, s, q.forGuarantee())
	}
	if q.need.accelerators == 0 {
		return cost + w.freeCapacityCost()
	}
	cost += 2 * q.packWeight * excess
	if q.view == viewUnclaimed && s.mask&w.bound != 0 {
		cost += q.packWeight
	}
	if q.forGuarantee() {
		if s.mask&w.reserved != 0 {
			cost += 4 * q.packWeight
		}
		return cost
	}
	if w.idle() && w.Accelerators > q.need.accelerators {
		cost += 8 * q.packWeight
	}
	if w.rack.members == 0 && w.Accelerators > q.need.accelerators {
		cost += 4 * q.packWeight
	}
	if q.job != nil && !q.job.Idempotent && w.nonIdempotent == 0 {
		cost += 64 * q.packWeight
	}
	if s.mask&w.bound != 0 {
		cost += 2 * q.completionWeight
	}
	return cost
}

// freeCapacityCost is the cost of a job without accelerators: the free
// accelerators that it could keep others from using, and then the free slots.
func (w *worker) freeCapacityCost() int {
	free := w.Accelerators - w.busy.Count()
	return 64*free + min(63, w.Slots-w.busyAmount.slots)
}
