package scheduler

import (
	"slices"
	"time"
)

const (
	// forbidden is the cost of a place that must not be taken.
	forbidden = 1 << 40

	// unanswered weighs a job that cannot run again once it was stopped.
	unanswered = 1 << 24

	lossUnit = time.Minute

	// checkpointTime is the grace below which no checkpoint is counted on.
	checkpointTime = 15 * time.Second

	// stopAllowance is the time after the grace in which a job that was told to
	// stop must be off its place. It is told again, without grace, after that.
	stopAllowance = 5 * time.Second
)

// displace makes a task leave its place.
func (p *policy) displace(t *task, grace time.Duration) {
	switch t.state {
	case statePending:
		p.giveUp(t)
	case stateRunning:
		t.state = stateLeaving
		t.deadline = p.now.Add(grace + stopAllowance)
		p.leaving = append(p.leaving, t)
		p.changes++
		p.decide(Reclaim{Job: t.ID, Grace: grace, Checkpoint: t.Checkpoint})
	case stateLeaving:
		if sooner := p.now.Add(grace + stopAllowance); sooner.Before(t.deadline) {
			t.deadline = sooner
			p.decide(Reclaim{Job: t.ID, Grace: grace, Checkpoint: t.Checkpoint})
		}
	case stateWaiting, stateBackoff:
	}
}

// weigh is the work in minutes of an accelerator that is lost if a task leaves.
func (p *policy) weigh(t *task, grace time.Duration) int {
	switch {
	case t.cell != nil:
		return forbidden
	case t.state == stateLeaving:
		return 0
	case t.state == statePending:
		return 1
	case !t.Idempotent:
		return unanswered + t.members()
	}
	lost := 1 + int(p.now.Sub(t.started)/lossUnit)
	if t.Checkpoint && grace >= checkpointTime {
		lost = 1 + min(lost, 2)
	}
	return lost * t.members()
}

// loss is the cost of clearing a share, or forbidden.
func (p *policy) loss(t *task, s share, firm bool) int {
	var total int
	p.victims, total = p.victimsOf(t, s, firm, p.victims[:0])
	return total
}

// victimsOf appends the tasks that must leave a share, and returns their loss.
// Firm says that a guarantee asks.
func (p *policy) victimsOf(t *task, s share, firm bool, victims []*task) ([]*task, int) {
	w := s.worker
	total := 0
	used := w.busyAmount.plus(s.amount)
	add := func(v part) {
		victims = append(victims, v.task)
		total += p.price(t, v.task, firm)
		used = used.minus(v.amount)
	}
	for _, v := range w.tasks {
		if v.task != t && v.mask&s.mask != 0 {
			add(v)
		}
	}
	for _, v := range w.pending {
		if v.task == t {
			continue
		}
		used = used.plus(v.amount)
		if v.mask&s.mask != 0 {
			add(v)
		}
	}
	for !used.within(w.capacity()) {
		next, ok := p.cheapest(t, w, firm, victims)
		if !ok {
			return victims, forbidden
		}
		add(next)
	}
	return victims, min(total, forbidden)
}

// price is what a victim weighs for a task. Urgent work leaves for guarantees
// only; for a job that waited long only smaller jobs leave, that can run again.
func (p *policy) price(t, victim *task, firm bool) int {
	switch {
	case firm || victim.state == stateLeaving:
	case victim.urgent, victim.host != nil:
		return forbidden
	case t != nil && !t.urgent && (!victim.Idempotent || victim.members() >= t.members()):
		return forbidden
	}
	grace := p.config.Grace
	if t != nil && t.urgent {
		grace = p.config.UrgentGrace
	}
	return p.weigh(victim, grace)
}

// cheapest returns the task on a worker whose leaving costs the least.
func (p *policy) cheapest(t *task, w *worker, firm bool, except []*task) (best part, found bool) {
	lowest := forbidden
	for _, list := range [][]part{w.tasks, w.pending} {
		for _, v := range list {
			if v.task == t || slices.Contains(except, v.task) {
				continue
			}
			if price := p.price(t, v.task, firm); price < lowest {
				best, lowest, found = v, price, true
			}
		}
	}
	return best, found
}
