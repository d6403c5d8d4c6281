package scheduler

import (
	"cmp"
	"slices"
)

// claimAll starts waiting jobs on the guarantees of their accounts. Running
// borrowers of the account are then promoted on what is left.
func (p *policy) claimAll() {
	for _, t := range p.tenants {
		if !t.claimsDue {
			continue
		}
		t.claimsDue = len(t.guarantees) > 0 && p.recovering()
		if len(t.guarantees) == 0 {
			continue
		}
		p.moveToSmaller(t)
		p.claimLanes(t)
		p.promoteBorrowers(t)
	}
}

// claimLanes lets the waiting jobs of an account claim its guarantees, by the
// order of classes and then by waitRatio.
func (p *policy) claimLanes(t *tenant) {
	lanes := slices.Clone(t.lanes)
	slices.SortStableFunc(lanes, func(x, y *lane) int {
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(y.waitRatio(p.now), x.waitRatio(p.now)))
	})
	for _, l := range lanes {
		for l.len() > 0 && p.claim(l.head()) {
			continue
		}
	}
}

// claim gives a job a place on a guarantee of its account. It returns false if
// none has the capacity left, or if jobs would have to be evicted while
// placements are still being restored.
func (p *policy) claim(t *jobEntry) bool {
	best, ok := p.bestOffer(t)
	if !ok || best.totalCost > 0 && p.recovering() {
		return false
	}
	if len(best.guarantee.segments) > t.Shape.Workers && (p.borrow(t) || p.startOutside(t, best.guarantee)) {
		return true
	}
	p.joinGuarantee(t, best.guarantee, best.segments, best.shares)
	grace := p.config.Grace
	if t.urgent {
		grace = p.config.UrgentGrace
	}
	p.startOrHold(t, grace)
	return true
}

// borrow starts a job on a free place. A job for which only a guarantee of more
// workers is left tries this first, so that the guarantee stays whole for larger
// jobs; if it is evicted it can still claim the guarantee.
func (p *policy) borrow(t *jobEntry) bool {
	shares := p.place(t, viewFree)
	if shares == nil {
		return false
	}
	t.shares = shares
	p.dequeue(t)
	p.markBackfill(t)
	p.start(t)
	return true
}

// startOutside gives a job the place of borrowers on behalf of an unused
// guarantee of more workers, which thereby stays whole for larger jobs. A
// guarantee backs one such job at a time.
func (p *policy) startOutside(t *jobEntry, g *guarantee) bool {
	if g.backed != nil || len(g.jobs) > 0 {
		return false
	}
	q := p.query(t, viewUnclaimed)
	shares := p.find(q)
	if shares == nil {
		return false
	}
	g.backed, t.backing = t, g
	t.shares = shares
	p.startOrHold(t, p.config.Grace)
	return true
}

// releaseBacking ends the backing of the job, so that its guarantee can back
// another job.
func (t *jobEntry) releaseBacking() {
	if t.backing != nil {
		t.backing.backed = nil
		t.backing = nil
	}
}

// bestOffer returns the cheapest place on the guarantees of the account. If jobs
// would have to be evicted there, the smallest suitable unused guarantee is first
// bound elsewhere if that costs less.
func (p *policy) bestOffer(t *jobEntry) (offer, bool) {
	best, smallestUnused, ok := p.offers(t)
	if ok && best.totalCost == 0 {
		return p.exchangeForTighter(t, best), true
	}
	if !ok || smallestUnused == nil {
		return best, ok
	}
	if p.moveToIdle(smallestUnused) {
		best, smallestUnused, ok = p.offers(t)
	}
	if !ok || best.totalCost == 0 || smallestUnused == nil {
		return best, ok
	}
	if p.relocate(smallestUnused, best.totalCost) {
		best, _, ok = p.offers(t)
	}
	return best, ok
}

// exchangeForTighter exchanges the capacity of an unused guarantee of one
// worker with that of an unused one of the same shape, of any account, if a
// start there fragments the region less.
func (p *policy) exchangeForTighter(t *jobEntry, best offer) offer {
	own := best.guarantee
	if len(own.segments) > 1 || len(own.jobs) > 0 || best.freeAround == 0 {
		return best
	}
	var other *guarantee
	leastFree := best.freeAround
	for _, g := range p.guarantees {
		if g.shape != own.shape || len(g.jobs) > 0 || g.segments[0].share.worker == nil {
			continue
		}
		if s := g.segments[0].share; s.freeAround() < leastFree && s.available() && s.worker.reserved&s.mask == 0 && !t.avoids(p.now, s.worker) {
			other, leastFree = g, s.freeAround()
		}
	}
	if other == nil || other == own {
		return best
	}
	ownShares, otherShares := own.unbindAll(), other.unbindAll()
	own.bindAll(otherShares)
	other.bindAll(ownShares)
	if o, ok := p.placeInGuarantee(t, own); ok && o.totalCost == 0 {
		return o
	}
	own.unbindAll()
	other.unbindAll()
	own.bindAll(ownShares)
	other.bindAll(otherShares)
	return best
}

// offers returns the best place on the account's guarantees as they are bound
// now, and the smallest suitable unused guarantee.
func (p *policy) offers(t *jobEntry) (best offer, smallestUnused *guarantee, found bool) {
	for _, g := range t.tenant.guarantees {
		o, ok := p.placeInGuarantee(t, g)
		if !ok {
			continue
		}
		if !found || betterOffer(o, best) {
			best, found = o, true
		}
		if len(g.jobs) == 0 && (smallestUnused == nil || g.size() < smallestUnused.size()) {
			smallestUnused = g
		}
	}
	return best, smallestUnused, found
}

// betterOffer reports whether x is better than y: the smaller guarantee, then
// the lower cost, then a guarantee in use, then tighter packing.
func betterOffer(x, y offer) bool {
	used := func(o offer) int { return min(1, len(o.guarantee.jobs)) }
	return cmp.Or(
		cmp.Compare(x.guarantee.size(), y.guarantee.size()),
		cmp.Compare(x.totalCost, y.totalCost),
		cmp.Compare(used(y), used(x)),
		cmp.Compare(x.freeAround, y.freeAround),
	) < 0
}

// moveToIdle binds an unused guarantee to a place where nothing runs.
func (p *policy) moveToIdle(g *guarantee) bool {
	q := g.query(bindPackWeight)
	q.idleOnly = true
	shares := p.find(q)
	if shares == nil {
		return false
	}
	g.unbindAll()
	g.bindAll(shares)
	return true
}

// relocate binds an unused guarantee to a place where less than the given loss is
// evicted. Other unused guarantees there are moved if they fit elsewhere.
func (p *policy) relocate(g *guarantee, loss int) bool {
	old := g.unbindAll()
	q := g.query(bindPackWeight)
	q.view = viewUnclaimed
	shares := p.find(q)
	if shares == nil || p.lossOf(shares) >= loss {
		g.bindAll(old)
		return false
	}
	if _, ok := p.bindDisplacing(g, shares); !ok {
		g.bindAll(old)
		return false
	}
	return true
}

// bindDisplacing binds an unbound guarantee to the shares and completes it.
// Unused guarantees in the way are bound elsewhere; undo reverses all that. It
// returns false and leaves all as it was if it is not possible.
func (p *policy) bindDisplacing(g *guarantee, shares []share) (undo func(), ok bool) {
	displaced := p.displacedBy(shares)
	oldShares := make([][]share, len(displaced))
	for i, d := range displaced {
		oldShares[i] = d.unbindAll()
	}
	q := &query{view: viewUnbound}
	fits := true
	for i, s := range shares {
		fits = fits && s.amount.within(s.worker.capacity().minus(s.worker.boundAmount)) && q.affordable(s)
		g.bind(i, s)
	}
	fits = fits && p.complete(g, bindPackWeight)
	for _, d := range displaced {
		if !fits {
			break
		}
		found := p.find(d.query(bindPackWeight))
		if fits = found != nil; fits {
			d.bindAll(found)
		}
	}
	undo = func() {
		g.unbindAll()
		for _, d := range displaced {
			d.unbindAll()
		}
		for i, d := range displaced {
			d.bindAll(oldShares[i])
		}
	}
	if !fits {
		undo()
	}
	return undo, fits
}

// lossOf returns the work lost if all jobs on the shares are evicted.
func (p *policy) lossOf(shares []share) int {
	total := 0
	for _, s := range shares {
		total += p.evictionLoss(nil, s, true)
	}
	return total
}

// displacedBy returns the unused guarantees that are in the way of the shares, in
// packing order.
func (p *policy) displacedBy(shares []share) []*guarantee {
	var displaced []*guarantee
	for _, s := range shares {
		free := s.worker.capacity().minus(s.worker.boundAmount)
		for _, g := range s.worker.guarantees {
			if len(g.jobs) > 0 || slices.Contains(displaced, g) {
				continue
			}
			if g.acceleratorsOn(s.worker)&s.mask != 0 || !s.amount.within(free) {
				displaced = append(displaced, g)
				free = free.plus(g.amountOn(s.worker))
			}
		}
	}
	slices.SortStableFunc(displaced, packOrder)
	return displaced
}

// moveToSmaller moves running jobs that are alone on a guarantee to a smaller
// unused one of the account, where the guarantees can exchange what they are
// bound to. The job itself stays where it runs.
func (p *policy) moveToSmaller(t *tenant) {
	smallest := t.guarantees[0].size()
	for i := len(t.guarantees) - 1; i > 0; i-- {
		g := t.guarantees[i]
		if g.size() == smallest {
			return
		}
		if len(g.jobs) != 1 || !g.jobs[0].active() {
			continue
		}
		for _, smaller := range t.guarantees[:i] {
			if smaller.size() < g.size() && len(smaller.jobs) == 0 && smaller.accepts(g.jobs[0]) && p.transfer(g.jobs[0], g, smaller) {
				break
			}
		}
	}
}

// transfer assigns a running job to another guarantee, without moving the job.
// It returns false and leaves all as it was if that is not possible.
func (p *policy) transfer(t *jobEntry, from, to *guarantee) bool {
	for i := range from.segments {
		if w := from.segments[i].share.worker; w == nil || !w.usable() {
			return false
		}
	}
	segments := t.segments
	p.leaveGuarantee(t)
	oldFrom, oldTo := from.unbindAll(), to.unbindAll()
	undo, ok := p.bindAround(t, to)
	if ok && p.joinInPlace(t, to) && p.bindMissing(from, bindPackWeight) {
		return true
	}
	p.leaveGuarantee(t)
	if ok {
		undo()
	}
	to.unbindAll()
	from.unbindAll()
	from.bindAll(oldFrom)
	to.bindAll(oldTo)
	p.joinGuarantee(t, from, segments, t.shares)
	return false
}
