package scheduler

import (
	"cmp"
	"slices"

	"github.com/lovageroad/lovageroad/internal/floor"
)

type (
	rackKey struct {
		centre floor.DataCentreID
		rack   floor.RackID
	}

	// domain is a cell above the worker: a rack, a data centre or the region.
	domain struct {
		workers []*worker
		running int
	}

	// plan is the floor: all workers ever known, and the cells they form.
	// Missing counts workers that only restored placements name.
	plan struct {
		workers  []*worker
		byID     map[floor.WorkerID]*worker
		racks    []*domain
		centres  []*domain
		region   *domain
		suspects []*worker
		budgets  []*budget
		limits   []Budget
		missing  int
		version  uint64
		checked  uint64
		fits     map[floor.Shape]bool
		total    int
	}
)

func newPlan() plan {
	return plan{byID: make(map[floor.WorkerID]*worker), region: &domain{}}
}

// at returns the worker with the id, which may not be known yet.
func (f *plan) at(id floor.WorkerID) *worker {
	w, ok := f.byID[id]
	if ok {
		return w
	}
	w = &worker{Worker: floor.Worker{ID: id}}
	f.byID[id] = w
	f.missing++
	return w
}

// describe sets the description of a worker and rebuilds the cells.
func (f *plan) describe(w *worker, description floor.Worker) {
	if !w.known {
		w.known = true
		f.missing--
		i, _ := slices.BinarySearchFunc(f.workers, description.ID, func(x *worker, id floor.WorkerID) int {
			return cmp.Compare(x.ID, id)
		})
		f.workers = slices.Insert(f.workers, i, w)
	}
	w.Worker = description
	w.nominal = 0
	for _, t := range w.tasks {
		w.nominal += w.draw(t.share(w))
	}
	f.rebuild()
}

// rebuild forms the racks, data centres and budgets anew.
func (f *plan) rebuild() {
	f.version++
	f.racks, f.centres, f.region, f.total = nil, nil, &domain{}, 0
	racks := make(map[rackKey]*domain)
	centres := make(map[floor.DataCentreID]*domain)
	for _, w := range f.workers {
		key := rackKey{w.DataCentre, w.Rack}
		if racks[key] == nil {
			racks[key] = &domain{}
			f.racks = append(f.racks, racks[key])
		}
		if centres[w.DataCentre] == nil {
			centres[w.DataCentre] = &domain{}
			f.centres = append(f.centres, centres[w.DataCentre])
		}
		w.rack, w.centre = racks[key], centres[w.DataCentre]
		for _, d := range []*domain{w.rack, w.centre, f.region} {
			d.workers = append(d.workers, w)
			d.running += busyParts(w.tasks) + busyParts(w.pending)
		}
		f.total += w.Accelerators
	}
	f.rebuildBudgets()
}

// domains returns the cells that may hold a job of the adjacency.
func (f *plan) domains(adjacency floor.Adjacency) []*domain {
	switch adjacency {
	case floor.AdjacentRack:
		return f.racks
	case floor.AdjacentDataCentre:
		return f.centres
	default:
		return []*domain{f.region}
	}
}

// domain returns the cell of the adjacency that a worker is in.
func (f *plan) domain(w *worker, adjacency floor.Adjacency) *domain {
	switch adjacency {
	case floor.AdjacentRack:
		return w.rack
	case floor.AdjacentDataCentre:
		return w.centre
	default:
		return f.region
	}
}

func busyParts(parts []part) int {
	n := 0
	for _, t := range parts {
		if t.mask != 0 {
			n++
		}
	}
	return n
}

// count adds to the number of members on accelerators around a worker.
func (s share) count(n int) {
	if w := s.worker; w.rack != nil && s.mask != 0 {
		w.rack.running += n
		w.centre.running += n
	}
}

// width orders adjacencies from the narrowest to the widest.
func width(adjacency floor.Adjacency) int {
	switch adjacency {
	case floor.AdjacentWorker:
		return 0
	case floor.AdjacentRack:
		return 1
	case floor.AdjacentDataCentre:
		return 2
	default:
		return 3
	}
}
