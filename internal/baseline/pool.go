package baseline

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/lovageroad/lovageroad/internal/floor"
)

const (
	// firstFitting takes the first workers with the capacity free, in the order
	// of data centre, rack and id.
	firstFitting strategy = iota

	// bestFitting takes the workers with the fewest free accelerators, then
	// slots, in the domain where those are the fewest.
	bestFitting
)

type (
	// strategy says which workers a job gets if several fit.
	strategy int

	// pool is the workers in the order of data centre, rack and id, what is in
	// use on them, and the cooling of the region, in watts.
	pool struct {
		machines []machine
		index    map[floor.WorkerID]int
		budget   floor.Watts
		drawn    floor.Watts
	}

	// machine is a worker and what running jobs use of it.
	machine struct {
		worker   floor.Worker
		busy     floor.Accelerators
		cores    int
		memory   floor.MiB
		slots    int
		draining bool
	}

	// selection is the machines chosen for one job.
	selection []*machine
)

func (p *pool) find(id floor.WorkerID) *machine {
	if i, ok := p.index[id]; ok {
		return &p.machines[i]
	}
	return nil
}

func (p *pool) add(worker floor.Worker) {
	if m := p.find(worker.ID); m != nil {
		m.worker, m.draining = worker, false
		return
	}
	p.machines = append(p.machines, machine{worker: worker})
	slices.SortFunc(p.machines, byDomain)
	p.reindex()
}

func (p *pool) remove(id floor.WorkerID) {
	if m := p.find(id); m != nil {
		p.drawn -= m.draw(m.busy.Count())
	}
	p.machines = slices.DeleteFunc(p.machines, func(m machine) bool { return m.worker.ID == id })
	p.reindex()
}

func (p *pool) reindex() {
	p.index = make(map[floor.WorkerID]int, len(p.machines))
	for i, m := range p.machines {
		p.index[m.worker.ID] = i
	}
}

// take marks a placement as in use, or, with sign -1, as free.
func (p *pool) take(placement floor.Placement, sign int) {
	for _, share := range placement {
		m := p.find(share.Worker)
		if m == nil {
			continue
		}
		if sign > 0 {
			m.busy |= share.Accelerators
		} else {
			m.busy &^= share.Accelerators
		}
		m.cores += sign * share.Cores
		m.memory += floor.MiB(sign) * share.Memory
		m.slots += sign
		p.drawn += floor.Watts(sign) * m.draw(share.Accelerators.Count())
	}
}

// clone returns a copy whose usage can be changed independently. Workers must not
// be added to it.
func (p *pool) clone() pool {
	copied := *p
	copied.machines = slices.Clone(p.machines)
	return copied
}

// place returns a placement for the shape, or nil if there is none or it would
// exceed the cooling budget.
func (p *pool) place(shape floor.Shape, s strategy) floor.Placement {
	chosen := p.selectMachines(shape, s)
	drawn := p.drawn
	for _, m := range chosen {
		drawn += m.draw(shape.Accelerators)
	}
	if p.budget > 0 && drawn > p.budget {
		return nil
	}
	return chosen.placement(shape)
}

// selectMachines returns the machines for a shape, or nil if they do not fit.
func (p *pool) selectMachines(shape floor.Shape, s strategy) selection {
	var best selection
	least := 0
	for rest := p.machines; len(rest) > 0; {
		n := domainLength(rest, shape.Adjacency)
		chosen := choose(rest[:n], shape, s)
		rest = rest[n:]
		if chosen == nil {
			continue
		}
		if s == firstFitting {
			return chosen
		}
		if left := chosen.free(); best == nil || left < least {
			best, least = chosen, left
		}
	}
	return best
}

// domainLength returns how many of the first machines form one domain of the
// adjacency: a worker, a rack, a data centre or the region.
func domainLength(machines []machine, adjacency floor.Adjacency) int {
	for i := range machines {
		first, w := &machines[0].worker, &machines[i].worker
		switch {
		case adjacency == floor.AdjacentWorker && i > 0,
			adjacency == floor.AdjacentRack && (w.Rack != first.Rack || w.DataCentre != first.DataCentre),
			adjacency == floor.AdjacentDataCentre && w.DataCentre != first.DataCentre:
			return i
		}
	}
	return len(machines)
}

// choose returns machines of one domain that fit the shape, or nil.
func choose(machines []machine, shape floor.Shape, s strategy) selection {
	var fit selection
	for i := range machines {
		if !machines[i].fits(shape) {
			continue
		}
		fit = append(fit, &machines[i])
		if s == firstFitting && len(fit) == shape.Workers {
			return fit
		}
	}
	if len(fit) < shape.Workers {
		return nil
	}
	slices.SortStableFunc(fit, func(x, y *machine) int {
		return cmp.Or(cmp.Compare(x.free(), y.free()), cmp.Compare(y.slots, x.slots))
	})
	return fit[:shape.Workers]
}

func (s selection) free() int {
	n := 0
	for _, m := range s {
		n += m.free()
	}
	return n
}

func (s selection) placement(shape floor.Shape) floor.Placement {
	var placement floor.Placement
	for _, m := range s {
		placement = append(placement, floor.Allocation{
			Worker: m.worker.ID, Accelerators: m.lowestFree(shape.Accelerators), Cores: shape.Cores, Memory: shape.Memory,
		})
	}
	return placement
}

func (m *machine) free() int {
	return m.worker.Accelerators - bits.OnesCount64(uint64(m.busy))
}

// draw returns the most cooling that n accelerators of the machine draw.
func (m *machine) draw(n int) floor.Watts {
	if m.worker.Accelerators == 0 {
		return 0
	}
	return m.worker.Cooling * floor.Watts(n) / floor.Watts(m.worker.Accelerators)
}

func (m *machine) fits(shape floor.Shape) bool {
	return !m.draining &&
		m.free() >= shape.Accelerators &&
		m.worker.Cores-m.cores >= shape.Cores &&
		m.worker.Memory-m.memory >= shape.Memory &&
		m.worker.Slots > m.slots
}

// lowestFree returns the n free accelerators with the lowest indexes.
func (m *machine) lowestFree(n int) floor.Accelerators {
	var picked floor.Accelerators
	for i := 0; n > 0; i++ {
		if bit := floor.Accelerators(1) << i; m.busy&bit == 0 {
			picked |= bit
			n--
		}
	}
	return picked
}

func byDomain(x, y machine) int {
	return cmp.Or(
		cmp.Compare(x.worker.DataCentre, y.worker.DataCentre),
		cmp.Compare(x.worker.Rack, y.worker.Rack),
		cmp.Compare(x.worker.ID, y.worker.ID),
	)
}
