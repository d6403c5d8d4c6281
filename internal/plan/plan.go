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
	"time"

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

		// Remaining is how long the task is expected to run on.
		Remaining time.Duration
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

		// Slowdown is the run time of tasks on the worker against the usual one. 0 means 1.
		Slowdown float64
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

		// EarmarkHorizon is how far ahead capacity may be kept for the demand if it does
		// not fit now. Zero means that none is.
		EarmarkHorizon time.Duration

		// IdleReserve is how many idle workers of the pool the demand must leave free for
		// more urgent work.
		IdleReserve int

		// AllowRemote allows workers outside the rack of the step's data, or a SameRack
		// step over several racks, if the preferred workers lack free capacity.
		AllowRemote bool

		// MaxSlowdown is the greatest slowdown of a worker at which the demand can meet its
		// objective. 0 means that there is no limit.
		MaxSlowdown float64

		// Trusted says that the demand must not use workers with a Penalty.
		Trusted bool

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

		// Beneficiaries are the steps for which the tasks in Stops stop, in the same
		// order.
		Beneficiaries []work.StepID
	}

	// planner is the state of one call of Plan.
	planner struct {
		workerStates []*workerState
		pools        map[work.PoolID]*poolState
		candidates   map[requirement]*candidates
		decision     Decision

		// stopped are the occupants of decision.Stops, in the same order.
		stopped []occupantRef

		// membersByStep has the occupants of each step. It is built when the first
		// task is stopped.
		membersByStep map[work.StepID][]occupantRef

		// demandNumber numbers the demands, from 1.
		demandNumber int

		// uneven says that the workers' slowdowns differ. fastEnough is the buffer of
		// placeInTime.
		uneven     bool
		fastEnough []*workerState
	}
)

// Plan returns the tasks to start and to stop. It serves the demands in the
// order given, and modifies them: it takes the tasks that start, get a reservation or
// have capacity earmarked for them off Waiting, counts them in TasksPerWorker if there is a MaxPerRunner
// limit, and subtracts the work lost by preemption from PreemptionBudget. For a gang
// that gets no reservation it restores Waiting and TasksPerWorker, but not
// PreemptionBudget.
func Plan(workers []Worker, demands []Demand) Decision {
	p := newPlanner(workers)
	for i := range demands {
		p.serve(&demands[i])
	}
	return p.decision
}

// serve places the waiting tasks of a demand. If not all fit, a demand that may
// preempt others reserves capacity for the rest, and for a demand that may wait for others
// capacity is earmarked.
func (p *planner) serve(d *Demand) {
	p.demandNumber++
	for _, id := range d.Avoid {
		if w := p.worker(id); w != nil {
			w.avoidedBy = p.demandNumber
		}
	}
	p.rankSpeeds(d)
	groups := p.groups(d)
	if p.placeInTime(d, groups) {
		return
	}
	for _, group := range groups {
		if p.place(d, group) {
			return
		}
	}
	if d.Guaranteed || d.PreemptionBudget > 0 {
		p.reserve(d)
	}
	if d.EarmarkHorizon > 0 {
		p.earmark(d)
	}
}

// groups returns the sets of workers to try, in order of preference. A gang is
// placed within one set.
func (p *planner) groups(d *Demand) [][]*workerState {
	c := p.candidatesOf(d)
	var preferred [][]*workerState
	switch {
	case d.Spec.DataRack != "":
		preferred = [][]*workerState{c.inRack(d.Spec.DataRack)}
	case d.Spec.SameRack && d.Spec.Count > 1:
		preferred = c.racksByFreeAccelerators()
	default:
		return [][]*workerState{c.all}
	}
	if d.AllowRemote {
		preferred = append(preferred, c.all)
	}
	return preferred
}

// place starts the waiting tasks of a demand on the given workers and reports
// whether none is left. A gang starts as a whole or not at all.
func (p *planner) place(d *Demand, workers []*workerState) bool {
	if d.Spec.Gang && !fits(d, workers) {
		return false
	}
	var before snapshot
	if d.Spec.Gang {
		before = p.snapshot(d, workers)
	}
	for len(d.Waiting) > 0 {
		best := p.bestFit(d, workers)
		if best == nil || best.idle() && best.pool.idleReserveReached(d) {
			if d.Spec.Gang {
				p.restore(d, before)
			}
			return false
		}
		p.start(d, best)
	}
	return true
}

// fits reports whether all waiting tasks of the demand fit on the workers now.
func fits(d *Demand, workers []*workerState) bool {
	n := 0
	for _, w := range workers {
		if n += w.fitsNow(d); n >= len(d.Waiting) {
			return true
		}
	}
	return false
}

// bestFit returns the best-ranked worker on which the next task fits, or nil if
// there is none. Among equally suitable workers it is the one with the least free
// capacity, so that whole workers stay free for large tasks.
func (p *planner) bestFit(d *Demand, workers []*workerState) *workerState {
	request := d.Spec.Request()
	var best *workerState
	for _, w := range workers {
		if request.Fits(w.free) && request.Fits(w.projectedFree) && w.allowsOneMore(d) && (best == nil || p.ranksBefore(w, best)) {
			best = w
		}
	}
	return best
}

// ranksBefore reports whether the demand that is being served uses worker a rather
// than b.
func (p *planner) ranksBefore(a, b *workerState) bool {
	if avoidA, avoidB := a.avoidedBy == p.demandNumber, b.avoidedBy == p.demandNumber; avoidA != avoidB {
		return avoidB
	}
	if a.Penalty != b.Penalty {
		return a.Penalty < b.Penalty
	}
	if a.speedRank != b.speedRank {
		return a.speedRank < b.speedRank
	}
	if a.projectedFree.Accelerators != b.projectedFree.Accelerators {
		return a.projectedFree.Accelerators < b.projectedFree.Accelerators
	}
	if a.projectedFree.Processor != b.projectedFree.Processor {
		return a.projectedFree.Processor < b.projectedFree.Processor
	}
	return a.ID < b.ID
}

// start starts the first waiting task of the demand on the worker.
func (p *planner) start(d *Demand, w *workerState) {
	task := work.TaskID{StepID: d.Step, Index: d.Waiting[0]}
	p.decision.Starts = append(p.decision.Starts, Start{Task: task, Worker: w.ID})
	w.setFree(w.free.Sub(d.Spec.Request()), w.projectedFree)
	p.assign(d, w)
}

// assign takes the first waiting task off the demand and subtracts its request from
// the worker's projected free capacity.
func (p *planner) assign(d *Demand, w *workerState) {
	w.setFree(w.free, w.projectedFree.Sub(d.Spec.Request()))
	d.Waiting = d.Waiting[1:]
	if d.Spec.MaxPerRunner > 0 {
		if d.TasksPerWorker == nil {
			d.TasksPerWorker = make(map[WorkerID]int)
		}
		d.TasksPerWorker[w.ID]++
	}
}
