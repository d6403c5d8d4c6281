// Package plan is the placement algorithm of the scheduler: it decides which
// waiting tasks start on which worker, and which running tasks are preempted to
// free capacity for urgent or guaranteed work.
//
// It is built for clusters that are nearly full of tasks of very different sizes
// and get bursts of urgent jobs. It keeps no state: each call of Plan works only on
// the workers and demands that it is given, and handles the demands in the order
// given.
package plan

import (
	"cmp"
	"math"
	"slices"

	"github.com/lovageroad/lovageroad/internal/work"
)

type (
	// WorkerID names a worker.
	WorkerID string

	// Occupant is a task that uses capacity of a worker.
	Occupant struct {
		Task     work.TaskID
		Request  work.Resources
		Priority work.Priority

		// Gang says that stopping the task stops all tasks of its step.
		Gang bool

		// Protected says that the task must not be preempted.
		Protected bool

		// Stopping says that the task has been ordered to stop. It uses its
		// capacity until it has ended.
		Stopping bool

		// LostWork is the work in core-seconds that is lost if the task stops now.
		LostWork float64
	}

	// Worker is a runner with its capacity and the tasks on it.
	Worker struct {
		ID        WorkerID
		Pool      work.PoolID
		Rack      work.RackID
		Labels    []work.Label
		Capacity  work.Resources
		Occupants []Occupant

		// Unschedulable says that no task may start on the worker.
		Unschedulable bool

		// Penalty ranks workers that, for instance, failed or were slow. Of the
		// workers that a demand need not avoid, those with the lowest value are
		// used first.
		Penalty float64
	}

	// Demand is the waiting tasks of one step of a job.
	Demand struct {
		Step    work.StepID
		Spec    work.Step
		Waiting []int
		Pool    work.PoolID

		// Guaranteed says that the demand may preempt every occupant that is not
		// Protected, whatever its priority and loss.
		Guaranteed bool

		// PreemptionBudget bounds the work in core-seconds that may be lost by preempting
		// tasks of lower priority for the demand. Zero forbids it.
		PreemptionBudget float64
		Priority         work.Priority

		// IdleReserve is how many idle workers of the pool the demand must leave free for
		// more urgent work.
		IdleReserve int

		// AllowRemote allows workers outside the rack of the step's data, or a SameRack
		// step over several racks, if the preferred workers lack free capacity.
		AllowRemote bool

		// Avoid lists workers that the demand uses only if no other worker has free
		// capacity.
		Avoid []WorkerID

		// TasksPerWorker counts the tasks of the step that run or have been ordered to
		// start, by worker. It is used only if the step has a MaxPerRunner limit.
		TasksPerWorker map[WorkerID]int
	}

	// Start places a task on a worker.
	Start struct {
		Task   work.TaskID
		Worker WorkerID
	}

	// Decision lists the tasks to start and the tasks to stop.
	Decision struct {
		Starts []Start
		Stops  []work.TaskID
	}

	// workerState is a worker with its free capacity during one call of Plan.
	workerState struct {
		*Worker

		// free is the capacity that is free now. projectedFree is what will be free
		// once all stopping tasks have ended and all tasks assigned in this plan
		// have started.
		free, projectedFree work.Resources
		stopping            map[work.TaskID]bool
	}

	// planner is the state of one call of Plan.
	planner struct {
		workerStates []*workerState
		decision     Decision
	}
)

// Plan returns the tasks to start and to stop. It serves the demands in the
// order given, and modifies them: it takes the tasks that start or get a
// reservation off Waiting, counts them in TasksPerWorker if there is a MaxPerRunner
// limit, and subtracts the work lost by preemption from PreemptionBudget. For a gang
// that gets no reservation it restores Waiting and TasksPerWorker, but not
// PreemptionBudget.
func Plan(workers []Worker, demands []Demand) Decision {
	p := &planner{workerStates: make([]*workerState, 0, len(workers))}
	for i := range workers {
		p.workerStates = append(p.workerStates, newWorkerState(&workers[i]))
	}
	for i := range demands {
		p.serve(&demands[i])
	}
	return p.decision
}

func newWorkerState(worker *Worker) *workerState {
	w := &workerState{Worker: worker, free: worker.Capacity, projectedFree: worker.Capacity, stopping: make(map[work.TaskID]bool)}
	for _, o := range worker.Occupants {
		w.free = w.free.Sub(o.Request)
		if o.Stopping {
			w.stopping[o.Task] = true
			continue
		}
		w.projectedFree = w.projectedFree.Sub(o.Request)
	}
	return w
}

// fitsNow returns how many tasks of the demand fit on the worker now, without the
// capacity that is already assigned to others.
func (w *workerState) fitsNow(d *Demand) int {
	n := min(fitCount(w.free, d.Spec.Request()), fitCount(w.projectedFree, d.Spec.Request()))
	return w.limitPerRunner(d, n)
}

// fitsLater returns how many tasks of the demand fit once the stopping tasks have
// ended.
func (w *workerState) fitsLater(d *Demand) int {
	return w.limitPerRunner(d, fitCount(w.projectedFree, d.Spec.Request()))
}

// limitPerRunner limits n to the tasks that the step's MaxPerRunner still allows on
// the worker.
func (w *workerState) limitPerRunner(d *Demand, n int) int {
	if d.Spec.MaxPerRunner > 0 {
		n = min(n, d.Spec.MaxPerRunner-d.TasksPerWorker[w.ID])
	}
	return max(n, 0)
}

// fitCount returns how many times a request fits into free capacity.
func fitCount(free, request work.Resources) int {
	n := int64(math.MaxInt32)
	for _, pair := range [][2]int64{
		{int64(free.Processor), int64(request.Processor)},
		{int64(free.Memory), int64(request.Memory)},
		{free.Accelerators, request.Accelerators},
	} {
		if pair[1] > 0 {
			n = min(n, pair[0]/pair[1])
		} else if pair[0] < 0 {
			n = 0
		}
	}
	return int(max(n, 0))
}

// serve places the waiting tasks of a demand. If not all fit, a demand that may
// preempt others reserves capacity for the rest.
func (p *planner) serve(d *Demand) {
	for _, group := range p.groups(d) {
		if p.place(d, group) {
			return
		}
	}
	if d.Guaranteed || d.PreemptionBudget > 0 {
		p.reserve(d)
	}
}

// groups returns the sets of workers to try, in order of preference. A gang is
// placed within one set.
func (p *planner) groups(d *Demand) [][]*workerState {
	all := p.eligible(d)
	var preferred [][]*workerState
	switch {
	case d.Spec.DataRack != "":
		preferred = [][]*workerState{inRack(all, d.Spec.DataRack)}
	case d.Spec.SameRack && d.Spec.Count > 1:
		preferred = byRack(all)
	default:
		return [][]*workerState{all}
	}
	if d.AllowRemote {
		preferred = append(preferred, all)
	}
	return preferred
}

// eligible returns the workers of the demand's pool that may run its tasks.
func (p *planner) eligible(d *Demand) []*workerState {
	var workers []*workerState
	for _, w := range p.workerStates {
		if w.Unschedulable || w.Pool != d.Pool {
			continue
		}
		if d.Spec.Requires != "" && !slices.Contains(w.Labels, d.Spec.Requires) {
			continue
		}
		workers = append(workers, w)
	}
	return workers
}

func inRack(workers []*workerState, rack work.RackID) []*workerState {
	var matching []*workerState
	for _, w := range workers {
		if w.Rack == rack {
			matching = append(matching, w)
		}
	}
	return matching
}

// byRack returns the workers of each rack. Racks with the fewest free accelerators
// come first, so that whole racks stay free for large gangs.
func byRack(workers []*workerState) [][]*workerState {
	var racks []work.RackID
	free := make(map[work.RackID]int64)
	for _, w := range workers {
		if !slices.Contains(racks, w.Rack) {
			racks = append(racks, w.Rack)
		}
		free[w.Rack] += w.free.Accelerators
	}
	slices.SortStableFunc(racks, func(a, b work.RackID) int { return cmp.Compare(free[a], free[b]) })
	groups := make([][]*workerState, 0, len(racks))
	for _, rack := range racks {
		groups = append(groups, inRack(workers, rack))
	}
	return groups
}

// place starts the waiting tasks of a demand on the given workers and reports
// whether none is left. A gang starts as a whole or not at all.
func (p *planner) place(d *Demand, workers []*workerState) bool {
	if d.Spec.Gang && !fits(d, workers) {
		return false
	}
	before := p.snapshot(d)
	for len(d.Waiting) > 0 {
		best := bestFit(d, workers)
		if best == nil || best.idle() && p.idleReserveReached(d) {
			if d.Spec.Gang {
				p.restore(d, before)
			}
			return false
		}
		p.start(d, best)
	}
	return true
}

// idleReserveReached reports whether the pool has no more idle workers than the
// demand must leave free for more urgent work. The idle reserve does not apply
// while at least half of the pool's accelerators are free.
func (p *planner) idleReserveReached(d *Demand) bool {
	if d.IdleReserve == 0 {
		return false
	}
	idle := 0
	var free, all int64
	for _, w := range p.workerStates {
		if w.Unschedulable || w.Pool != d.Pool {
			continue
		}
		if w.idle() {
			idle++
		}
		free += w.projectedFree.Accelerators
		all += w.Capacity.Accelerators
	}
	return idle <= d.IdleReserve && 2*free < all
}

// idle reports whether no task runs on the worker or is assigned to it.
func (w *workerState) idle() bool {
	return w.free == w.Capacity && w.projectedFree == w.Capacity
}

// fits reports whether all waiting tasks of the demand fit on the workers now.
func fits(d *Demand, workers []*workerState) bool {
	n := 0
	for _, w := range workers {
		n += w.fitsNow(d)
	}
	return n >= len(d.Waiting)
}

// bestFit returns the best-ranked worker on which the next task fits, or nil if
// there is none. Among equally suitable workers it is the one with the least free
// capacity, so that whole workers stay free for large tasks.
func bestFit(d *Demand, workers []*workerState) *workerState {
	var best *workerState
	for _, w := range workers {
		if w.fitsNow(d) > 0 && (best == nil || ranksBefore(d, w, best)) {
			best = w
		}
	}
	return best
}

// ranksBefore reports whether the demand uses worker a rather than b.
func ranksBefore(d *Demand, a, b *workerState) bool {
	return cmp.Or(
		compareBool(slices.Contains(d.Avoid, a.ID), slices.Contains(d.Avoid, b.ID)),
		cmp.Compare(a.Penalty, b.Penalty),
		cmp.Compare(a.projectedFree.Accelerators, b.projectedFree.Accelerators),
		cmp.Compare(a.projectedFree.Processor, b.projectedFree.Processor),
		cmp.Compare(a.ID, b.ID),
	) < 0
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// start starts the first waiting task of the demand on the worker.
func (p *planner) start(d *Demand, w *workerState) {
	task := work.TaskID{StepID: d.Step, Index: d.Waiting[0]}
	p.decision.Starts = append(p.decision.Starts, Start{Task: task, Worker: w.ID})
	w.free = w.free.Sub(d.Spec.Request())
	p.assign(d, w)
}

// assign takes the first waiting task off the demand and subtracts its request from
// the worker's projected free capacity.
func (p *planner) assign(d *Demand, w *workerState) {
	w.projectedFree = w.projectedFree.Sub(d.Spec.Request())
	d.Waiting = d.Waiting[1:]
	if d.Spec.MaxPerRunner > 0 {
		if d.TasksPerWorker == nil {
			d.TasksPerWorker = make(map[WorkerID]int)
		}
		d.TasksPerWorker[w.ID]++
	}
}
