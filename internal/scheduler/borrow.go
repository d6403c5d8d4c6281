package scheduler

import "slices"

const (
	// standbyGuarantees is the number of unused guarantees that are not lent for
	// an account that has had urgent jobs.
	standbyGuarantees = 2
)

// startUrgent starts urgent jobs that could not claim a guarantee, on free or
// reclaimed places.
func (p *policy) startUrgent() {
	for _, l := range slices.Clone(p.urgent) {
		p.startUrgentLane(l)
	}
}

// startUrgentLane starts the jobs of a lane until one finds no place.
func (p *policy) startUrgentLane(l *lane) {
	for l.len() > 0 && l.triedAt != p.changes {
		t := l.head()
		shares := p.place(t, viewFree)
		if shares == nil && !p.recovering() {
			shares = p.place(t, viewReclaim)
		}
		if shares == nil {
			l.triedAt = p.changes
			return
		}
		t.shares = shares
		p.startOrHold(t, p.config.UrgentGrace)
	}
}

// startBorrowed starts waiting jobs on free places.
func (p *policy) startBorrowed() {
	p.keepStandby()
	p.startReserved()
	for {
		l := p.pickLane()
		if l == nil {
			return
		}
		if !p.borrow(l.head()) {
			p.block(l)
		}
	}
}

// keepStandby selects small idle guarantees of accounts with urgent jobs. They
// are not lent, so that urgent jobs start without a reclaim.
func (p *policy) keepStandby() {
	for _, w := range p.standbyWorkers {
		w.standby, w.standbyAmount = 0, amount{}
	}
	p.standbyWorkers = p.standbyWorkers[:0]
	for _, t := range p.tenants {
		if t.urgentSize == 0 {
			continue
		}
		left := standbyGuarantees
		for _, g := range t.guarantees {
			if left > 0 && len(g.jobs) == 0 && g.size() <= 2*t.urgentSize && g.idle() {
				left--
				p.markStandby(g)
			}
		}
	}
}

// markStandby keeps the capacity of a guarantee on standby.
func (p *policy) markStandby(g *guarantee) {
	for i := range g.segments {
		s := g.segments[i].share
		s.worker.standby |= s.mask
		s.worker.standbyAmount = s.worker.standbyAmount.plus(s.amount)
		p.standbyWorkers = append(p.standbyWorkers, s.worker)
	}
}

// idle reports whether nothing runs, or is held, where the guarantee is bound.
func (g *guarantee) idle() bool {
	for i := range g.segments {
		if s := g.segments[i].share; s.worker == nil || !s.clear() || s.worker.held&s.mask != 0 {
			return false
		}
	}
	return true
}

// pickLane returns the lane that goes first of those that may find a place, or
// nil: within an account by the order of classes, and otherwise by waitRatio.
func (p *policy) pickLane() *lane {
	p.tenantScratch = p.tenantScratch[:0]
	for _, sg := range p.shapeGroups {
		if sg.blockedAt == p.freed {
			continue
		}
		for _, l := range sg.lanes {
			if l.blockedAt != p.freed {
				p.consider(l)
			}
		}
	}
	var best *lane
	highest := 0.0
	for _, t := range p.tenantScratch {
		if best == nil || t.bestRatio > highest {
			best, highest = t.bestLane, t.bestRatio
		}
		t.bestLane = nil
	}
	return best
}

// consider makes a lane the best of its account if it goes before the best one
// so far.
func (p *policy) consider(l *lane) {
	t := l.tenant
	ratio := l.waitRatio(p.now)
	switch {
	case t.bestLane == nil:
		p.tenantScratch = append(p.tenantScratch, t)
	case l.priority > t.bestLane.priority, l.priority == t.bestLane.priority && ratio <= t.bestRatio:
		return
	}
	t.bestLane, t.bestRatio = l, ratio
}

// block records that there is no free place for a lane, or, if none exists even
// for the shortest job, for all lanes of its shape.
func (p *policy) block(l *lane) {
	l.blockedAt = p.freed
	if len(p.reservations) == 0 {
		l.shapeGroup.blockedAt = p.freed
		return
	}
	t := l.head()
	q := p.query(t, viewFree)
	q.until = p.now
	if p.find(q) == nil {
		l.shapeGroup.blockedAt = p.freed
	}
}

// place searches for a place for a job, and returns nil if there is none.
func (p *policy) place(t *jobEntry, v view) []share {
	return p.find(p.query(t, v))
}

// query returns the search for a place for a job. It is valid until the next
// call.
func (p *policy) query(t *jobEntry, v view) *query {
	p.queryScratch = query{
		view:             v,
		need:             needOf(t.Shape),
		workers:          t.Shape.Workers,
		adjacency:        t.Shape.Adjacency,
		until:            p.now.Add(t.longRunTime()),
		reservation:      t.reservation,
		job:              t,
		packWeight:       t.tenant.packWeight(),
		completionWeight: t.tenant.completionWeight(),
	}
	return &p.queryScratch
}
