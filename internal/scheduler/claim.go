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
		p.shrink(t)
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
	if len(best.cell.seats) > t.Shape.Workers && (p.borrow(t) || p.visit(t, best.cell)) {
		return true
	}
	p.enter(t, best.cell, best.seats, best.shares)
	grace := p.config.Grace
	if t.urgent {
		grace = p.config.UrgentGrace
	}
	p.settle(t, grace)
	return true
}

// borrow starts a task on a free place, so that a cell for larger jobs stays
// whole. Should the task have to leave, it claims the cell.
func (p *policy) borrow(t *task) bool {
	shares := p.place(t, viewFree)
	if shares == nil {
		return false
	}
	t.shares = shares
	p.dequeue(t)
	p.fillHole(t)
	p.start(t)
	return true
}

// visit gives a task the place of borrowers, so that a cell for larger jobs, on
// whose strength it asks, stays whole. A cell has one guest at a time.
func (p *policy) visit(t *task, c *cell) bool {
	if c.guest != nil || len(c.tasks) > 0 {
		return false
	}
	q := p.query(t, viewFirm)
	shares := p.find(q)
	if shares == nil {
		return false
	}
	c.guest, t.host = t, c
	t.shares = shares
	p.settle(t, p.config.Grace)
	return true
}

// part ends a visit.
func (t *task) part() {
	if t.host != nil {
		t.host.guest = nil
		t.host = nil
	}
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
	if _, ok := p.bindMoving(c, shares); !ok {
		c.bindAll(old)
		return false
	}
	return true
}

// bindMoving binds an unbound cell to the shares and what else it needs. Cells
// without tasks that stand there move; undo moves them back. It returns false and
// leaves all as it was if they cannot.
func (p *policy) bindMoving(c *cell, shares []share) (undo func(), ok bool) {
	displaced := p.displacedBy(shares)
	olds := make([][]share, len(displaced))
	for i, d := range displaced {
		olds[i] = d.unbindAll()
	}
	q := &query{view: viewUnbound}
	fits := true
	for i, s := range shares {
		fits = fits && s.amount.within(s.worker.capacity().minus(s.worker.boundAmount)) && q.affordable(s)
		c.bind(i, s)
	}
	fits = fits && p.complete(c, bindPack)
	for _, d := range displaced {
		if !fits {
			break
		}
		found := p.find(d.query(bindPack))
		if fits = found != nil; fits {
			d.bindAll(found)
		}
	}
	undo = func() {
		c.unbindAll()
		for _, d := range displaced {
			d.unbindAll()
		}
		for i, d := range displaced {
			d.bindAll(olds[i])
		}
	}
	if !fits {
		undo()
	}
	return undo, fits
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

// shrink moves jobs that run alone on a cell to a smaller cell of the account,
// by exchanging what the cells stand on.
func (p *policy) shrink(t *tenant) {
	smallest := t.cells[0].size()
	for i := len(t.cells) - 1; i > 0; i-- {
		c := t.cells[i]
		if c.size() == smallest {
			return
		}
		if len(c.tasks) != 1 || !c.tasks[0].active() {
			continue
		}
		for _, d := range t.cells[:i] {
			if d.size() < c.size() && len(d.tasks) == 0 && d.admits(c.tasks[0]) && p.transfer(c.tasks[0], c, d) {
				break
			}
		}
	}
}

// transfer moves a running job from one cell to another where it stands.
func (p *policy) transfer(t *task, from, to *cell) bool {
	for i := range from.seats {
		if w := from.seats[i].share.worker; w == nil || !w.usable() {
			return false
		}
	}
	seats := t.seats
	p.leaveCell(t)
	oldFrom, oldTo := from.unbindAll(), to.unbindAll()
	undo, ok := p.bindOver(t, to)
	if ok && p.join(t, to) && p.fill(from, bindPack) {
		return true
	}
	p.leaveCell(t)
	if ok {
		undo()
	}
	to.unbindAll()
	from.unbindAll()
	from.bindAll(oldFrom)
	to.bindAll(oldTo)
	p.enter(t, from, seats, t.shares)
	return false
}
