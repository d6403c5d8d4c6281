package scheduler

import (
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
)

const (
	// unthrottlePercent is the percentage of a budget up to which slowed jobs
	// return to full speed.
	unthrottlePercent = 90

	// One part in unlentDivisor of a budget is not lent to borrowers, so that
	// short guaranteed jobs start without a reclaim.
	unlentDivisor = 20
)

// budget is a cooling limit, in watts, and what counts against it: guaranteed for
// capacity bound to guarantees, running for running jobs, held for pending
// jobs, and trial for shares of a place that is being put together. The
// guaranteed part is lent and reclaimed like accelerators. exceeded is set while
// the budget is exceeded; the next step against that is due at nextStep.
type budget struct {
	limit      floor.Watts
	guaranteed floor.Watts
	running    floor.Watts
	held       floor.Watts
	trial      floor.Watts
	exceeded   bool
	nextStep   time.Time
	workers    []*worker
}

// rebuildBudgets attaches each budget to the workers that it applies to.
func (f *floorState) rebuildBudgets() {
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
				b.addWorker(w)
			}
		}
		f.budgets = append(f.budgets, b)
	}
}

// covers reports whether the budget applies to a worker.
func (l Budget) covers(w floor.Worker) bool {
	return l.DataCentre == "" || l.DataCentre == w.DataCentre && (l.Rack == "" || l.Rack == w.Rack)
}

// addWorker counts what is in use, held and bound on a worker.
func (b *budget) addWorker(w *worker) {
	b.running += w.nominalDraw
	for _, g := range w.guarantees {
		for i := range g.segments {
			if s := g.segments[i].share; s.worker == w {
				b.guaranteed += w.draw(s)
			}
		}
	}
	for _, t := range w.pending {
		b.held += w.draw(t.share(w))
	}
}

// affordable reports whether all budgets of the worker allow the share, in view
// of what the query may reclaim.
func (q *query) affordable(s share) bool {
	for _, b := range s.worker.budgets {
		used := b.trial + s.worker.draw(s)
		switch q.view {
		case viewFree:
			if b.exceeded {
				return false
			}
			used += b.running + b.held
			if !q.urgent() {
				used += b.limit / unlentDivisor
			}
		case viewReclaim:
			used += b.held
			if !q.urgent() {
				used += b.running
			}
		case viewUnbound, viewUnclaimed:
			if q.job != nil {
				continue
			}
			used += b.guaranteed
		}
		if used > b.limit {
			return false
		}
	}
	return true
}

// urgent reports whether the place is for an urgent job.
func (q *query) urgent() bool {
	return q.job != nil && q.job.urgent
}

// allAffordable reports whether the budgets allow a borrower to start on all of
// the shares.
func allAffordable(shares []share) bool {
	fits := true
	for i, s := range shares {
		fits = fits && (&query{}).affordable(s)
		s.countTrialDraw(1)
		if !fits || i == len(shares)-1 {
			for _, r := range shares[:i+1] {
				r.countTrialDraw(-1)
			}
			break
		}
	}
	return fits
}

// countTrialDraw counts, or with sign -1 discounts, a share while a place is put
// together.
func (s share) countTrialDraw(sign floor.Watts) {
	for _, b := range s.worker.budgets {
		b.trial += sign * s.worker.draw(s)
	}
}

// countGuaranteedDraw counts a share that is bound to a guarantee.
func (s share) countGuaranteedDraw(sign floor.Watts) {
	for _, b := range s.worker.budgets {
		b.guaranteed += sign * s.worker.draw(s)
	}
}

// countRunningDraw counts a share of a running job.
func (s share) countRunningDraw(sign floor.Watts) {
	draw := sign * s.worker.draw(s)
	s.worker.nominalDraw += draw
	for _, b := range s.worker.budgets {
		b.running += draw
	}
}

// countHeldDraw counts a share of a pending job.
func (s share) countHeldDraw(sign floor.Watts) {
	for _, b := range s.worker.budgets {
		b.held += sign * s.worker.draw(s)
	}
}

func (p *policy) SetBudgets(budgets []Budget) {
	p.floor.limits = slices.Clone(budgets)
	p.floor.rebuildBudgets()
	p.rebindDue = true
	p.noteFreed()
}

func (p *policy) ReportDraw(at time.Time, id floor.WorkerID, draw floor.Watts) {
	w, ok := p.floor.byID[id]
	if !ok || at.Before(w.reportedAt) {
		return
	}
	w.reportedDraw, w.reportedAt = draw, at
	p.changes++
}

// currentDraw returns the power draw of a worker: as it was last reported, or,
// if the report is older than twice the lag, as is expected of the running
// jobs.
func (w *worker) currentDraw(now time.Time, lag time.Duration) floor.Watts {
	if w.reportedAt.IsZero() || now.Sub(w.reportedAt) > 2*lag {
		return w.nominalDraw
	}
	return w.reportedDraw
}

// enforceBudgets slows borrowers down, and then evicts them, where a budget is
// exceeded: by the current draw, or by the committed draw, which is what
// running jobs are expected to draw, without borrowers that have been told to
// stop.
func (p *policy) enforceBudgets() {
	for _, b := range p.floor.budgets {
		drawn := floor.Watts(0)
		for _, w := range b.workers {
			drawn += w.currentDraw(p.now, p.config.ReportLag)
		}
		committed := b.running - b.leavingDraw()
		switch over := max(drawn, committed) > b.limit; {
		case committed > b.limit, over && !p.now.Before(b.nextStep):
			b.exceeded = true
			p.reduceDraw(b, max(drawn, committed)-b.limit, committed > b.limit)
		case !over && b.exceeded:
			b.exceeded = false
			b.nextStep = time.Time{}
			p.noteFreed()
		}
		if !b.exceeded {
			p.endThrottles(b, drawn)
		}
	}
}

// reduceDraw reduces the draw under a budget by the excess. If only the current
// draw exceeds the budget, it slows jobs down first, which is taken to halve
// their draw, and evicts those that were slowed at least a report lag ago. With
// overcommitted, which means that the committed draw exceeds it, any borrower
// may be evicted. The next step waits until reports can show the effect.
func (p *policy) reduceDraw(b *budget, excess floor.Watts, overcommitted bool) {
	b.nextStep = p.now.Add(p.config.ReportLag)
	for excess > 0 && !overcommitted {
		t := p.cheapestBorrower(b, func(t *jobEntry) bool { return !t.throttled })
		if t == nil {
			break
		}
		t.throttled = true
		t.throttledAt = p.now
		p.addDecision(Throttle{Job: t.ID, Slow: true})
		excess -= b.drawOf(t) / 2
	}
	for excess > 0 {
		t := p.cheapestBorrower(b, func(t *jobEntry) bool {
			return overcommitted || !t.throttled || !p.now.Before(t.throttledAt.Add(p.config.ReportLag))
		})
		if t == nil {
			return
		}
		excess -= b.drawOf(t)
		p.evict(t, p.config.Grace)
	}
}

// endThrottles lets slowed jobs return to full speed as far as the budget
// allows.
func (p *policy) endThrottles(b *budget, drawn floor.Watts) {
	for _, w := range b.workers {
		for _, t := range w.jobs {
			if t.throttled && t.state == stateRunning && (drawn+b.drawOf(t.jobEntry)/2)*100 <= b.limit*unthrottlePercent && t.withinBudgets() {
				t.throttled = false
				drawn += b.drawOf(t.jobEntry) / 2
				p.addDecision(Throttle{Job: t.ID})
			}
		}
	}
}

// withinBudgets reports whether none of the job's budgets is exceeded.
func (t *jobEntry) withinBudgets() bool {
	for _, s := range t.shares {
		if slices.ContainsFunc(s.worker.budgets, func(b *budget) bool { return b.exceeded }) {
			return false
		}
	}
	return true
}

// cheapestBorrower returns, of the running borrowers under a budget for which
// wanted returns true, the one that costs the least to evict, or nil.
func (p *policy) cheapestBorrower(b *budget, wanted func(*jobEntry) bool) *jobEntry {
	var best *jobEntry
	lowest := forbidden
	for _, w := range b.workers {
		for _, t := range w.jobs {
			if t.state != stateRunning || t.guarantee != nil || !wanted(t.jobEntry) {
				continue
			}
			if cost := p.lostWork(t.jobEntry, p.config.Grace); cost < lowest && b.drawOf(t.jobEntry) > 0 {
				best, lowest = t.jobEntry, cost
			}
		}
	}
	return best
}

// leavingDraw returns the draw of borrowers that have been told to stop.
func (b *budget) leavingDraw() floor.Watts {
	total := floor.Watts(0)
	for _, w := range b.workers {
		for _, t := range w.jobs {
			if t.state == stateLeaving && t.guarantee == nil {
				total += w.draw(t.share(w))
			}
		}
	}
	return total
}

// reclaimCooling evicts the cheapest borrowers until a guaranteed or urgent job
// fits within its budgets.
func (p *policy) reclaimCooling(t *jobEntry, grace time.Duration) {
	for _, s := range t.shares {
		for _, b := range s.worker.budgets {
			held := b.held
			if t.state == statePending {
				held = 0
			}
			for b.running-b.leavingDraw()+held+b.drawOf(t) > b.limit {
				v := p.cheapestBorrower(b, func(v *jobEntry) bool { return t.guaranteed() || !v.urgent })
				if v == nil {
					break
				}
				p.evict(v, grace)
			}
		}
	}
}

// fitsBudgets reports whether the budgets allow the job to start while all
// running jobs go on.
func (t *jobEntry) fitsBudgets() bool {
	for _, s := range t.shares {
		s.countRunningDraw(1)
	}
	fits := true
	for _, s := range t.shares {
		for _, b := range s.worker.budgets {
			fits = fits && b.running <= b.limit
		}
	}
	for _, s := range t.shares {
		s.countRunningDraw(-1)
	}
	return fits
}

// drawOf returns the draw of a job that counts against the budget.
func (b *budget) drawOf(t *jobEntry) floor.Watts {
	total := floor.Watts(0)
	for _, s := range t.shares {
		if slices.Contains(s.worker.budgets, b) {
			total += s.worker.draw(s)
		}
	}
	return total
}
