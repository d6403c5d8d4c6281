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
	if p.relocate(spare, best.loss) {
		best, _, ok = p.offers(t)
	}
	return best, ok
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

// relocate binds a cell without tasks where less than the given loss is lost.
// Other cells without tasks make room for it, if they can stand elsewhere.
func (p *policy) relocate(c *cell, loss int) bool {
	old := c.unbindAll()
	q := c.query(bindPack)
	q.view = viewFirm
	shares := p.find(q)
	if shares == nil || p.lossOf(shares) >= loss {
		c.bindAll(old)
		return false
	}
	displaced := p.displacedBy(shares)
	olds := make([][]share, len(displaced))
	for i, d := range displaced {
		olds[i] = d.unbindAll()
	}
	c.bindAll(shares)
	for _, d := range displaced {
		found := p.find(d.query(bindPack))
		if found == nil {
			p.rollBack(c, old, displaced, olds)
			return false
		}
		d.bindAll(found)
	}
	return true
}

func (p *policy) rollBack(c *cell, old []share, displaced []*cell, olds [][]share) {
	c.unbindAll()
	for _, d := range displaced {
		d.unbindAll()
	}
	c.bindAll(old)
	for i, d := range displaced {
		d.bindAll(olds[i])
	}
}

func (p *policy) lossOf(shares []share) int {
	total := 0
	for _, s := range shares {
		total += p.loss(nil, s, true)
	}
	return total
}

// displacedBy returns the cells without tasks on whose place the shares are, the
// largest first.
func (p *policy) displacedBy(shares []share) []*cell {
	var displaced []*cell
	for _, s := range shares {
		free := s.worker.capacity().minus(s.worker.boundAmount)
		for _, c := range s.worker.cells {
			if len(c.tasks) > 0 || slices.Contains(displaced, c) {
				continue
			}
			if c.maskOn(s.worker)&s.mask != 0 || !s.amount.within(free) {
				displaced = append(displaced, c)
				free = free.plus(c.on(s.worker))
			}
		}
	}
	slices.SortStableFunc(displaced, packOrder)
	return displaced
}
