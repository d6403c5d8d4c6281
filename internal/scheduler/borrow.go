package scheduler

import "slices"

const (
	// warmCells is the number of free cells of an account with urgent work that
	// are not lent.
	warmCells = 2
)

// startUrgent starts urgent work that no guarantee covers, on a free place or on
// one that borrowers leave.
func (p *policy) startUrgent() {
	for _, l := range slices.Clone(p.urgent) {
		p.startUrgentLane(l)
	}
}

func (p *policy) startUrgentLane(l *lane) {
	for l.len() > 0 && l.tried != p.changes {
		t := l.head()
		shares := p.place(t, viewFree)
		if shares == nil && !p.recovering() {
			shares = p.place(t, viewReclaim)
		}
		if shares == nil {
			l.tried = p.changes
			return
		}
		t.shares = shares
		p.settle(t, p.config.UrgentGrace)
	}
}

// startBorrowed starts waiting jobs on places that are free.
func (p *policy) startBorrowed() {
	p.keepWarm()
	p.startHeads()
	for {
		l := p.pick()
		if l == nil {
			return
		}
		if !p.borrow(l.head()) {
			p.block(l)
		}
	}
}

// keepWarm keeps some free cells of accounts with urgent work from being lent,
// so that it starts without a reclaim.
func (p *policy) keepWarm() {
	for _, w := range p.warm {
		w.warm, w.warmSum = 0, amount{}
	}
	p.warm = p.warm[:0]
	for _, t := range p.tenants {
		if t.urgentSize == 0 {
			continue
		}
		left := warmCells
		for _, c := range t.cells {
			if left > 0 && len(c.tasks) == 0 && c.size() <= 2*t.urgentSize && c.idle() {
				left--
				p.warmUp(c)
			}
		}
	}
}

func (p *policy) warmUp(c *cell) {
	for i := range c.seats {
		s := c.seats[i].share
		s.worker.warm |= s.mask
		s.worker.warmSum = s.worker.warmSum.plus(s.amount)
		p.warm = append(p.warm, s.worker)
	}
}

// idle reports whether nothing runs where the cell stands.
func (c *cell) idle() bool {
	for i := range c.seats {
		if s := c.seats[i].share; s.worker == nil || !s.clear() || s.worker.held&s.mask != 0 {
			return false
		}
	}
	return true
}

// pick returns the lane that goes first of those that may have a place: within
// an account by the order of classes, among accounts by what they hold.
func (p *policy) pick() *lane {
	p.chosenTenants = p.chosenTenants[:0]
	for _, c := range p.classes {
		if c.blocked == p.freed {
			continue
		}
		for _, l := range c.lanes {
			if l.blocked != p.freed {
				p.consider(l)
			}
		}
	}
	var best *lane
	score := 0.0
	for _, t := range p.chosenTenants {
		if best == nil || t.score > score {
			best, score = t.best, t.score
		}
		t.best = nil
	}
	return best
}

// consider notes a lane if it is the best of its account.
func (p *policy) consider(l *lane) {
	t := l.tenant
	ratio := l.ratio(p.now)
	switch {
	case t.best == nil:
		p.chosenTenants = append(p.chosenTenants, t)
	case l.rank > t.best.rank, l.rank == t.best.rank && ratio <= t.score:
		return
	}
	t.best, t.score = l, ratio
}

// block notes that nothing is free for a lane, or for all lanes of its shape.
func (p *policy) block(l *lane) {
	l.blocked = p.freed
	if len(p.heads) == 0 {
		l.class.blocked = p.freed
		return
	}
	t := l.head()
	q := p.query(t, viewFree)
	q.until = p.now
	if p.find(q) == nil {
		l.class.blocked = p.freed
	}
}

// place searches for a task.
func (p *policy) place(t *task, v view) []share {
	return p.find(p.query(t, v))
}

func (p *policy) query(t *task, v view) *query {
	p.scratch = query{
		view:    v,
		need:    needOf(t.Shape),
		workers: t.Shape.Workers,
		width:   t.Shape.Adjacency,
		until:   p.now.Add(t.longest()),
		head:    t.head,
		task:    t,
		pack:    t.tenant.pack(),
		keep:    t.tenant.keep(),
	}
	return &p.scratch
}
