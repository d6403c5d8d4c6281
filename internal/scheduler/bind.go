package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
)

const (
	// bindPackWeight is the weight of low fragmentation, from 1 to 10, when
	// guarantees are bound.
	bindPackWeight = 8

	// repackInterval is the least time between two attempts to bind all unused
	// guarantees again, unless workers or guarantees have changed.
	repackInterval = time.Minute
)

// atRisk returns the number of guarantees that are not fully bound.
func (p *policy) atRisk() int {
	n := 0
	for _, g := range p.guarantees {
		if !g.fullyBound() {
			n++
		}
	}
	return n
}

// rebindGuarantees binds the guarantees that are at risk: around running jobs of
// the account, to capacity that is not bound, or, if neither helps, by binding
// all unused guarantees again.
func (p *policy) rebindGuarantees() {
	p.rebindDue = false
	if p.atRisk() == 0 {
		return
	}
	for _, t := range p.tenants {
		p.promoteBorrowers(t)
	}
	if p.recovering() {
		p.rebindDue = true
		return
	}
	left := 0
	for _, g := range p.guarantees {
		if !g.fullyBound() && !p.bindMissing(g, bindPackWeight) {
			left++
		}
	}
	if left > 0 && !p.now.Before(p.nextRepack) {
		p.nextRepack = p.now.Add(repackInterval)
		p.repack()
	}
	p.changes++
}

// query returns a search for a place to bind the guarantee to.
func (g *guarantee) query(packWeight int) *query {
	return &query{view: viewUnbound, need: g.need(), workers: len(g.segments), adjacency: g.shape.Adjacency, packWeight: packWeight}
}

// packQuery returns a search for the least fragmenting place, whoever runs
// there.
func (g *guarantee) packQuery() *query {
	q := g.query(bindPackWeight)
	q.ignoreJobs = true
	return q
}

// bindMissing binds the missing segments of a guarantee, or all if no jobs use
// it. It returns false if no place is found.
func (p *policy) bindMissing(g *guarantee, packWeight int) bool {
	if len(g.jobs) == 0 {
		old := g.unbindAll()
		shares := p.find(g.query(packWeight))
		if shares == nil {
			g.bindAll(old)
			return false
		}
		g.bindAll(shares)
		g.tenant.claimsDue = true
		return true
	}
	return p.complete(g, packWeight)
}

// complete binds the missing segments of a guarantee in the domain of those that
// are bound.
func (p *policy) complete(g *guarantee, packWeight int) bool {
	var fixed []share
	for i := range g.segments {
		if g.segments[i].share.worker != nil {
			fixed = append(fixed, g.segments[i].share)
		}
	}
	if len(fixed) == 0 || len(fixed) == len(g.segments) {
		return len(fixed) > 0
	}
	d := p.floor.domain(fixed[0].worker, g.shape.Adjacency)
	shares, _ := p.findIn(g.query(packWeight), d.workers, fixed)
	if shares == nil {
		return false
	}
	found := shares[len(fixed):]
	for i := range g.segments {
		if g.segments[i].share.worker == nil {
			g.bind(i, found[0])
			found = found[1:]
		}
	}
	g.tenant.claimsDue = true
	return true
}

// repack binds all unused guarantees again, the largest first, and keeps the
// result if fewer guarantees are at risk afterwards.
func (p *policy) repack() {
	before := p.atRisk()
	var unused []*guarantee
	for _, g := range p.guarantees {
		if len(g.jobs) == 0 {
			unused = append(unused, g)
		}
	}
	slices.SortStableFunc(unused, packOrder)
	old := make([][]share, len(unused))
	for i, g := range unused {
		old[i] = g.unbindAll()
	}
	for _, g := range unused {
		if shares := p.find(g.packQuery()); shares != nil {
			g.bindAll(shares)
			g.tenant.claimsDue = true
		}
	}
	if p.atRisk() < before {
		return
	}
	for _, g := range unused {
		g.unbindAll()
	}
	for i, g := range unused {
		g.bindAll(old[i])
	}
}

// packOrder orders guarantees for packing: the largest and most narrowly adjacent
// first.
func packOrder(x, y *guarantee) int {
	return cmp.Or(
		cmp.Compare(y.shape.Accelerators, x.shape.Accelerators),
		cmp.Compare(len(y.segments), len(x.segments)),
		cmp.Compare(width(x.shape.Adjacency), width(y.shape.Adjacency)),
		cmp.Compare(y.shape.Cores, x.shape.Cores),
	)
}

// promoteBorrowers lets running borrowers of the account run as guaranteed jobs
// where one of its guarantees has capacity left that is, or can be, bound to
// their place.
func (p *policy) promoteBorrowers(t *tenant) {
	p.openGuarantees = p.openGuarantees[:0]
	for _, g := range t.guarantees {
		if g.hasCapacity() {
			p.openGuarantees = append(p.openGuarantees, g)
		}
	}
	if len(p.openGuarantees) == 0 {
		return
	}
	for _, k := range t.active {
		if k.guarantee != nil || k.state != stateRunning {
			continue
		}
		for _, g := range p.openGuarantees {
			if g.hasCapacity() && len(g.segments) == k.Shape.Workers && g.accepts(k) && p.promote(k, g) {
				break
			}
		}
	}
}

// promote lets a borrower run on a guarantee, which is moved to the job's place
// if it is unused. It returns false and leaves all as it was if that is not
// possible.
func (p *policy) promote(t *jobEntry, g *guarantee) bool {
	for _, s := range t.shares {
		if !s.worker.usable() {
			return false
		}
	}
	if p.joinInPlace(t, g) {
		return true
	}
	if len(g.jobs) > 0 {
		return false
	}
	old := g.unbindAll()
	undo, ok := p.bindAround(t, g)
	if ok && p.joinInPlace(t, g) {
		return true
	}
	if ok {
		undo()
	}
	g.bindAll(old)
	return false
}

// joinInPlace lets a running borrower use the segments that are bound to its
// place already.
func (p *policy) joinInPlace(t *jobEntry, g *guarantee) bool {
	segments := make([]int, 0, len(t.shares))
	for _, s := range t.shares {
		i := slices.IndexFunc(g.segments, func(x segment) bool {
			return x.share.worker == s.worker && s.mask&^(x.share.mask&^x.used) == 0 &&
				x.usedAmount.plus(s.amount).within(x.share.amount)
		})
		if i < 0 {
			return false
		}
		segments = append(segments, i)
	}
	p.joinGuarantee(t, g, segments, t.shares)
	return true
}

// bindAround binds an unbound guarantee around the shares of a job.
func (p *policy) bindAround(t *jobEntry, g *guarantee) (undo func(), ok bool) {
	n := g.need()
	d := p.floor.domain(t.shares[0].worker, g.shape.Adjacency)
	shares := make([]share, 0, len(t.shares))
	for _, s := range t.shares {
		w := s.worker
		if len(g.segments) > 1 && p.floor.domain(w, g.shape.Adjacency) != d {
			return nil, false
		}
		wanted := n.on(w)
		busy, used := w.claimed()
		mask, ok := groupAround(s.mask, busy, w.Accelerators, n.accelerators)
		if !ok || !used.plus(wanted).within(w.capacity()) {
			return nil, false
		}
		shares = append(shares, share{worker: w, mask: mask, amount: wanted})
	}
	return p.bindDisplacing(g, shares)
}

// groupAround returns n accelerators of one aligned group that include the mask.
func groupAround(mask, busy floor.Accelerators, total, n int) (floor.Accelerators, bool) {
	if n == 0 {
		return 0, mask == 0
	}
	size := 1 << order(n)
	for base := 0; base < total; base += size {
		group := span(base, size) & span(0, total)
		if mask&^group != 0 {
			continue
		}
		free := group &^ busy
		if mask&^free != 0 || free.Count() < n {
			return 0, false
		}
		return mask | lowest(free&^mask, n-mask.Count()), true
	}
	return 0, false
}
