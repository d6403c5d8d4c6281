package scheduler

import (
	"slices"

	"github.com/lovageroad/lovageroad/internal/floor"
)

type (
	// cell is one guaranteed shape of an account, bound to a place on the floor.
	// Several small jobs may share it.
	cell struct {
		tenant *tenant
		shape  floor.Shape
		seats  []seat
		tasks  []*task
		guest  *task
	}

	// seat is the part of a cell on one worker. Its worker is nil while the
	// cell is at risk.
	seat struct {
		share share
		used  floor.Accelerators
		taken amount
		tasks int
	}

	// offer is a place for a task within a cell.
	offer struct {
		cell   *cell
		seats  []int
		shares []share
		loss   int
	}
)

func newCell(t *tenant, shape floor.Shape) *cell {
	return &cell{tenant: t, shape: shape, seats: make([]seat, max(1, shape.Workers))}
}

func (c *cell) need() need {
	n := needOf(c.shape)
	n.portion = true
	if n.accelerators == 0 {
		n.amount.cores = max(1, n.amount.cores)
	}
	return n
}

// whole reports whether all of the cell stands on workers that can be used.
func (c *cell) whole() bool {
	for i := range c.seats {
		if c.seats[i].share.worker == nil {
			return false
		}
	}
	return true
}

func (c *cell) size() int {
	return len(c.seats) * max(1, c.shape.Accelerators)
}

// admits reports whether the cell is large and narrow enough for a job.
func (c *cell) admits(t *task) bool {
	if t.Shape.Accelerators == 0 && c.shape.Accelerators > 0 && !t.urgent {
		return false
	}
	return t.Shape.Workers <= len(c.seats) && t.Shape.Accelerators <= c.shape.Accelerators &&
		(t.Shape.Workers == 1 || width(c.shape.Adjacency) <= width(t.Shape.Adjacency))
}

func (c *cell) bind(i int, s share) {
	w := s.worker
	c.seats[i].share = s
	w.bound |= s.mask
	w.boundAmount = w.boundAmount.plus(s.amount)
	w.cells = append(w.cells, c)
	s.setAside(1)
}

func (c *cell) unbind(i int) {
	s := c.seats[i].share
	if s.worker == nil {
		return
	}
	c.seats[i].share = share{}
	s.worker.bound &^= s.mask
	s.worker.boundAmount = s.worker.boundAmount.minus(s.amount)
	s.worker.cells = without(s.worker.cells, c)
	s.setAside(-1)
}

func (c *cell) unbindAll() []share {
	shares := make([]share, len(c.seats))
	for i := range c.seats {
		shares[i] = c.seats[i].share
		c.unbind(i)
	}
	return shares
}

func (c *cell) bindAll(shares []share) {
	for i, s := range shares {
		if s.worker != nil {
			c.bind(i, s)
		}
	}
}

// enter lets a task take the seats.
func (p *policy) enter(t *task, c *cell, seats []int, shares []share) {
	t.part()
	t.cell, t.seats, t.shares = c, seats, shares
	c.tasks = append(c.tasks, t)
	for rank, i := range seats {
		c.seats[i].used |= shares[rank].mask
		c.seats[i].taken = c.seats[i].taken.plus(shares[rank].amount)
		c.seats[i].tasks++
	}
	p.changes++
}

// leaveCell gives the seats of a task back.
func (p *policy) leaveCell(t *task) {
	t.part()
	c := t.cell
	if c == nil {
		return
	}
	for rank, i := range t.seats {
		c.seats[i].used &^= t.shares[rank].mask
		c.seats[i].taken = c.seats[i].taken.minus(t.shares[rank].amount)
		c.seats[i].tasks--
		if w := c.seats[i].share.worker; c.seats[i].tasks == 0 && w != nil && !w.usable() {
			c.unbind(i)
			p.broken = true
		}
	}
	c.tasks = without(c.tasks, t)
	t.cell, t.seats = nil, nil
	c.tenant.dirty = true
	p.broken = p.broken || p.atRisk() > 0
	p.changes++
}

// eject makes a task of a cell a borrower.
func (p *policy) eject(t *task) {
	if t.state == statePending {
		p.giveUp(t)
		return
	}
	p.leaveCell(t)
}

// carve returns a place for a task in what is not taken of the cell.
func (p *policy) carve(t *task, c *cell) (offer, bool) {
	o := offer{cell: c}
	if !c.open() || !c.admits(t) || len(c.tasks) > 0 && !c.hasRoom(t) {
		return o, false
	}
	needed := needOf(t.Shape)
	p.candidates = p.candidates[:0]
	for i := range c.seats {
		s, ok := p.carveSeat(t, &c.seats[i], needed)
		if ok {
			p.candidates = append(p.candidates, candidate{share: s, seat: i, cost: p.loss(t, s, true) + s.kept()})
		}
	}
	if len(p.candidates) < t.Shape.Workers {
		return o, false
	}
	slices.SortStableFunc(p.candidates, func(x, y candidate) int { return x.cost - y.cost })
	for _, k := range p.candidates[:t.Shape.Workers] {
		o.seats = append(o.seats, k.seat)
		o.shares = append(o.shares, k.share)
		o.loss += k.cost
	}
	return o, o.loss < forbidden
}

// kept is what it costs to take what is reserved.
func (s share) kept() int {
	if s.mask&s.worker.kept != 0 {
		return 1
	}
	return 0
}

// open reports whether anything of the cell is left for a task.
func (c *cell) open() bool {
	if len(c.tasks) == 0 {
		return true
	}
	for i := range c.seats {
		s := &c.seats[i]
		if s.used != s.share.mask || s.share.mask == 0 && s.taken.slots < s.share.amount.slots {
			return true
		}
	}
	return false
}

// hasRoom reports whether enough seats have accelerators left for a task.
func (c *cell) hasRoom(t *task) bool {
	open := 0
	for i := range c.seats {
		if c.shape.Accelerators-c.seats[i].used.Count() >= t.Shape.Accelerators {
			open++
		}
	}
	return open >= t.Shape.Workers
}

func (p *policy) carveSeat(t *task, s *seat, n need) (share, bool) {
	w := s.share.worker
	if w == nil || !w.usable() || t.avoids(p.now, w) {
		return share{}, false
	}
	if !s.taken.plus(n.amount).within(s.share.amount) {
		return share{}, false
	}
	closed := ^(s.share.mask &^ s.used)
	mask, _, ok := group(closed|w.busy|w.held, w.Accelerators, n.accelerators)
	if !ok {
		mask, _, ok = group(closed, w.Accelerators, n.accelerators)
	}
	return share{worker: w, mask: mask, amount: n.amount}, ok
}

func (c *cell) maskOn(w *worker) floor.Accelerators {
	for i := range c.seats {
		if c.seats[i].share.worker == w {
			return c.seats[i].share.mask
		}
	}
	return 0
}

func (c *cell) on(w *worker) amount {
	for i := range c.seats {
		if c.seats[i].share.worker == w {
			return c.seats[i].share.amount
		}
	}
	return amount{}
}
