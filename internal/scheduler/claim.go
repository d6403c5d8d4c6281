package scheduler

import (
	"cmp"
	"slices"
)

// claimAll starts waiting work on its account's guarantees. Then borrowers of
// the account take what is left of them.
func (p *policy) claimAll() {
	for _, t := range p.tenants {
		if !t.dirty {
			continue
		}
		t.dirty = len(t.cells) > 0 && p.recovering()
		if len(t.cells) == 0 {
			continue
		}
		p.claimLanes(t)
		p.adopt(t)
	}
}

func (p *policy) claimLanes(t *tenant) {
	lanes := slices.Clone(t.lanes)
	slices.SortStableFunc(lanes, func(x, y *lane) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(y.ratio(p.now), x.ratio(p.now)))
	})
	for _, l := range lanes {
		for l.len() > 0 && p.claim(l.head()) {
			continue
		}
	}
}

// claim gives a task a place in a cell of its account. It returns false if no
// cell has room.
func (p *policy) claim(t *task) bool {
	best, ok := p.bestOffer(t)
	if !ok || best.loss > 0 && p.recovering() {
		return false
	}
	if best.from != nil {
		exchange(best.cell, best.from)
		best.from.tenant.dirty = true
	}
	p.enter(t, best.cell, best.seats, best.shares)
	grace := p.config.Grace
	if t.urgent {
		grace = p.config.UrgentGrace
	}
	p.settle(t, grace)
	return true
}

// bestOffer returns the place in the account's cells that costs the least. A
// cell without tasks may change its place first.
func (p *policy) bestOffer(t *task) (offer, bool) {
	best, spare, ok := p.offers(t)
	if !ok || best.loss == 0 || spare == nil {
		return best, ok
	}
	if p.move(spare) {
		best, spare, ok = p.offers(t)
	}
	if !ok || best.loss == 0 || spare == nil {
		return best, ok
	}
	return p.swapped(t, spare, best), true
}

// offers returns the best place in the account's cells as they stand, and the
// smallest fitting cell without tasks.
func (p *policy) offers(t *task) (best offer, spare *cell, found bool) {
	for _, c := range t.tenant.cells {
		o, ok := p.carve(t, c)
		if !ok {
			continue
		}
		if !found || better(o, best) {
			best, found = o, true
		}
		if len(c.tasks) == 0 && (spare == nil || c.size() < spare.size()) {
			spare = c
		}
	}
	return best, spare, found
}

// better prefers the smallest cell, then the least loss, then a cell in use.
func better(x, y offer) bool {
	used := func(o offer) int { return min(1, len(o.cell.tasks)) }
	return cmp.Or(
		cmp.Compare(x.cell.size(), y.cell.size()),
		cmp.Compare(x.loss, y.loss),
		cmp.Compare(used(y), used(x)),
	) < 0
}

// move binds a cell without tasks to a place where nothing runs.
func (p *policy) move(c *cell) bool {
	q := c.query(bindPack)
	q.idle = true
	shares := p.find(q)
	if shares == nil {
		return false
	}
	c.unbindAll()
	c.bindAll(shares)
	return true
}

// swapped returns an offer on the place of another account's cell of the same
// shape, without tasks, if less is lost there.
func (p *policy) swapped(t *task, own *cell, best offer) offer {
	for _, c := range p.cells {
		if best.loss == 0 {
			return best
		}
		if c.shape != own.shape || len(c.tasks) > 0 || c.tenant == own.tenant || !c.whole() {
			continue
		}
		o, ok := p.carve(t, c)
		if ok && o.loss < best.loss {
			best = o
			best.cell, best.from = own, c
		}
	}
	return best
}

// exchange swaps the places of two cells without tasks.
func exchange(x, y *cell) {
	for i := range x.seats {
		x.seats[i].share, y.seats[i].share = y.seats[i].share, x.seats[i].share
		x.seats[i].share.swapCell(y, x)
		y.seats[i].share.swapCell(x, y)
	}
}

func (s share) swapCell(from, to *cell) {
	s.worker.cells = without(s.worker.cells, from)
	s.worker.cells = append(s.worker.cells, to)
}
