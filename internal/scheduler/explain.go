package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
)

const (
	maxBlockers = 8
)

func (p *policy) Explain(now time.Time, id job.ID) (Explanation, bool) {
	p.advanceClock(now)
	t, ok := p.jobs[id]
	if !ok {
		return Explanation{}, false
	}
	e := Explanation{Job: id, Waiting: !t.active()}
	switch t.state {
	case stateRunning:
		e.Reason = "running on borrowed capacity"
		if t.guarantee != nil {
			e.Reason = "running on guaranteed capacity"
		}
	case stateLeaving:
		e.Reason = "being reclaimed for another job"
	case statePending:
		e.Position = 1
		e.Reason = "waiting for reclaimed jobs to release its place"
		e.Blockers = t.blockers()
	case stateBackoff:
		e.Reason = fmt.Sprintf("failed %d times, next attempt at %s", t.failures, t.notBefore.UTC().Format(time.RFC3339))
	case stateWaiting:
		p.explainWaiting(&e, t)
	}
	return e, true
}

func (p *policy) explainWaiting(e *Explanation, t *jobEntry) {
	e.Position = p.queuePosition(t)
	if t.reservation != nil {
		e.Reserved = t.reservation.startAt
		e.Reason = "a place is reserved for it"
		e.Blockers = (&jobEntry{shares: t.reservation.shares}).blockers()
		return
	}
	switch {
	case !p.floor.canHold(t.Shape):
		e.Reason = "no known workers can hold its shape"
	case slices.ContainsFunc(p.floor.budgets, func(b *budget) bool { return b.exceeded }):
		e.Reason = "a cooling budget is exhausted, or no capacity is free for its shape"
	default:
		e.Reason = "no capacity is free for its shape"
	}
}

// queuePosition returns the position of a waiting job in its account's queue,
// from one.
func (p *policy) queuePosition(t *jobEntry) int {
	position := 1
	for _, l := range t.tenant.lanes {
		switch {
		case l.priority < t.lane.priority:
			position += l.len()
		case l.priority == t.lane.priority:
			i, _ := slices.BinarySearchFunc(l.jobs[l.first:], t, bySubmission)
			position += i
		}
	}
	return position
}

// blockers returns up to maxBlockers jobs that run on the shares of a job.
func (t *jobEntry) blockers() []job.ID {
	var ids []job.ID
	for _, s := range t.shares {
		for _, v := range s.worker.jobs {
			taken := s.mask == 0 || v.mask&s.mask != 0
			if taken && len(ids) < maxBlockers && !slices.Contains(ids, v.ID) {
				ids = append(ids, v.ID)
			}
		}
	}
	return ids
}

func (p *policy) Overview(now time.Time) Overview {
	p.advanceClock(now)
	var overview Overview
	for _, w := range p.floor.workers {
		if w.removed {
			continue
		}
		state := WorkerState{
			Worker: w.Worker, Busy: w.busy, Cores: w.busyAmount.cores, Memory: w.busyAmount.memory,
			Slots: w.busyAmount.slots, Draining: w.draining, Quarantined: !w.quarantinedUntil.IsZero(),
		}
		for _, t := range w.jobs {
			state.Jobs = append(state.Jobs, t.ID)
		}
		overview.Workers = append(overview.Workers, state)
	}
	for _, t := range p.tenants {
		state := AccountState{Account: t.name, Waiting: t.waiting, Running: t.running}
		for _, g := range t.guarantees {
			if !g.fullyBound() {
				state.AtRisk++
			}
		}
		overview.Queues = append(overview.Queues, state)
	}
	overview.Fragmentation = p.fragmentation()
	return overview
}

// fragmentation returns the fraction of the free accelerators that cannot serve
// the largest waiting shape.
func (p *policy) fragmentation() float64 {
	var largest floor.Shape
	for _, sg := range p.shapeGroups {
		if sg.shape.Workers*sg.shape.Accelerators > largest.Workers*largest.Accelerators {
			largest = sg.shape
		}
	}
	if largest.Accelerators == 0 {
		return 0
	}
	n := needOf(largest)
	free, useful := 0, 0
	for _, d := range p.floor.domains(largest.Adjacency) {
		count := 0
		for _, w := range d.workers {
			if !w.usable() {
				continue
			}
			unused := w.Accelerators - w.busy.Count()
			free += unused
			if _, _, ok := alignedGroup(w.busy, w.Accelerators, n.accelerators); ok && w.busyAmount.plus(n.amount).within(w.capacity()) {
				count += unused / n.accelerators
			}
		}
		useful += count / largest.Workers * largest.Workers * n.accelerators
	}
	if free == 0 {
		return 0
	}
	return 1 - float64(useful)/float64(free)
}
