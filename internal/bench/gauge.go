package bench

import (
	"cmp"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
)

type (
	// gauge averages the state of the floor over the horizon.
	gauge struct {
		dirty  bool
		last   time.Duration
		draw   floor.Watts
		state  state
		sum    state
		over   float64
		length float64
	}

	// state is the floor at one moment.
	state struct {
		utilisation   float64
		fragmentation float64
		stranded      float64
		workers       float64
		racks         float64
		tasks         float64
	}

	// tally counts cells of one kind, and their accelerators.
	tally struct {
		cells, whole, free, all int
	}

	cellKey struct {
		centre floor.DataCentreID
		rack   floor.RackID
	}
)

// observe adds the time until the given one to the averages.
func (r *runner) observe(until time.Duration) {
	g := &r.gauge
	until = min(until, r.load.Horizon)
	if until <= g.last {
		return
	}
	if g.dirty {
		g.state = r.look()
		g.dirty = false
	}
	length := (until - g.last).Seconds()
	g.last = until
	g.length += length
	g.sum.utilisation += length * g.state.utilisation
	g.sum.fragmentation += length * g.state.fragmentation
	g.sum.stranded += length * g.state.stranded
	g.sum.workers += length * g.state.workers
	g.sum.racks += length * g.state.racks
	g.sum.tasks += length * g.state.tasks
	if r.budget > 0 && g.draw > r.budget {
		g.over += length * float64(g.draw-r.budget) / float64(r.budget)
	}
}

func (g *gauge) settle(r *runner) {
	res := r.result
	res.Utilisation = g.sum.utilisation / g.length
	res.Fragmentation = g.sum.fragmentation / g.length
	res.Stranded = g.sum.stranded / g.length
	res.WholeWorkers = g.sum.workers / g.length
	res.WholeRacks = g.sum.racks / g.length
	res.Tasks = g.sum.tasks / g.length
	res.Overdraw = g.over / g.length
	held := g.sum.utilisation * float64(r.load.Accelerators())
	res.LostShare = res.Lost.Seconds() / held
}

// look takes the state of the floor. Whole workers and racks are those with the
// most accelerators.
func (r *runner) look() state {
	var s state
	total, free := 0, 0
	var workers, racks tally
	perRack := make(map[cellKey]*tally)
	for _, id := range r.order {
		m := r.machines[id]
		s.tasks += float64(m.slots)
		if m.lost || m.Worker.Accelerators == 0 {
			continue
		}
		total += m.Worker.Accelerators
		free += m.free()
		if m.Worker.Accelerators < r.most {
			continue
		}
		workers.add(m.free(), m.Worker.Accelerators)
		key := cellOf(floor.AdjacentRack, m)
		if perRack[key] == nil {
			perRack[key] = &tally{}
		}
		perRack[key].add(m.free(), m.Worker.Accelerators)
	}
	for _, t := range perRack {
		racks.add(t.free, t.all)
	}
	s.utilisation = float64(total-free) / float64(r.load.Accelerators())
	s.workers = workers.share()
	s.racks = racks.share()
	if largest := r.largest(); largest.Accelerators > 0 && free > 0 {
		lost := free - r.serves(largest)
		s.fragmentation = float64(lost) / float64(free)
		s.stranded = float64(lost) / float64(total)
	}
	return s
}

// add counts a cell with the given accelerators.
func (t *tally) add(free, all int) {
	t.cells++
	t.free += free
	t.all += all
	if free == all {
		t.whole++
	}
}

// share returns the wholly free cells as a share of those that the best packing
// would leave, which is one if that leaves none.
func (t *tally) share() float64 {
	best := 0
	if t.all > 0 {
		best = t.free * t.cells / t.all
	}
	if best == 0 {
		return 1
	}
	return min(1, float64(t.whole)/float64(best))
}

// largest returns the waiting shape with the most accelerators.
func (r *runner) largest() floor.Shape {
	var largest floor.Shape
	for _, list := range r.active {
		for _, e := range list {
			if e.phase == waiting && larger(e.Shape, largest) {
				largest = e.Shape
			}
		}
	}
	return largest
}

func larger(x, y floor.Shape) bool {
	return cmp.Or(
		cmp.Compare(size(x), size(y)),
		cmp.Compare(x.Workers, y.Workers),
		cmp.Compare(breadth[y.Adjacency], breadth[x.Adjacency]),
		cmp.Compare(x.Cores, y.Cores),
	) > 0
}

// serves returns how many free accelerators could serve jobs of the shape at
// once.
func (r *runner) serves(s floor.Shape) int {
	if s.Workers == 1 {
		return r.servesAlone(s)
	}
	members := make(map[cellKey]int)
	for _, id := range r.order {
		m := r.machines[id]
		if m.lost || m.free() < s.Accelerators || m.Cores-m.cores < s.Cores || m.Memory-m.memory < s.Memory || m.Slots == m.slots {
			continue
		}
		members[cellOf(s.Adjacency, m)]++
	}
	served := 0
	for _, n := range members {
		served += n / s.Workers * s.Workers * s.Accelerators
	}
	return served
}

func (r *runner) servesAlone(s floor.Shape) int {
	served := 0
	for _, id := range r.order {
		m := r.machines[id]
		if m.lost {
			continue
		}
		n := min(m.free()/s.Accelerators, m.Slots-m.slots, (m.Cores-m.cores)/s.Cores)
		if s.Memory > 0 {
			n = min(n, int((m.Memory-m.memory)/s.Memory))
		}
		served += n * s.Accelerators
	}
	return served
}

func cellOf(adjacency floor.Adjacency, m *machine) cellKey {
	switch adjacency {
	case floor.AdjacentRack:
		return cellKey{centre: m.DataCentre, rack: m.Rack}
	case floor.AdjacentDataCentre:
		return cellKey{centre: m.DataCentre}
	default:
		return cellKey{}
	}
}

func (m *machine) free() int {
	return m.Worker.Accelerators - m.busy.Count()
}
