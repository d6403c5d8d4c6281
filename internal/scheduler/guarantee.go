package scheduler

import (
	"slices"

	"github.com/lovageroad/lovageroad/internal/floor"
)

type (
	// guarantee is one guaranteed shape of an account and the capacity that is
	// bound to it. Several small jobs of the account may share it.
	guarantee struct {
		tenant   *tenant
		shape    floor.Shape
		segments []segment
		// jobs run on the guarantee or are pending there. backed is a job that
		// runs elsewhere on its behalf while it is unused.
		jobs   []*jobEntry
		backed *jobEntry
	}

	// segment is the part of a guarantee on one worker. The worker of its share
	// is nil while no worker is bound, which puts the guarantee at risk.
	segment struct {
		share share
		// used and usedAmount are what jobs of the guarantee use of the segment.
		used       floor.Accelerators
		usedAmount amount
		jobs       int
	}

	// offer is a possible place for a job on a guarantee. totalCost is the
	// work lost to evictions there, plus the avoidanceCost of each share;
	// freeAround measures how loosely the workers are packed.
	offer struct {
		guarantee  *guarantee
		segments   []int
		shares     []share
		totalCost  int
		freeAround int
	}
)

func newGuarantee(t *tenant, shape floor.Shape) *guarantee {
	return &guarantee{tenant: t, shape: shape, segments: make([]segment, max(1, shape.Workers))}
}

// need returns what the guarantee takes of each worker. Cores and memory that the
// account did not name are proportional to the accelerators.
func (g *guarantee) need() need {
	n := needOf(g.shape)
	n.proportional = true
	if n.accelerators == 0 {
		n.amount.cores = max(1, n.amount.cores)
	}
	return n
}

// fullyBound reports whether all segments are bound to workers. Otherwise the
// guarantee is at risk.
func (g *guarantee) fullyBound() bool {
	for i := range g.segments {
		if g.segments[i].share.worker == nil {
			return false
		}
	}
	return true
}

// size returns the accelerators of the guarantee, or its workers if it has none.
func (g *guarantee) size() int {
	return len(g.segments) * max(1, g.shape.Accelerators)
}

// accepts reports whether the guarantee has the workers and accelerators for a
// job, and its adjacency is at least as narrow as the job's. One with
// accelerators accepts a job without only if that is urgent.
func (g *guarantee) accepts(t *jobEntry) bool {
	if t.Shape.Accelerators == 0 && g.shape.Accelerators > 0 && !t.urgent {
		return false
	}
	return t.Shape.Workers <= len(g.segments) && t.Shape.Accelerators <= g.shape.Accelerators &&
		(t.Shape.Workers == 1 || width(g.shape.Adjacency) <= width(t.Shape.Adjacency))
}

// bind binds segment i to a share of a worker.
func (g *guarantee) bind(i int, s share) {
	w := s.worker
	g.segments[i].share = s
	w.bound |= s.mask
	w.boundAmount = w.boundAmount.plus(s.amount)
	w.guarantees = append(w.guarantees, g)
	s.countGuaranteedDraw(1)
}

// unbind releases the worker of segment i.
func (g *guarantee) unbind(i int) {
	s := g.segments[i].share
	if s.worker == nil {
		return
	}
	g.segments[i].share = share{}
	s.worker.bound &^= s.mask
	s.worker.boundAmount = s.worker.boundAmount.minus(s.amount)
	s.worker.guarantees = without(s.worker.guarantees, g)
	s.countGuaranteedDraw(-1)
}

// unbindAll releases all workers and returns the shares for bindAll.
func (g *guarantee) unbindAll() []share {
	shares := make([]share, len(g.segments))
	for i := range g.segments {
		shares[i] = g.segments[i].share
		g.unbind(i)
	}
	return shares
}

func (g *guarantee) bindAll(shares []share) {
	for i, s := range shares {
		if s.worker != nil {
			g.bind(i, s)
		}
	}
}

// joinGuarantee assigns the segments of a guarantee, by rank, to a job.
func (p *policy) joinGuarantee(t *jobEntry, g *guarantee, segments []int, shares []share) {
	t.releaseBacking()
	t.guarantee, t.segments, t.shares = g, segments, shares
	g.jobs = append(g.jobs, t)
	for rank, i := range segments {
		g.segments[i].used |= shares[rank].mask
		g.segments[i].usedAmount = g.segments[i].usedAmount.plus(shares[rank].amount)
		g.segments[i].jobs++
	}
	p.changes++
}

// leaveGuarantee returns the segments of a job to its guarantee. Segments on
// workers that are no longer usable are unbound once no job is left there.
func (p *policy) leaveGuarantee(t *jobEntry) {
	t.releaseBacking()
	g := t.guarantee
	if g == nil {
		return
	}
	for rank, i := range t.segments {
		g.segments[i].used &^= t.shares[rank].mask
		g.segments[i].usedAmount = g.segments[i].usedAmount.minus(t.shares[rank].amount)
		g.segments[i].jobs--
		if w := g.segments[i].share.worker; g.segments[i].jobs == 0 && w != nil && !w.usable() {
			g.unbind(i)
			p.rebindDue = true
		}
	}
	g.jobs = without(g.jobs, t)
	t.guarantee, t.segments = nil, nil
	g.tenant.claimsDue = true
	p.rebindDue = p.rebindDue || p.atRisk() > 0
	p.changes++
}

// demote turns a running guaranteed job into a borrower; a pending one goes back
// to its queue.
func (p *policy) demote(t *jobEntry) {
	if t.state == statePending {
		p.requeuePending(t)
		return
	}
	p.leaveGuarantee(t)
}

// placeInGuarantee returns the cheapest place for a job on what other jobs
// leave of a guarantee.
func (p *policy) placeInGuarantee(t *jobEntry, g *guarantee) (offer, bool) {
	o := offer{guarantee: g}
	if !g.hasCapacity() || !g.accepts(t) || len(g.jobs) > 0 && !g.hasAcceleratorsFor(t) {
		return o, false
	}
	needed := needOf(t.Shape)
	p.candidates = p.candidates[:0]
	for i := range g.segments {
		s, ok := p.fitInSegment(t, &g.segments[i], needed)
		if ok {
			p.candidates = append(p.candidates, candidate{share: s, segment: i, cost: p.evictionLoss(t, s, true) + s.avoidanceCost()})
		}
	}
	if len(p.candidates) < t.Shape.Workers {
		return o, false
	}
	slices.SortStableFunc(p.candidates, func(x, y candidate) int { return x.cost - y.cost })
	for _, k := range p.candidates[:t.Shape.Workers] {
		o.segments = append(o.segments, k.segment)
		o.shares = append(o.shares, k.share)
		o.totalCost += k.cost
		o.freeAround += k.share.freeAround()
	}
	return o, o.totalCost < forbidden
}

// freeAround returns the number of accelerators on the worker that are not busy,
// or 0 if the share covers the whole worker. The lower it is, the less a start
// there fragments the region.
func (s share) freeAround() int {
	w := s.worker
	if w.Accelerators == s.mask.Count() {
		return 0
	}
	return w.Accelerators - w.busy.Count()
}

// avoidanceCost is the penalty for a share that is reserved, or on a worker where
// jobs failed.
func (s share) avoidanceCost() int {
	cost := 0
	if s.mask&s.worker.reserved != 0 {
		cost++
	}
	if s.worker.probation || len(s.worker.failedJobs) > 0 {
		cost++
	}
	return cost
}

// hasCapacity reports whether anything of the guarantee is left for a job.
func (g *guarantee) hasCapacity() bool {
	if len(g.jobs) == 0 {
		return true
	}
	for i := range g.segments {
		s := &g.segments[i]
		if s.used != s.share.mask || s.share.mask == 0 && s.usedAmount.slots < s.share.amount.slots {
			return true
		}
	}
	return false
}

// hasAcceleratorsFor reports whether enough segments have the accelerators left
// that a job needs.
func (g *guarantee) hasAcceleratorsFor(t *jobEntry) bool {
	enough := 0
	for i := range g.segments {
		if g.shape.Accelerators-g.segments[i].used.Count() >= t.Shape.Accelerators {
			enough++
		}
	}
	return enough >= t.Shape.Workers
}

// fitInSegment returns a share of a segment for one member of a job, on idle
// accelerators if possible.
func (p *policy) fitInSegment(t *jobEntry, s *segment, needed need) (share, bool) {
	w := s.share.worker
	if w == nil || !w.usable() || t.avoids(p.now, w) {
		return share{}, false
	}
	if !s.usedAmount.plus(needed.amount).within(s.share.amount) {
		return share{}, false
	}
	unavailable := ^(s.share.mask &^ s.used)
	mask, _, ok := alignedGroup(unavailable|w.busy|w.held, w.Accelerators, needed.accelerators)
	if !ok {
		mask, _, ok = alignedGroup(unavailable, w.Accelerators, needed.accelerators)
	}
	return share{worker: w, mask: mask, amount: needed.amount}, ok
}

// acceleratorsOn returns the accelerators of a worker that the guarantee is bound
// to.
func (g *guarantee) acceleratorsOn(w *worker) floor.Accelerators {
	for i := range g.segments {
		if g.segments[i].share.worker == w {
			return g.segments[i].share.mask
		}
	}
	return 0
}

// amountOn returns the cores, memory and slots of a worker that the guarantee
// is bound to.
func (g *guarantee) amountOn(w *worker) amount {
	for i := range g.segments {
		if g.segments[i].share.worker == w {
			return g.segments[i].share.amount
		}
	}
	return amount{}
}
