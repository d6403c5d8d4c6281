package scheduler

import (
	"math/bits"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
)

const (
	// viewFree sees what running jobs and jobs to come leave free.
	viewFree view = iota

	// viewUnbound sees what no guarantee stands on.
	viewUnbound

	// viewReclaim sees what can be had by reclaiming borrowers.
	viewReclaim

	// viewFirm sees what no guarantee in use stands on.
	viewFirm
)

type (
	view int

	// need is what one member takes of a worker. A portion takes what goes with
	// the accelerators where it does not name cores or memory.
	need struct {
		accelerators int
		amount       amount
		portion      bool
	}

	// query is a search for a place.
	query struct {
		view    view
		need    need
		workers int
		width   floor.Adjacency
		until   time.Time
		head    *head
		task    *task
		idle    bool
		blind   bool
		pack    int
		keep    int
	}

	// candidate is a worker with room for a member, and what taking it costs.
	candidate struct {
		seat  int
		share share
		cost  int
	}
)

func needOf(shape floor.Shape) need {
	return need{
		accelerators: shape.Accelerators,
		amount:       amount{cores: shape.Cores, memory: shape.Memory, slots: 1},
	}
}

// on returns the amount that a member takes of the worker.
func (n need) on(w *worker) amount {
	a := n.amount
	if !n.portion || n.accelerators == 0 || w.Accelerators == 0 {
		return a
	}
	if a.cores == 0 {
		a.cores = w.Cores * n.accelerators / w.Accelerators
	}
	if a.memory == 0 {
		a.memory = w.Memory * floor.MiB(n.accelerators) / floor.MiB(w.Accelerators)
	}
	a.slots = max(a.slots, w.Slots*n.accelerators/w.Accelerators)
	return a
}

// find returns the cheapest place, or nil.
func (p *policy) find(q *query) []share {
	if q.workers == 1 {
		return p.findOne(q)
	}
	var best []share
	lowest := 0
	for _, d := range p.floor.domains(q.width) {
		shares, cost := p.findIn(q, d.workers, nil)
		if shares != nil && (best == nil || cost < lowest) {
			best, lowest = shares, cost
		}
	}
	return best
}

func (p *policy) findOne(q *query) []share {
	var best candidate
	for _, w := range p.floor.workers {
		c, ok := p.fit(q, w)
		if ok && (best.share.worker == nil || c.cost < best.cost) {
			best = c
		}
	}
	if best.share.worker == nil {
		return nil
	}
	return []share{best.share}
}

// findIn returns the cheapest place among the workers for what the fixed shares
// leave to be found, and its cost.
func (p *policy) findIn(q *query, workers []*worker, fixed []share) ([]share, int) {
	if len(workers) < q.workers {
		return nil, 0
	}
	p.candidates = p.candidates[:0]
	for _, w := range workers {
		if slices.ContainsFunc(fixed, func(s share) bool { return s.worker == w }) {
			continue
		}
		if c, ok := p.fit(q, w); ok {
			p.candidates = append(p.candidates, c)
		}
	}
	missing := q.workers - len(fixed)
	if len(p.candidates) < missing {
		return nil, 0
	}
	slices.SortStableFunc(p.candidates, func(x, y candidate) int { return x.cost - y.cost })
	return p.pickAffordable(q, missing, fixed)
}

// pickAffordable takes the cheapest candidates whose cooling fits together.
func (p *policy) pickAffordable(q *query, missing int, fixed []share) ([]share, int) {
	shares := make([]share, 0, q.workers)
	shares = append(shares, fixed...)
	cost := len(p.candidates) - missing
	taken := 0
	for _, c := range p.candidates {
		if taken == missing {
			break
		}
		if !q.affordable(c.share) {
			continue
		}
		c.share.reserve(1)
		shares = append(shares, c.share)
		cost += c.cost * len(p.candidates)
		taken++
	}
	for _, s := range shares[len(fixed):] {
		s.reserve(-1)
	}
	if taken < missing {
		return nil, 0
	}
	return shares, cost
}

// fit returns the place of one member on a worker, if it has one.
func (p *policy) fit(q *query, w *worker) (candidate, bool) {
	if !w.usable() || (w.probation && len(w.tasks)+len(w.pending) > 0 && !q.firm()) {
		return candidate{}, false
	}
	if q.task != nil && q.task.avoids(p.now, w) {
		return candidate{}, false
	}
	if q.view == viewFree && w.Accelerators-bits.OnesCount64(uint64(w.busy|w.held)) < q.need.accelerators {
		return candidate{}, false
	}
	busy, used := p.occupied(q, w)
	wanted := q.need.on(w)
	if !used.plus(wanted).within(w.capacity()) {
		return candidate{}, false
	}
	mask, excess, ok := p.groupOn(q, w, busy)
	if !ok {
		return candidate{}, false
	}
	c := candidate{share: share{worker: w, mask: mask, amount: wanted}}
	if !q.affordable(c.share) {
		return candidate{}, false
	}
	c.cost = p.cost(q, c.share, excess)
	return c, c.cost < forbidden
}

// groupOn chooses the accelerators: those that are free, or whose borrowers are
// the least loss.
func (p *policy) groupOn(q *query, w *worker, busy floor.Accelerators) (floor.Accelerators, int, bool) {
	if q.view == viewFree || q.blind || q.need.accelerators == 0 {
		return group(busy, w.Accelerators, q.need.accelerators)
	}
	mask, excess, ok := group(busy|w.busy|w.held, w.Accelerators, q.need.accelerators)
	if ok || q.idle {
		return mask, excess, ok
	}
	return p.leastGroup(q, w, busy)
}

// leastGroup returns the accelerators whose borrowers are the least loss.
func (p *policy) leastGroup(q *query, w *worker, busy floor.Accelerators) (floor.Accelerators, int, bool) {
	n := q.need.accelerators
	size := 1 << order(n)
	var best floor.Accelerators
	lowestLoss := forbidden
	for base := 0; base < w.Accelerators; base += size {
		open := span(base, size) & w.all() &^ busy
		if open.Count() < n {
			continue
		}
		idle := open &^ (w.busy | w.held)
		mask := lowest(idle, min(n, idle.Count()))
		mask |= lowest(open&^mask, n-mask.Count())
		if loss := p.loss(q.task, share{worker: w, mask: mask, amount: q.need.on(w)}, q.firm()); loss < lowestLoss {
			best, lowestLoss = mask, loss
		}
	}
	return best, 0, best != 0
}

// firm reports whether a guarantee asks.
func (q *query) firm() bool {
	return q.view == viewUnbound || q.view == viewFirm
}

// occupied returns what the query must leave alone on a worker.
func (p *policy) occupied(q *query, w *worker) (floor.Accelerators, amount) {
	switch q.view {
	case viewUnbound:
		if q.idle {
			return w.bound | w.busy | w.held, larger(w.boundAmount, w.busyAmount.plus(w.heldAmount))
		}
		return w.bound, w.boundAmount
	case viewReclaim:
		return p.firmOn(q, w)
	case viewFirm:
		return w.inUse()
	default:
		busy, used := w.busy|w.held, w.busyAmount.plus(w.heldAmount)
		if w.warmSum.slots > 0 && !q.urgent() {
			busy, used = busy|w.warm, used.plus(w.warmSum)
		}
		if w.head != nil && w.head != q.head && !q.until.IsZero() && q.until.After(w.head.at) {
			return busy | w.kept, used.plus(w.keptSum)
		}
		return busy, used
	}
}

// firmOn returns what cannot be reclaimed for the query's task.
func (p *policy) firmOn(q *query, w *worker) (floor.Accelerators, amount) {
	busy, used := w.held, w.heldAmount
	for _, t := range w.tasks {
		if p.price(q.task, t.task, false) >= forbidden {
			busy |= t.mask
			used = used.plus(t.amount)
		}
	}
	return busy, used
}

// inUse returns what the cells with tasks stand on.
func (w *worker) inUse() (floor.Accelerators, amount) {
	var busy floor.Accelerators
	var used amount
	for _, c := range w.cells {
		if len(c.tasks) > 0 {
			busy |= c.maskOn(w)
			used = used.plus(c.on(w))
		}
	}
	return busy, used
}

func larger(a, b amount) amount {
	return amount{max(a.cores, b.cores), max(a.memory, b.memory), max(a.slots, b.slots)}
}

// cost weighs a place; lower is better.
func (p *policy) cost(q *query, s share, excess int) int {
	w := s.worker
	cost := 0
	if q.view != viewFree && !q.blind {
		cost += p.loss(q.task, s, q.firm())
	}
	if q.need.accelerators == 0 {
		return cost + w.spare()
	}
	cost += 2 * q.pack * excess
	if q.view == viewFirm && s.mask&w.bound != 0 {
		cost += q.pack
	}
	if q.firm() {
		if s.mask&w.kept != 0 {
			cost += 4 * q.pack
		}
		return cost
	}
	if w.idle() {
		cost += 8 * q.pack
	}
	if w.rack.running == 0 {
		cost += 4 * q.pack
	}
	if q.task != nil && !q.task.Idempotent && w.fixed == 0 {
		cost += 64 * q.pack
	}
	if s.mask&w.bound != 0 {
		cost += 2 * q.keep
	}
	return cost
}

// spare is what work without accelerators would take from work with them.
func (w *worker) spare() int {
	open := w.Accelerators - w.busy.Count()
	return 64*open + min(63, w.Slots-w.busyAmount.slots)
}
