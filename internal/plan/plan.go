// Package plan decides which waiting tasks start on which worker, and which
// running ones are stopped to make room for guaranteed work.
//
// It answers floors that are nearly full of tasks of very different sizes, with
// bursts of urgent jobs. It keeps no state: each call plans from the floor and
// the demands that it is given, in the order in which it is given them.
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

	// Occupant is a task that takes room on a worker.
	Occupant struct {
		Task     work.TaskID
		Claim    work.Resources
		Priority work.Priority

		// Gang says that stopping the task stops all tasks of its step.
		Gang bool

		// Kept says that the task must not be stopped to make room.
		Kept bool

		// Stopping says that the task was told to stop. It still takes room.
		Stopping bool

		// Loss is the work in core-seconds that is lost if the task stops now.
		Loss float64
	}

	// Worker is a runner with its capacity and what runs on it.
	Worker struct {
		ID        WorkerID
		Pool      work.PoolID
		Rack      work.RackID
		Labels    []work.Label
		Capacity  work.Resources
		Occupants []Occupant

		// Closed says that nothing is to start on the worker.
		Closed bool

		// Doubt orders workers that are otherwise equal, and sets apart those
		// that failed or were slow: work goes to less doubtful ones first.
		Doubt float64
	}

	// Demand is the waiting tasks of one step.
	Demand struct {
		Step    work.StepID
		Spec    work.Step
		Waiting []int
		Pool    work.PoolID

		// Guaranteed says that the demand may take the place of all that is not
		// kept.
		Guaranteed bool

		// Budget is the work in core-seconds that may be lost to make room for
		// the demand in the place of tasks of lower priority.
		Budget   float64
		Priority work.Priority

		// Leave is how many idle workers of the pool the demand leaves for more
		// urgent work.
		Leave int

		// Far says that workers away from the step's data, or a gang over
		// several racks, are taken if no near ones have room.
		Far bool

		// Avoid lists workers that the demand is kept off if others have room.
		Avoid []WorkerID

		// Placed counts the tasks of the step that run, by worker, if the step
		// limits them.
		Placed map[WorkerID]int
	}

	// Start places a task.
	Start struct {
		Task   work.TaskID
		Worker WorkerID
	}

	// Decision is what to start and what to stop.
	Decision struct {
		Starts []Start
		Stops  []work.TaskID
	}

	// room is what is left of a worker during one plan.
	room struct {
		*Worker

		// free is left now; coming is left once all that stops has stopped and
		// all that was promised has started.
		free, coming work.Resources
		stopping     map[work.TaskID]bool
	}

	planner struct {
		rooms    []*room
		decision Decision
	}
)

// Plan returns the decision for a floor and the demands in their order.
func Plan(workers []Worker, demands []Demand) Decision {
	p := &planner{rooms: make([]*room, 0, len(workers))}
	for i := range workers {
		p.rooms = append(p.rooms, newRoom(&workers[i]))
	}
	for i := range demands {
		p.serve(&demands[i])
	}
	return p.decision
}

func newRoom(w *Worker) *room {
	r := &room{Worker: w, free: w.Capacity, coming: w.Capacity, stopping: make(map[work.TaskID]bool)}
	for _, o := range w.Occupants {
		r.free = r.free.Sub(o.Claim)
		if o.Stopping {
			r.stopping[o.Task] = true
			continue
		}
		r.coming = r.coming.Sub(o.Claim)
	}
	return r
}

// open returns how many tasks of a step fit on the worker now.
func (r *room) open(d *Demand) int {
	n := min(times(r.free, d.Spec.Claim()), times(r.coming, d.Spec.Claim()))
	return r.limit(d, n)
}

// later returns how many tasks of a step fit once what stops has stopped.
func (r *room) later(d *Demand) int {
	return r.limit(d, times(r.coming, d.Spec.Claim()))
}

func (r *room) limit(d *Demand, n int) int {
	if d.Spec.Spread > 0 {
		n = min(n, d.Spec.Spread-d.Placed[r.ID])
	}
	return max(n, 0)
}

// times returns how often a claim fits into a room.
func times(room, claim work.Resources) int {
	n := int64(math.MaxInt32)
	for _, pair := range [][2]int64{
		{int64(room.Processor), int64(claim.Processor)},
		{int64(room.Memory), int64(claim.Memory)},
		{room.Accelerators, claim.Accelerators},
	} {
		if pair[1] > 0 {
			n = min(n, pair[0]/pair[1])
		} else if pair[0] < 0 {
			n = 0
		}
	}
	return int(max(n, 0))
}

// serve places what it can of a demand, and makes room for a guaranteed one.
func (p *planner) serve(d *Demand) {
	for _, group := range p.groups(d) {
		if p.place(d, group) {
			return
		}
	}
	if d.Guaranteed || d.Budget > 0 {
		p.claim(d)
	}
}

// groups returns the sets of workers to try, the best first. A gang takes all
// its places in one set.
func (p *planner) groups(d *Demand) [][]*room {
	all := p.eligible(d)
	var near [][]*room
	switch {
	case d.Spec.Data != "":
		near = [][]*room{inRack(all, d.Spec.Data)}
	case d.Spec.SameRack && d.Spec.Count > 1:
		near = byRack(all)
	default:
		return [][]*room{all}
	}
	if d.Far {
		near = append(near, all)
	}
	return near
}

func (p *planner) eligible(d *Demand) []*room {
	var rooms []*room
	for _, r := range p.rooms {
		if r.Closed || r.Pool != d.Pool {
			continue
		}
		if d.Spec.Requires != "" && !slices.Contains(r.Labels, d.Spec.Requires) {
			continue
		}
		rooms = append(rooms, r)
	}
	return rooms
}

func inRack(rooms []*room, rack work.RackID) []*room {
	var in []*room
	for _, r := range rooms {
		if r.Rack == rack {
			in = append(in, r)
		}
	}
	return in
}

// byRack returns the workers of each rack, those with the least free
// accelerators first, so that large gangs find whole racks.
func byRack(rooms []*room) [][]*room {
	var racks []work.RackID
	free := make(map[work.RackID]int64)
	for _, r := range rooms {
		if !slices.Contains(racks, r.Rack) {
			racks = append(racks, r.Rack)
		}
		free[r.Rack] += r.free.Accelerators
	}
	slices.SortStableFunc(racks, func(a, b work.RackID) int { return cmp.Compare(free[a], free[b]) })
	groups := make([][]*room, 0, len(racks))
	for _, rack := range racks {
		groups = append(groups, inRack(rooms, rack))
	}
	return groups
}

// place starts the waiting tasks of a demand in a group of workers. It returns
// whether none is left. A gang starts whole or not at all.
func (p *planner) place(d *Demand, group []*room) bool {
	if d.Spec.Gang && !fits(d, group) {
		return false
	}
	before := p.snapshot(d)
	for len(d.Waiting) > 0 {
		best := tightest(d, group)
		if best == nil || best.idle() && p.reserved(d) {
			if d.Spec.Gang {
				p.restore(d, before)
			}
			return false
		}
		p.start(d, best)
	}
	return true
}

// reserved reports whether the idle workers of a pool are left for more urgent
// work than the demand: not while half of the pool's accelerators are free.
func (p *planner) reserved(d *Demand) bool {
	if d.Leave == 0 {
		return false
	}
	idle := 0
	var free, all int64
	for _, r := range p.rooms {
		if r.Closed || r.Pool != d.Pool {
			continue
		}
		if r.idle() {
			idle++
		}
		free += r.coming.Accelerators
		all += r.Capacity.Accelerators
	}
	return idle <= d.Leave && 2*free < all
}

// idle reports whether nothing runs on the worker or is to run there.
func (r *room) idle() bool {
	return r.free == r.Capacity && r.coming == r.Capacity
}

func fits(d *Demand, group []*room) bool {
	n := 0
	for _, r := range group {
		n += r.open(d)
	}
	return n >= len(d.Waiting)
}

// tightest returns the worker with the least room left for the next task, so
// that whole workers stay free for large tasks.
func tightest(d *Demand, group []*room) *room {
	var best *room
	for _, r := range group {
		if r.open(d) > 0 && (best == nil || before(d, r, best)) {
			best = r
		}
	}
	return best
}

func before(d *Demand, a, b *room) bool {
	return cmp.Or(
		compareBool(slices.Contains(d.Avoid, a.ID), slices.Contains(d.Avoid, b.ID)),
		cmp.Compare(a.Doubt, b.Doubt),
		cmp.Compare(a.coming.Accelerators, b.coming.Accelerators),
		cmp.Compare(a.coming.Processor, b.coming.Processor),
		cmp.Compare(a.ID, b.ID),
	) < 0
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (p *planner) start(d *Demand, r *room) {
	task := work.TaskID{StepID: d.Step, Index: d.Waiting[0]}
	p.decision.Starts = append(p.decision.Starts, Start{Task: task, Worker: r.ID})
	r.free = r.free.Sub(d.Spec.Claim())
	p.promise(d, r)
}

// promise takes the first waiting task of a demand off and keeps its room.
func (p *planner) promise(d *Demand, r *room) {
	r.coming = r.coming.Sub(d.Spec.Claim())
	d.Waiting = d.Waiting[1:]
	if d.Spec.Spread > 0 {
		if d.Placed == nil {
			d.Placed = make(map[WorkerID]int)
		}
		d.Placed[r.ID]++
	}
}
