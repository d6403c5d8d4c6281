package bench

import (
	"cmp"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
)

type (
	// floorAverages averages the state of the floor over the horizon. sum and
	// overdraw are sums weighted by time in seconds; overdraw sums the draw above
	// the cooling budget, as a share of the budget. current is measured again when
	// it is outdated.
	floorAverages struct {
		outdated      bool
		averagedUntil time.Duration
		draw          floor.Watts
		current       floorState
		sum           floorState
		overdraw      float64
		seconds       float64
	}

	// floorState is the state of the floor at one moment. Result says what the
	// shares mean.
	floorState struct {
		utilisation   float64
		fragmentation float64
		stranded      float64
		wholeWorkers  float64
		wholeRacks    float64
		tasks         float64
	}

	// cellCount counts the cells of one kind (workers or racks), those of them
	// that are wholly free, and their free and total accelerators.
	cellCount struct {
		cells, whole, free, total int
	}

	// cellKey names the rack, data centre or region within which the members of
	// a gang have to be. Empty fields stand for any.
	cellKey struct {
		centre floor.DataCentreID
		rack   floor.RackID
	}
)

// observe adds the time from the last call until the given time to the averages.
func (sm *simulation) observe(until time.Duration) {
	a := &sm.averages
	until = min(until, sm.workload.Horizon)
	if until <= a.averagedUntil {
		return
	}
	if a.outdated {
		a.current = sm.measureFloor()
		a.outdated = false
	}
	seconds := (until - a.averagedUntil).Seconds()
	a.averagedUntil = until
	a.seconds += seconds
	a.sum.utilisation += seconds * a.current.utilisation
	a.sum.fragmentation += seconds * a.current.fragmentation
	a.sum.stranded += seconds * a.current.stranded
	a.sum.wholeWorkers += seconds * a.current.wholeWorkers
	a.sum.wholeRacks += seconds * a.current.wholeRacks
	a.sum.tasks += seconds * a.current.tasks
	if sm.coolingBudget > 0 && a.draw > sm.coolingBudget {
		a.overdraw += seconds * float64(a.draw-sm.coolingBudget) / float64(sm.coolingBudget)
	}
}

// writeTo writes the averages to the simulation's result.
func (a *floorAverages) writeTo(sm *simulation) {
	res := sm.result
	res.Utilisation = a.sum.utilisation / a.seconds
	res.Fragmentation = a.sum.fragmentation / a.seconds
	res.Stranded = a.sum.stranded / a.seconds
	res.WholeWorkers = a.sum.wholeWorkers / a.seconds
	res.WholeRacks = a.sum.wholeRacks / a.seconds
	res.Tasks = a.sum.tasks / a.seconds
	res.Overdraw = a.overdraw / a.seconds
	usedAcceleratorSeconds := a.sum.utilisation * float64(sm.workload.Accelerators())
	res.LostShare = res.LostWork.Seconds() / usedAcceleratorSeconds
}

// measureFloor returns the state of the floor. Only workers with the largest
// number of accelerators count for the whole workers and racks.
func (sm *simulation) measureFloor() floorState {
	var current floorState
	total, free := 0, 0
	var workers, racks cellCount
	perRack := make(map[cellKey]*cellCount)
	for _, id := range sm.workerOrder {
		m := sm.machines[id]
		current.tasks += float64(m.usedSlots)
		if m.lost || m.Worker.Accelerators == 0 {
			continue
		}
		total += m.Worker.Accelerators
		free += m.freeAccelerators()
		if m.Worker.Accelerators < sm.maxAccelerators {
			continue
		}
		workers.add(m.freeAccelerators(), m.Worker.Accelerators)
		key := cellOf(floor.AdjacentRack, m)
		if perRack[key] == nil {
			perRack[key] = &cellCount{}
		}
		perRack[key].add(m.freeAccelerators(), m.Worker.Accelerators)
	}
	for _, c := range perRack {
		racks.add(c.free, c.total)
	}
	current.utilisation = float64(total-free) / float64(sm.workload.Accelerators())
	current.wholeWorkers = workers.wholeShare()
	current.wholeRacks = racks.wholeShare()
	if largest := sm.largestWaiting(); largest.Accelerators > 0 && free > 0 {
		unusable := free - sm.usableBy(largest)
		current.fragmentation = float64(unusable) / float64(free)
		current.stranded = float64(unusable) / float64(total)
	}
	return current
}

// add counts a cell with the given accelerators.
func (c *cellCount) add(free, total int) {
	c.cells++
	c.free += free
	c.total += total
	if free == total {
		c.whole++
	}
}

// wholeShare returns the number of wholly free cells as a share of those that the
// best packing would leave free. It is 1 if that packing leaves none.
func (c *cellCount) wholeShare() float64 {
	best := 0
	if c.total > 0 {
		best = c.free * c.cells / c.total
	}
	if best == 0 {
		return 1
	}
	return min(1, float64(c.whole)/float64(best))
}

// largestWaiting returns the largest shape of a waiting job.
func (sm *simulation) largestWaiting() floor.Shape {
	var largest floor.Shape
	for _, jobs := range sm.activeJobs {
		for _, j := range jobs {
			if j.phase == waiting && isLarger(j.Shape, largest) {
				largest = j.Shape
			}
		}
	}
	return largest
}

// isLarger compares shapes by accelerators, then by workers, by the tighter
// adjacency and by cores.
func isLarger(x, y floor.Shape) bool {
	return cmp.Or(
		cmp.Compare(acceleratorCount(x), acceleratorCount(y)),
		cmp.Compare(x.Workers, y.Workers),
		cmp.Compare(adjacencyBreadth[y.Adjacency], adjacencyBreadth[x.Adjacency]),
		cmp.Compare(x.Cores, y.Cores),
	) > 0
}

// usableBy returns how many free accelerators could be used if only jobs of the
// shape were started.
func (sm *simulation) usableBy(s floor.Shape) int {
	if s.Workers == 1 {
		return sm.usableBySingle(s)
	}
	members := make(map[cellKey]int)
	for _, id := range sm.workerOrder {
		m := sm.machines[id]
		if m.lost || m.freeAccelerators() < s.Accelerators || m.Cores-m.usedCores < s.Cores || m.Memory-m.usedMemory < s.Memory || m.Slots == m.usedSlots {
			continue
		}
		members[cellOf(s.Adjacency, m)]++
	}
	usable := 0
	for _, count := range members {
		usable += count / s.Workers * s.Workers * s.Accelerators
	}
	return usable
}

// usableBySingle is usableBy for shapes of one worker.
func (sm *simulation) usableBySingle(s floor.Shape) int {
	usable := 0
	for _, id := range sm.workerOrder {
		m := sm.machines[id]
		if m.lost {
			continue
		}
		count := min(m.freeAccelerators()/s.Accelerators, m.Slots-m.usedSlots, (m.Cores-m.usedCores)/s.Cores)
		if s.Memory > 0 {
			count = min(count, int((m.Memory-m.usedMemory)/s.Memory))
		}
		usable += count * s.Accelerators
	}
	return usable
}

// cellOf returns the cell of a machine at an adjacency.
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

func (m *machine) freeAccelerators() int {
	return m.Worker.Accelerators - m.usedAccelerators.Count()
}
