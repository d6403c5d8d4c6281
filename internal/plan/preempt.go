package plan

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lovageroad/lovageroad/internal/work"
)

// preemption lists the tasks to stop on a worker so that one task of a demand fits.
type preemption struct {
	worker   *workerState
	victims  []Occupant
	lostWork float64
}

// reserve reserves capacity for the waiting tasks of a demand: capacity that is
// free or about to become free, or else that of the tasks whose preemption loses
// the least work. The tasks start in a later plan, when the capacity is free. A
// gang gets a reservation for all its tasks or for none. The workers are those of the
// first group in which all waiting tasks can fit, or all eligible ones if there is
// no such group.
func (p *planner) reserve(d *Demand) {
	candidates := p.eligible(d)
	for _, group := range p.preemptionGroups(d, candidates) {
		if group.canFit(d) {
			candidates = group
			break
		}
	}
	before := p.snapshot(d)
	for len(d.Waiting) > 0 {
		e, ok := cheapestPreemption(d, candidates)
		if !ok {
			break
		}
		for _, victim := range e.victims {
			p.stop(victim)
		}
		d.PreemptionBudget -= e.lostWork
		p.assign(d, e.worker)
	}
	if d.Spec.Gang && len(d.Waiting) > 0 {
		p.restore(d, before)
	}
}

// plannerSnapshot is the state that serving a demand changes, except the demand's
// budget.
type plannerSnapshot struct {
	free, projectedFree   []work.Resources
	stopping              []map[work.TaskID]bool
	startCount, stopCount int
	waiting               []int
	tasksPerWorker        map[WorkerID]int
}

// snapshot returns the state to which restore goes back if a gang does not fit.
func (p *planner) snapshot(d *Demand) plannerSnapshot {
	s := plannerSnapshot{startCount: len(p.decision.Starts), stopCount: len(p.decision.Stops), waiting: d.Waiting, tasksPerWorker: maps.Clone(d.TasksPerWorker)}
	for _, w := range p.workerStates {
		s.free = append(s.free, w.free)
		s.projectedFree = append(s.projectedFree, w.projectedFree)
		s.stopping = append(s.stopping, maps.Clone(w.stopping))
	}
	return s
}

func (p *planner) restore(d *Demand, s plannerSnapshot) {
	for i, w := range p.workerStates {
		w.free, w.projectedFree, w.stopping = s.free[i], s.projectedFree[i], s.stopping[i]
	}
	p.decision.Starts = p.decision.Starts[:s.startCount]
	p.decision.Stops = p.decision.Stops[:s.stopCount]
	d.Waiting, d.TasksPerWorker = s.waiting, s.tasksPerWorker
}

// workerGroup is a set of workers over which the tasks of one demand may be spread.
type workerGroup []*workerState

// preemptionGroups returns the sets of workers that are close enough for a demand,
// ordered by the work that preemption there would lose.
func (p *planner) preemptionGroups(d *Demand, all []*workerState) []workerGroup {
	if d.Spec.DataRack != "" {
		return []workerGroup{inRack(all, d.Spec.DataRack)}
	}
	if !d.Spec.SameRack || d.Spec.Count < 2 {
		return []workerGroup{all}
	}
	var groups []workerGroup
	for _, rack := range byRack(all) {
		groups = append(groups, rack)
	}
	slices.SortStableFunc(groups, func(a, b workerGroup) int { return cmp.Compare(a.lostWork(d), b.lostWork(d)) })
	return groups
}

// canFit reports whether all waiting tasks would fit into the group if every
// preemptible task in it were stopped, whatever work that loses.
func (g workerGroup) canFit(d *Demand) bool {
	n := 0
	for _, w := range g {
		available := w.projectedFree
		for _, o := range w.Occupants {
			if w.preemptible(d, o) {
				available = available.Add(o.Request)
			}
		}
		n += w.limitPerRunner(d, fitCount(available, d.Spec.Request()))
	}
	return n >= len(d.Waiting)
}

// lostWork estimates the work in core-seconds that preemption in the group would
// lose. It is 0 if all waiting tasks will fit without preemption, and else the sum
// over one preemption on each worker.
func (g workerGroup) lostWork(d *Demand) float64 {
	total := 0.0
	unplaced := len(d.Waiting)
	for _, w := range g {
		unplaced -= w.fitsLater(d)
	}
	if unplaced <= 0 {
		return 0
	}
	for _, w := range g {
		if e, ok := w.preemptionFor(d); ok {
			total += e.lostWork
		}
	}
	return total
}

// cheapestPreemption returns the preemption that frees capacity for one task of the
// demand at the least loss of work. It returns false if there is none.
func cheapestPreemption(d *Demand, workers []*workerState) (preemption, bool) {
	var best preemption
	for _, w := range workers {
		e, ok := w.preemptionFor(d)
		if !ok {
			continue
		}
		if best.worker == nil || e.lostWork < best.lostWork || e.lostWork == best.lostWork && ranksBefore(d, w, best.worker) {
			best = e
		}
	}
	return best, best.worker != nil
}

// preemptible reports whether the demand may preempt a task.
func (w *workerState) preemptible(d *Demand, o Occupant) bool {
	return !o.Protected && !w.stopping[o.Task] && (d.Guaranteed || o.Priority > d.Priority)
}

// preemptionFor returns the tasks to stop on the worker so that one task of the
// demand fits: none if it will fit anyway, or else those of the lowest priority,
// and among these the ones that lose the least work. It returns false if that does
// not free enough capacity or exceeds the demand's budget.
func (w *workerState) preemptionFor(d *Demand) (preemption, bool) {
	e := preemption{worker: w}
	if w.fitsLater(d) > 0 {
		return e, true
	}
	if w.limitPerRunner(d, 1) == 0 {
		return e, false
	}
	var candidates []Occupant
	for _, o := range w.Occupants {
		if w.preemptible(d, o) {
			candidates = append(candidates, o)
		}
	}
	slices.SortStableFunc(candidates, func(a, b Occupant) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.LostWork, b.LostWork))
	})
	available := w.projectedFree
	for _, o := range candidates {
		if fitCount(available, d.Spec.Request()) > 0 {
			break
		}
		available = available.Add(o.Request)
		e.victims = append(e.victims, o)
	}
	if fitCount(available, d.Spec.Request()) == 0 {
		return e, false
	}
	e.dropUnneeded(available, d.Spec.Request())
	return e, d.Guaranteed || e.lostWork <= d.PreemptionBudget
}

// dropUnneeded removes the victims that need not be stopped for the request to fit,
// starting with those that lose the most work, and sums up the loss of the others.
func (e *preemption) dropUnneeded(available, request work.Resources) {
	slices.SortStableFunc(e.victims, func(a, b Occupant) int { return cmp.Compare(b.LostWork, a.LostWork) })
	needed := e.victims[:0]
	for _, o := range e.victims {
		if fitCount(available.Sub(o.Request), request) > 0 {
			available = available.Sub(o.Request)
			continue
		}
		needed = append(needed, o)
		e.lostWork += o.LostWork
	}
	e.victims = needed
}

// stop adds a task to the decision's stops and marks it as stopping. For a
// member of a gang it does so for all members.
func (p *planner) stop(victim Occupant) {
	for _, w := range p.workerStates {
		for _, o := range w.Occupants {
			affected := o.Task == victim.Task || victim.Gang && o.Task.StepID == victim.Task.StepID
			if !affected || w.stopping[o.Task] {
				continue
			}
			w.stopping[o.Task] = true
			w.projectedFree = w.projectedFree.Add(o.Request)
			p.decision.Stops = append(p.decision.Stops, o.Task)
		}
	}
}
