package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/work"
)

// StopTime is about how long a task takes to end after it has been preempted, with the way
// of the order. A task with less Remaining is not preempted.
const StopTime = 700 * time.Millisecond

type (
	// preemption lists the occupants to stop on a worker so that one task of a demand
	// fits. possible is false if stopping all that the demand may preempt does not free
	// enough capacity.
	preemption struct {
		worker   *workerState
		victims  []int
		lostWork float64
		possible bool

		// revision is the worker's when the preemption was computed.
		revision int
	}

	// snapshot is the state that serving a demand changes, except the demand's
	// budget.
	snapshot struct {
		workers               []*workerState
		free                  [][2]work.Resources
		startCount, stopCount int
		waiting               []int
		tasksPerWorker        map[WorkerID]int
	}

	// workerGroup is a set of workers over which the tasks of one demand may be spread.
	workerGroup []*workerState
)

// reserve reserves capacity for the waiting tasks of a demand: capacity that is
// free or about to become free, or else that of the tasks whose preemption loses
// the least work. The tasks start in a later plan, when the capacity is free. A
// gang gets a reservation for all its tasks or for none. The workers are those of the
// first group in which all waiting tasks can fit, or all eligible ones if there is
// no such group. Workers on which the demand can't meet its objective get reservations only
// for guaranteed demands.
func (p *planner) reserve(d *Demand) {
	workers, ok := p.reserveGroup(d)
	if !ok {
		return
	}
	var before snapshot
	if d.Spec.Gang {
		before = p.snapshot(d, p.workerStates)
	}
	preemptions := make([]preemption, len(workers))
	for len(d.Waiting) > 0 {
		e := p.cheapestPreemption(d, workers, preemptions)
		if e == nil {
			break
		}
		for _, i := range e.victims {
			p.stop(d, &e.worker.Occupants[i])
		}
		d.PreemptionBudget -= e.lostWork
		p.assign(d, e.worker)
	}
	if d.Spec.Gang && len(d.Waiting) > 0 {
		p.restore(d, before)
	}
}

// reserveGroup returns the workers on which capacity is to be reserved, and false if there are
// none.
func (p *planner) reserveGroup(d *Demand) (workerGroup, bool) {
	groups := p.preemptionGroups(d)
	if p.uneven && d.MaxSlowdown > 0 {
		for _, group := range groups {
			if fast := workerGroup(fastEnough(group, d.MaxSlowdown, nil)); fast.canFit(d) {
				return fast, true
			}
		}
		if !d.Guaranteed {
			fast := fastEnough(p.candidatesOf(d).all, d.MaxSlowdown, nil)
			return fast, len(fast) > 0
		}
	}
	for _, group := range groups {
		if group.canFit(d) {
			return group, true
		}
	}
	return p.candidatesOf(d).all, true
}

// snapshot returns the state to which restore goes back if a gang does not fit. Only
// the given workers may be changed in between.
func (p *planner) snapshot(d *Demand, workers []*workerState) snapshot {
	s := snapshot{
		workers: workers, free: make([][2]work.Resources, len(workers)),
		startCount: len(p.decision.Starts), stopCount: len(p.decision.Stops),
		waiting: d.Waiting, tasksPerWorker: maps.Clone(d.TasksPerWorker),
	}
	for i, w := range workers {
		s.free[i] = [2]work.Resources{w.free, w.projectedFree}
	}
	return s
}

func (p *planner) restore(d *Demand, s snapshot) {
	for i, w := range s.workers {
		if s.free[i] != [2]work.Resources{w.free, w.projectedFree} {
			w.setFree(s.free[i][0], s.free[i][1])
		}
	}
	for _, o := range p.stopped[s.stopCount:] {
		o.worker.stopping[o.index] = false
	}
	p.stopped = p.stopped[:s.stopCount]
	p.decision.Starts = p.decision.Starts[:s.startCount]
	p.decision.Stops = p.decision.Stops[:s.stopCount]
	p.decision.Beneficiaries = p.decision.Beneficiaries[:s.stopCount]
	d.Waiting, d.TasksPerWorker = s.waiting, s.tasksPerWorker
}

// preemptionGroups returns the sets of workers that are close enough for a demand,
// ordered by the work that preemption there would lose.
func (p *planner) preemptionGroups(d *Demand) []workerGroup {
	c := p.candidatesOf(d)
	if d.Spec.DataRack != "" {
		return []workerGroup{c.inRack(d.Spec.DataRack)}
	}
	if !d.Spec.SameRack || d.Spec.Count < 2 {
		return []workerGroup{c.all}
	}
	racks := c.racksByFreeAccelerators()
	return sortedBy(racks, func(workers []*workerState) float64 { return workerGroup(workers).lostWork(d) },
		func(workers []*workerState) workerGroup { return workers })
}

// canFit reports whether all waiting tasks would fit into the group if every
// preemptible task in it were stopped, whatever work that loses.
func (g workerGroup) canFit(d *Demand) bool {
	n := 0
	for _, w := range g {
		available := w.freeSoon()
		for _, i := range w.victims {
			if !w.endsSoon(i) && w.preemptible(d, i) {
				available = available.Add(w.Occupants[i].Request)
			}
		}
		if n += w.limitPerRunner(d, fitCount(available, d.Spec.Request())); n >= len(d.Waiting) {
			return true
		}
	}
	return false
}

// lostWork estimates the work in core-seconds that preemption in the group would
// lose. It is 0 if all waiting tasks will fit without preemption, and else the sum
// over one preemption on each worker.
func (g workerGroup) lostWork(d *Demand) float64 {
	total := 0.0
	unplaced := len(d.Waiting)
	for _, w := range g {
		unplaced -= w.limitPerRunner(d, fitCount(w.freeSoon(), d.Spec.Request()))
	}
	if unplaced <= 0 {
		return 0
	}
	for _, w := range g {
		if e := w.preemptionFor(d); e.allowed(d) {
			total += e.lostWork
		}
	}
	return total
}

// cheapestPreemption returns the preemption that frees capacity for one task of the
// demand at the least loss of work, or nil if there is none. It keeps the preemption
// of each worker in known, and computes only those of workers that have changed.
func (p *planner) cheapestPreemption(d *Demand, workers []*workerState, known []preemption) *preemption {
	var best *preemption
	for i, w := range workers {
		e := &known[i]
		if e.worker == nil || e.revision != w.revision {
			*e = w.preemptionFor(d)
		}
		if !e.allowed(d) {
			continue
		}
		if best == nil || e.lostWork < best.lostWork || e.lostWork == best.lostWork && p.ranksBefore(w, best.worker) {
			best = e
		}
	}
	return best
}

// allowed reports whether the preemption frees enough capacity within the demand's
// budget. Capacity that needs no preemption is always allowed.
func (e *preemption) allowed(d *Demand) bool {
	return e.possible && (len(e.victims) == 0 || d.Guaranteed || e.lostWork <= d.PreemptionBudget)
}

// preemptible reports whether the demand may preempt one of the worker's victims.
func (w *workerState) preemptible(d *Demand, i int) bool {
	return !w.stopping[i] && (d.Guaranteed || w.Occupants[i].Priority > d.Priority)
}

// preemptionFor returns the occupants to stop on the worker so that one task of the
// demand fits: none if it will fit anyway, or else those of the lowest priority,
// and among these the ones that lose the least work.
func (w *workerState) preemptionFor(d *Demand) preemption {
	e := preemption{worker: w, revision: w.revision}
	request := d.Spec.Request()
	if !w.allowsOneMore(d) {
		return e
	}
	available := w.freeSoon()
	if request.Fits(available) {
		e.possible = true
		return e
	}
	for _, i := range w.victims {
		if w.endsSoon(i) || !w.preemptible(d, i) {
			continue
		}
		available = available.Add(w.Occupants[i].Request)
		e.victims = append(e.victims, i)
		if request.Fits(available) {
			e.possible = true
			e.dropUnneeded(available, request)
			return e
		}
	}
	return e
}

// dropUnneeded removes the victims that need not be stopped for the request to fit,
// starting with those that lose the most work, and sums up the loss of the others.
func (e *preemption) dropUnneeded(available, request work.Resources) {
	occupants := e.worker.Occupants
	slices.SortStableFunc(e.victims, func(a, b int) int { return cmp.Compare(occupants[b].LostWork, occupants[a].LostWork) })
	needed := e.victims[:0]
	for _, i := range e.victims {
		if rest := available.Sub(occupants[i].Request); request.Fits(rest) {
			available = rest
			continue
		}
		needed = append(needed, i)
		e.lostWork += occupants[i].LostWork
	}
	e.victims = needed
}

// endsSoon reports whether an occupant is expected to end by itself before a stop of it
// would take effect.
//
// It answers the load of a guaranteed gang that arrives while tasks on the workers that it
// needs are about to end: stopping them gains nothing and loses all their work.
func (w *workerState) endsSoon(i int) bool {
	remaining := w.Occupants[i].Remaining
	return !w.stopping[i] && remaining > 0 && remaining < StopTime
}

// freeSoon returns what will be free on the worker once the stopping tasks and those that
// end before a stop would take effect have ended.
func (w *workerState) freeSoon() work.Resources {
	free := w.projectedFree
	if !w.someEndSoon {
		return free
	}
	for i := range w.Occupants {
		if w.endsSoon(i) {
			free = free.Add(w.Occupants[i].Request)
		}
	}
	return free
}

// stop adds a task to the decision's stops and marks it as stopping. For a
// member of a gang it does so for all members.
func (p *planner) stop(d *Demand, victim *Occupant) {
	for _, member := range p.members(victim.Task.StepID) {
		w, o := member.worker, &member.worker.Occupants[member.index]
		if w.stopping[member.index] || !victim.Gang && o.Task != victim.Task {
			continue
		}
		w.stopping[member.index] = true
		w.setFree(w.free, w.projectedFree.Add(o.Request))
		p.stopped = append(p.stopped, member)
		p.decision.Stops = append(p.decision.Stops, o.Task)
		p.decision.Beneficiaries = append(p.decision.Beneficiaries, d.Step)
	}
}

// members returns the occupants that belong to a step.
func (p *planner) members(step work.StepID) []occupantRef {
	if p.membersByStep == nil {
		p.membersByStep = make(map[work.StepID][]occupantRef)
		for _, w := range p.workerStates {
			for i := range w.Occupants {
				id := w.Occupants[i].Task.StepID
				p.membersByStep[id] = append(p.membersByStep[id], occupantRef{w, i})
			}
		}
	}
	return p.membersByStep[step]
}
