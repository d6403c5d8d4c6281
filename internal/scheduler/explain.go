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
	p.tell(now)
	t, ok := p.tasks[id]
	if !ok {
		return Explanation{}, false
	}
	e := Explanation{Job: id, Waiting: !t.active()}
	switch t.state {
	case stateRunning:
		e.Reason = "it runs as a borrower"
		if t.cell != nil {
			e.Reason = "it runs on a guarantee"
		}
	case stateLeaving:
		e.Reason = "it was told to leave for other work"
	case statePending:
		e.Place = 1
		e.Reason = "others leave the place that is kept for it"
		e.Blockers = t.blockers()
	case stateBackoff:
		e.Reason = fmt.Sprintf("it failed %d times and is tried again at %s", t.failures, t.notBefore.UTC().Format(time.RFC3339))
	case stateWaiting:
		p.explainWaiting(&e, t)
	}
	return e, true
}

func (p *policy) explainWaiting(e *Explanation, t *task) {
	e.Place = p.placeOf(t)
	if t.head != nil {
		e.Reserved = t.head.at
		e.Reason = "a place is reserved for it"
		e.Blockers = (&task{shares: t.head.shares}).blockers()
		return
	}
	switch {
	case !p.floor.holds(t.Shape):
		e.Reason = "the workers that could hold it are not known or lost"
	case slices.ContainsFunc(p.floor.budgets, func(b *budget) bool { return b.hot }):
		e.Reason = "a cooling budget is used up, or no place is free for its shape"
	default:
		e.Reason = "no place is free for its shape"
	}
}

// placeOf counts the jobs of the account that go before a waiting one, from one.
func (p *policy) placeOf(t *task) int {
	place := 1
	for _, l := range t.tenant.lanes {
		switch {
		case l.rank < t.lane.rank:
			place += l.len()
		case l.rank == t.lane.rank:
			i, _ := slices.BinarySearchFunc(l.tasks[l.first:], t, byArrival)
			place += i
		}
	}
	return place
}

// blockers returns the jobs that run on the shares of a task.
func (t *task) blockers() []job.ID {
	var ids []job.ID
	for _, s := range t.shares {
		for _, v := range s.worker.tasks {
			taken := s.mask == 0 || v.mask&s.mask != 0
			if taken && len(ids) < maxBlockers && !slices.Contains(ids, v.ID) {
				ids = append(ids, v.ID)
			}
		}
	}
	return ids
}

func (p *policy) Overview(now time.Time) Overview {
	p.tell(now)
	var overview Overview
	for _, w := range p.floor.workers {
		if w.lost {
			continue
		}
		state := WorkerState{
			Worker: w.Worker, Busy: w.busy, Cores: w.busyAmount.cores, Memory: w.busyAmount.memory,
			Slots: w.busyAmount.slots, Draining: w.drain, Quarantined: !w.until.IsZero(),
		}
		for _, t := range w.tasks {
			state.Jobs = append(state.Jobs, t.ID)
		}
		overview.Workers = append(overview.Workers, state)
	}
	for _, t := range p.tenants {
		state := QueueState{Account: t.name, Waiting: t.waiting, Running: t.running}
		for _, c := range t.cells {
			if !c.whole() {
				state.AtRisk++
			}
		}
		overview.Queues = append(overview.Queues, state)
	}
	overview.Fragmentation = p.fragmentation()
	return overview
}

// fragmentation is the share of free accelerators that cannot serve the largest
// waiting shape.
func (p *policy) fragmentation() float64 {
	var largest floor.Shape
	for _, c := range p.classes {
		if c.shape.Workers*c.shape.Accelerators > largest.Workers*largest.Accelerators {
			largest = c.shape
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
			open := w.Accelerators - w.busy.Count()
			free += open
			if _, _, ok := group(w.busy, w.Accelerators, n.accelerators); ok && w.busyAmount.plus(n.amount).within(w.capacity()) {
				count += open / n.accelerators
			}
		}
		useful += count / largest.Workers * largest.Workers * n.accelerators
	}
	if free == 0 {
		return 0
	}
	return 1 - float64(useful)/float64(free)
}
