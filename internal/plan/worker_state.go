package plan

import (
	"cmp"
	"math"
	"slices"

	"github.com/lovageroad/lovageroad/internal/work"
)

type (
	// workerState is a worker with its free capacity during one call of Plan.
	workerState struct {
		*Worker
		pool *poolState

		// free is the capacity that is free now. projectedFree is what will be free
		// once all stopping tasks have ended and all tasks assigned in this plan
		// have started.
		free, projectedFree work.Resources

		// stopping says which of the occupants are stopping.
		stopping []bool

		// victims are the indexes of the occupants that may be preempted, in the
		// order in which they are: those of the lowest priority first, and among
		// these the ones that lose the least work.
		victims []int

		// ends are the indexes of the occupants in the order in which they are expected
		// to end, or nil if that has not been needed yet.
		ends []int

		// someEndSoon says that an occupant is expected to end before a stop of it would
		// take effect.
		someEndSoon bool

		// avoidedBy is the number of the last demand that avoids the worker.
		avoidedBy int

		// slowdownClass is the class of workers of about the same slowdown. speedRank ranks
		// the worker by its speed for the demand that is served.
		slowdownClass, speedRank int

		// interference is the demand's Interference of the worker. It is set only while
		// planner.interferes.
		interference float64

		// revision counts the changes of projectedFree and stopping.
		revision int
	}

	// poolState is the capacity of a pool's schedulable workers.
	poolState struct {
		idleWorkers                       int
		freeAccelerators, allAccelerators int64
	}

	// occupantRef refers to an occupant of a worker.
	occupantRef struct {
		worker *workerState
		index  int
	}
)

// newPlanner returns the state before the first demand is served.
func newPlanner(workers []Worker) *planner {
	p := &planner{
		workerStates: make([]*workerState, len(workers)),
		pools:        make(map[work.PoolID]*poolState), candidates: make(map[requirement]*candidates),
	}
	states := make([]workerState, len(workers))
	for i := range workers {
		pool := p.pools[workers[i].Pool]
		if pool == nil {
			pool = &poolState{}
			p.pools[workers[i].Pool] = pool
		}
		states[i].init(&workers[i], pool)
		p.workerStates[i] = &states[i]
	}
	p.findUneven()
	return p
}

// worker returns the worker with the given ID, or nil if there is none.
func (p *planner) worker(id WorkerID) *workerState {
	for _, w := range p.workerStates {
		if w.ID == id {
			return w
		}
	}
	return nil
}

func (w *workerState) init(worker *Worker, pool *poolState) {
	w.Worker, w.pool = worker, pool
	w.free, w.projectedFree = worker.Capacity, worker.Capacity
	w.stopping = make([]bool, len(worker.Occupants))
	for i := range worker.Occupants {
		o := &worker.Occupants[i]
		w.free = w.free.Sub(o.Request)
		if o.Stopping {
			w.stopping[i] = true
			continue
		}
		w.projectedFree = w.projectedFree.Sub(o.Request)
		w.someEndSoon = w.someEndSoon || w.endsSoon(i)
		if !o.Protected {
			w.victims = append(w.victims, i)
		}
	}
	slices.SortStableFunc(w.victims, func(a, b int) int {
		x, y := &worker.Occupants[a], &worker.Occupants[b]
		return cmp.Or(cmp.Compare(y.Priority, x.Priority), cmp.Compare(x.LostWork, y.LostWork))
	})
	if !w.Unschedulable {
		pool.allAccelerators += w.Capacity.Accelerators
		pool.count(w, 1)
	}
}

// count adds the worker's free capacity to the pool's, or subtracts it if sign is -1.
func (s *poolState) count(w *workerState, sign int) {
	if w.idle() {
		s.idleWorkers += sign
	}
	s.freeAccelerators += int64(sign) * w.projectedFree.Accelerators
}

// idleReserveReached reports whether the pool has no more idle workers than the
// demand must leave free for more urgent work. The idle reserve does not apply
// while at least half of the pool's accelerators are free.
func (s *poolState) idleReserveReached(d *Demand) bool {
	return d.IdleReserve > 0 && s.idleWorkers <= d.IdleReserve && !s.halfFree()
}

// halfFree reports whether at least half of the pool's accelerators are free.
func (s *poolState) halfFree() bool {
	return 2*s.freeAccelerators >= s.allAccelerators
}

// setFree sets the worker's free capacity and keeps the pool's in line with it.
func (w *workerState) setFree(free, projectedFree work.Resources) {
	if !w.Unschedulable {
		w.pool.count(w, -1)
		defer w.pool.count(w, 1)
	}
	w.free, w.projectedFree = free, projectedFree
	w.revision++
}

// idle reports whether no task runs on the worker or is assigned to it.
func (w *workerState) idle() bool {
	return w.free == w.Capacity && w.projectedFree == w.Capacity
}

// fitsNow returns how many tasks of the demand fit on the worker now, without the
// capacity that is already assigned to others.
func (w *workerState) fitsNow(d *Demand) int {
	request := d.Spec.Request()
	n := min(fitCount(w.free, request), fitCount(w.projectedFree, request))
	return w.limitPerRunner(d, n)
}

// fitsLater returns how many tasks of the demand fit once the stopping tasks have
// ended.
func (w *workerState) fitsLater(d *Demand) int {
	return w.limitPerRunner(d, fitCount(w.projectedFree, d.Spec.Request()))
}

// allowsOneMore reports whether the step's MaxPerRunner allows one more task on the
// worker.
func (w *workerState) allowsOneMore(d *Demand) bool {
	return d.Spec.MaxPerRunner <= 0 || d.TasksPerWorker[w.ID] < d.Spec.MaxPerRunner
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
	if !request.Fits(free) {
		return 0
	}
	n := int64(math.MaxInt32)
	for _, pair := range [...][2]int64{
		{int64(free.Processor), int64(request.Processor)},
		{int64(free.Memory), int64(request.Memory)},
		{free.Accelerators, request.Accelerators},
	} {
		if pair[1] > 0 {
			n = min(n, pair[0]/pair[1])
		}
	}
	return int(n)
}
