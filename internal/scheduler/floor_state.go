package scheduler

import (
	"cmp"
	"slices"

	"github.com/lovageroad/lovageroad/internal/floor"
)

type (
	rackKey struct {
		dataCentre floor.DataCentreID
		rack       floor.RackID
	}

	// domain is a rack, a data centre or the region. members counts the shares
	// with accelerators that running and pending jobs hold in it; for the
	// region it is not kept up to date.
	domain struct {
		workers []*worker
		members int
	}

	// floorState is the known workers of the region and the domains that they
	// form. undescribed counts workers that restored placements name but that
	// have not been added yet; version counts changes to the workers, and fits
	// holds the results of canHold for fitsVersion. limits is the list of
	// budgets that was set last, and total the number of accelerators.
	floorState struct {
		workers     []*worker
		byID        map[floor.WorkerID]*worker
		racks       []*domain
		centres     []*domain
		region      *domain
		quarantined []*worker
		budgets     []*budget
		limits      []Budget
		undescribed int
		version     uint64
		fitsVersion uint64
		fits        map[floor.Shape]bool
		total       int
	}
)

func newFloorState() floorState {
	return floorState{byID: make(map[floor.WorkerID]*worker), region: &domain{}}
}

// workerOf returns the worker with the id, and adds one that is not known yet if
// there is none.
func (f *floorState) workerOf(id floor.WorkerID) *worker {
	w, ok := f.byID[id]
	if ok {
		return w
	}
	w = &worker{Worker: floor.Worker{ID: id}}
	f.byID[id] = w
	f.undescribed++
	return w
}

// describe sets the description of a worker and forms the domains again.
func (f *floorState) describe(w *worker, description floor.Worker) {
	if !w.known {
		w.known = true
		f.undescribed--
		i, _ := slices.BinarySearchFunc(f.workers, description.ID, func(x *worker, id floor.WorkerID) int {
			return cmp.Compare(x.ID, id)
		})
		f.workers = slices.Insert(f.workers, i, w)
	}
	w.Worker = description
	w.nominalDraw = 0
	for _, t := range w.jobs {
		w.nominalDraw += w.draw(t.share(w))
	}
	f.rebuild()
}

// rebuild forms the racks, data centres and budgets from the workers.
func (f *floorState) rebuild() {
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
			d.members += countWithAccelerators(w.jobs) + countWithAccelerators(w.pending)
		}
		f.total += w.Accelerators
	}
	f.rebuildBudgets()
}

// domains returns the domains that are wide enough for the adjacency and no
// wider. One of them must hold the whole job. AdjacentWorker, which allows
// only one worker, has the region as its domain.
func (f *floorState) domains(adjacency floor.Adjacency) []*domain {
	switch adjacency {
	case floor.AdjacentRack:
		return f.racks
	case floor.AdjacentDataCentre:
		return f.centres
	default:
		return []*domain{f.region}
	}
}

// domain returns the domain of the adjacency that a worker is in.
func (f *floorState) domain(w *worker, adjacency floor.Adjacency) *domain {
	switch adjacency {
	case floor.AdjacentRack:
		return w.rack
	case floor.AdjacentDataCentre:
		return w.centre
	default:
		return f.region
	}
}

// countWithAccelerators returns the number of shares with accelerators.
func countWithAccelerators(parts []jobShare) int {
	n := 0
	for _, t := range parts {
		if t.mask != 0 {
			n++
		}
	}
	return n
}

// countMember adds n to the members of the worker's rack and data centre if the
// share has accelerators.
func (s share) countMember(n int) {
	if w := s.worker; w.rack != nil && s.mask != 0 {
		w.rack.members += n
		w.centre.members += n
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
