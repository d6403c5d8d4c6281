package scheduler

import (
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
)

const (
	// calmPart is the part of a budget, in percent, below which slowed jobs run
	// at full speed again.
	calmPart = 90

	// lendMargin is the part of a budget, one in so many, that is not lent, so
	// that short guaranteed work starts without a reclaim.
	lendMargin = 20
)

// budget is a cooling limit with what counts against it: what is set aside for
// guarantees, what all that runs stands for, and what jobs to come hold. What is
// set aside is lent like accelerators, and reclaimed like them.
type budget struct {
	limit   floor.Watts
	aside   floor.Watts
	running floor.Watts
	held    floor.Watts
	trial   floor.Watts
	hot     bool
	due     time.Time
	workers []*worker
}

// rebuildBudgets attaches the limits to the workers they hold for.
func (f *plan) rebuildBudgets() {
	for _, w := range f.workers {
		w.budgets = nil
	}
	f.budgets = nil
	for _, limit := range f.limits {
		b := &budget{limit: limit.Cooling}
		for _, w := range f.workers {
			if limit.covers(w.Worker) {
				w.budgets = append(w.budgets, b)
				b.workers = append(b.workers, w)
				b.count(w)
			}
		}
		f.budgets = append(f.budgets, b)
	}
}

func (l Budget) covers(w floor.Worker) bool {
	return l.DataCentre == "" || l.DataCentre == w.DataCentre && (l.Rack == "" || l.Rack == w.Rack)
}

// count adds what stands on a worker already.
func (b *budget) count(w *worker) {
	b.running += w.nominal
	for _, c := range w.cells {
		for i := range c.seats {
			if s := c.seats[i].share; s.worker == w {
				b.aside += w.draw(s)
			}
		}
	}
	for _, t := range w.pending {
		b.held += w.draw(t.share(w))
	}
}

// affordable reports whether the share's cooling is left in all its budgets.
func (q *query) affordable(s share) bool {
	for _, b := range s.worker.budgets {
		used := b.trial + s.worker.draw(s)
		switch q.view {
		case viewFree:
			if b.hot {
				return false
			}
			used += b.running + b.held
			if !q.urgent() {
				used += b.limit / lendMargin
			}
		case viewReclaim:
			used += b.held
			if !q.urgent() {
				used += b.running
			}
		case viewUnbound, viewFirm:
			if q.task != nil {
				continue
			}
			used += b.aside
		}
		if used > b.limit {
			return false
		}
	}
	return true
}

// urgent reports whether the query is for urgent work.
func (q *query) urgent() bool {
	return q.task != nil && q.task.urgent
}

// affordable reports whether the cooling of all shares is left for a borrower.
func affordable(shares []share) bool {
	fits := true
	for i, s := range shares {
		fits = fits && (&query{}).affordable(s)
		s.reserve(1)
		if !fits || i == len(shares)-1 {
			for _, r := range shares[:i+1] {
				r.reserve(-1)
			}
			break
		}
	}
	return fits
}

// reserve counts a share for a moment while its gang is put together.
func (s share) reserve(sign floor.Watts) {
	for _, b := range s.worker.budgets {
		b.trial += sign * s.worker.draw(s)
	}
}

func (s share) setAside(sign floor.Watts) {
	for _, b := range s.worker.budgets {
		b.aside += sign * s.worker.draw(s)
	}
}

// load counts a share that starts or ends to run.
func (s share) load(sign floor.Watts) {
	draw := sign * s.worker.draw(s)
	s.worker.nominal += draw
	for _, b := range s.worker.budgets {
		b.running += draw
	}
}

// keep counts a share that is held for a job to come.
func (s share) keep(sign floor.Watts) {
	for _, b := range s.worker.budgets {
		b.held += sign * s.worker.draw(s)
	}
}

func (p *policy) SetBudgets(budgets []Budget) {
	p.floor.limits = slices.Clone(budgets)
	p.floor.rebuildBudgets()
	p.broken = true
	p.free()
}

func (p *policy) Report(at time.Time, id floor.WorkerID, draw floor.Watts) {
	w, ok := p.floor.byID[id]
	if !ok || at.Before(w.reported) {
		return
	}
	w.drawn, w.reported = draw, at
	p.changes++
}

// drawing is what a worker draws: what was reported, unless it is older than
// what started since.
func (w *worker) drawing(now time.Time, lag time.Duration) floor.Watts {
	if w.reported.IsZero() || now.Sub(w.reported) > 2*lag {
		return w.nominal
	}
	return w.drawn
}

// cool slows borrowers of budgets that are passed, then reclaims them.
func (p *policy) cool() {
	for _, b := range p.floor.budgets {
		drawn := floor.Watts(0)
		for _, w := range b.workers {
			drawn += w.drawing(p.now, p.config.ReportLag)
		}
		promised := b.running - b.leaving()
		switch over := max(drawn, promised) > b.limit; {
		case promised > b.limit, over && !p.now.Before(b.due):
			b.hot = true
			p.relieve(b, max(drawn, promised)-b.limit, promised > b.limit)
		case !over && b.hot:
			b.hot = false
			b.due = time.Time{}
			p.free()
		}
		if !b.hot {
			p.quicken(b, drawn)
		}
	}
}

// relieve takes a step against what a budget is passed by, and gives it the time
// that reports lag to show.
func (p *policy) relieve(b *budget, excess floor.Watts, promised bool) {
	b.due = p.now.Add(p.config.ReportLag)
	for excess > 0 && !promised {
		t := p.coolest(b, func(t *task) bool { return !t.slow })
		if t == nil {
			break
		}
		t.slow = true
		t.slowed = p.now
		p.decide(Throttle{Job: t.ID, Slow: true})
		excess -= b.drawn(t) / 2
	}
	for excess > 0 {
		t := p.coolest(b, func(t *task) bool { return promised || !t.slow || !p.now.Before(t.slowed.Add(p.config.ReportLag)) })
		if t == nil {
			return
		}
		excess -= b.drawn(t)
		p.displace(t, p.config.Grace)
	}
}

// quicken lets slowed jobs run at full speed while there is room.
func (p *policy) quicken(b *budget, drawn floor.Watts) {
	for _, w := range b.workers {
		for _, t := range w.tasks {
			if t.slow && t.state == stateRunning && (drawn+b.drawn(t.task)/2)*100 <= b.limit*calmPart && t.calm() {
				t.slow = false
				drawn += b.drawn(t.task) / 2
				p.decide(Throttle{Job: t.ID})
			}
		}
	}
}

// calm reports whether none of the task's budgets is passed.
func (t *task) calm() bool {
	for _, s := range t.shares {
		if slices.ContainsFunc(s.worker.budgets, func(b *budget) bool { return b.hot }) {
			return false
		}
	}
	return true
}

// coolest returns the running borrower under a budget whose leaving costs least.
func (p *policy) coolest(b *budget, wanted func(*task) bool) *task {
	var best *task
	lowest := forbidden
	for _, w := range b.workers {
		for _, t := range w.tasks {
			if t.state != stateRunning || t.cell != nil || !wanted(t.task) {
				continue
			}
			if price := p.weigh(t.task, p.config.Grace); price < lowest && b.drawn(t.task) > 0 {
				best, lowest = t.task, price
			}
		}
	}
	return best
}

// leaving is what borrowers stand for that were told to leave.
func (b *budget) leaving() floor.Watts {
	total := floor.Watts(0)
	for _, w := range b.workers {
		for _, t := range w.tasks {
			if t.state == stateLeaving && t.cell == nil {
				total += w.draw(t.share(w))
			}
		}
	}
	return total
}

// clearCooling makes the least borrowers leave until a guaranteed or urgent task
// fits into its budgets.
func (p *policy) clearCooling(t *task, grace time.Duration) {
	for _, s := range t.shares {
		for _, b := range s.worker.budgets {
			held := b.held
			if t.state == statePending {
				held = 0
			}
			for b.running-b.leaving()+held+b.drawn(t) > b.limit {
				v := p.coolest(b, func(v *task) bool { return t.firm() || !v.urgent })
				if v == nil {
					break
				}
				p.displace(v, grace)
			}
		}
	}
}

// cooled reports whether all of a task may run beside what runs already.
func (t *task) cooled() bool {
	for _, s := range t.shares {
		s.load(1)
	}
	fits := true
	for _, s := range t.shares {
		for _, b := range s.worker.budgets {
			fits = fits && b.running <= b.limit
		}
	}
	for _, s := range t.shares {
		s.load(-1)
	}
	return fits
}

// drawn is what a task stands for under the budget.
func (b *budget) drawn(t *task) floor.Watts {
	total := floor.Watts(0)
	for _, s := range t.shares {
		if slices.Contains(s.worker.budgets, b) {
			total += s.worker.draw(s)
		}
	}
	return total
}
