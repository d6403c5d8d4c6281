package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
)

const (
	bindPack = 8

	// repackPause is the least time between two attempts to bind all unclaimed
	// guarantees anew while the floor stays as it is.
	repackPause = time.Minute
)

// atRisk returns the number of guaranteed shapes that do not stand on the floor.
func (p *policy) atRisk() int {
	n := 0
	for _, c := range p.cells {
		if !c.whole() {
			n++
		}
	}
	return n
}

// restoreCells binds the cells that are at risk: over the account's own jobs, to
// what no guarantee stands on, or by packing all unclaimed cells anew.
func (p *policy) restoreCells() {
	p.broken = false
	if p.atRisk() == 0 {
		return
	}
	for _, t := range p.tenants {
		p.adopt(t)
	}
	if p.recovering() {
		p.broken = true
		return
	}
	left := 0
	for _, c := range p.cells {
		if !c.whole() && !p.fill(c, bindPack) {
			left++
		}
	}
	if left > 0 && !p.now.Before(p.repackDue) {
		p.repackDue = p.now.Add(repackPause)
		p.repack()
	}
	p.changes++
}

func (c *cell) query(pack int) *query {
	return &query{view: viewUnbound, need: c.need(), workers: len(c.seats), width: c.shape.Adjacency, pack: pack}
}

// blindQuery looks for the tightest place, whoever runs there.
func (c *cell) blindQuery() *query {
	q := c.query(bindPack)
	q.blind = true
	return q
}

// fill binds what is missing of a cell. A cell with tasks keeps its other seats.
func (p *policy) fill(c *cell, pack int) bool {
	if len(c.tasks) == 0 {
		old := c.unbindAll()
		shares := p.find(c.query(pack))
		if shares == nil {
			c.bindAll(old)
			return false
		}
		c.bindAll(shares)
		c.tenant.dirty = true
		return true
	}
	return p.complete(c, pack)
}

// complete finds the missing seats of a cell around those it has.
func (p *policy) complete(c *cell, pack int) bool {
	var fixed []share
	for i := range c.seats {
		if c.seats[i].share.worker != nil {
			fixed = append(fixed, c.seats[i].share)
		}
	}
	if len(fixed) == 0 || len(fixed) == len(c.seats) {
		return len(fixed) > 0
	}
	d := p.floor.domain(fixed[0].worker, c.shape.Adjacency)
	shares, _ := p.findIn(c.query(pack), d.workers, fixed)
	if shares == nil {
		return false
	}
	found := shares[len(fixed):]
	for i := range c.seats {
		if c.seats[i].share.worker == nil {
			c.bind(i, found[0])
			found = found[1:]
		}
	}
	c.tenant.dirty = true
	return true
}

// repack binds all cells without tasks anew, the largest first, if more of them
// can stand so.
func (p *policy) repack() {
	before := p.atRisk()
	var loose []*cell
	for _, c := range p.cells {
		if len(c.tasks) == 0 {
			loose = append(loose, c)
		}
	}
	slices.SortStableFunc(loose, packOrder)
	old := make([][]share, len(loose))
	for i, c := range loose {
		old[i] = c.unbindAll()
	}
	for _, c := range loose {
		if shares := p.find(c.blindQuery()); shares != nil {
			c.bindAll(shares)
			c.tenant.dirty = true
		}
	}
	if p.atRisk() < before {
		return
	}
	for _, c := range loose {
		c.unbindAll()
	}
	for i, c := range loose {
		c.bindAll(old[i])
	}
}

// packOrder orders cells for packing.
func packOrder(x, y *cell) int {
	return cmp.Or(
		cmp.Compare(y.shape.Accelerators, x.shape.Accelerators),
		cmp.Compare(len(y.seats), len(x.seats)),
		cmp.Compare(width(x.shape.Adjacency), width(y.shape.Adjacency)),
		cmp.Compare(y.shape.Cores, x.shape.Cores),
	)
}

// adopt lets the account's borrowers run as guaranteed where a cell that is not
// taken can stand over their place.
func (p *policy) adopt(t *tenant) {
	p.open = p.open[:0]
	for _, c := range t.cells {
		if c.open() {
			p.open = append(p.open, c)
		}
	}
	if len(p.open) == 0 {
		return
	}
	for _, k := range t.active {
		if k.cell != nil || k.state != stateRunning {
			continue
		}
		for _, c := range p.open {
			if c.open() && len(c.seats) == k.Shape.Workers && c.admits(k) && p.adoptInto(k, c) {
				break
			}
		}
	}
}

func (p *policy) adoptInto(t *task, c *cell) bool {
	for _, s := range t.shares {
		if !s.worker.usable() {
			return false
		}
	}
	if p.join(t, c) {
		return true
	}
	if len(c.tasks) > 0 {
		return false
	}
	old := c.unbindAll()
	undo, ok := p.bindOver(t, c)
	if ok && p.join(t, c) {
		return true
	}
	if ok {
		undo()
	}
	c.bindAll(old)
	return false
}

// join lets a running borrower take the seats that it is on already.
func (p *policy) join(t *task, c *cell) bool {
	seats := make([]int, 0, len(t.shares))
	for _, s := range t.shares {
		i := slices.IndexFunc(c.seats, func(x seat) bool {
			return x.share.worker == s.worker && s.mask&^(x.share.mask&^x.used) == 0 &&
				x.taken.plus(s.amount).within(x.share.amount)
		})
		if i < 0 {
			return false
		}
		seats = append(seats, i)
	}
	p.enter(t, c, seats, t.shares)
	return true
}

// bindOver binds an unbound cell around the shares of a task.
func (p *policy) bindOver(t *task, c *cell) (undo func(), ok bool) {
	n := c.need()
	d := p.floor.domain(t.shares[0].worker, c.shape.Adjacency)
	shares := make([]share, 0, len(t.shares))
	for _, s := range t.shares {
		w := s.worker
		if len(c.seats) > 1 && p.floor.domain(w, c.shape.Adjacency) != d {
			return nil, false
		}
		wanted := n.on(w)
		busy, used := w.inUse()
		mask, ok := around(s.mask, busy, w.Accelerators, n.accelerators)
		if !ok || !used.plus(wanted).within(w.capacity()) {
			return nil, false
		}
		shares = append(shares, share{worker: w, mask: mask, amount: wanted})
	}
	return p.bindMoving(c, shares)
}

// around returns n accelerators of an aligned group that include the mask.
func around(mask, busy floor.Accelerators, total, n int) (floor.Accelerators, bool) {
	if n == 0 {
		return 0, mask == 0
	}
	size := 1 << order(n)
	for base := 0; base < total; base += size {
		block := span(base, size) & span(0, total)
		if mask&^block != 0 {
			continue
		}
		open := block &^ busy
		if mask&^open != 0 || open.Count() < n {
			return 0, false
		}
		return mask | lowest(open&^mask, n-mask.Count()), true
	}
	return 0, false
}
