package plan

import (
	"cmp"
	"slices"

	"github.com/lovageroad/lovageroad/internal/work"
)

type (
	// requirement is what a worker must have to run the tasks of a demand, apart from
	// free capacity.
	requirement struct {
		pool  work.PoolID
		label work.Label

		// trusted leaves out workers with a Penalty.
		trusted bool
	}

	// candidates are the workers that meet a requirement, in the order given to Plan.
	candidates struct {
		all   []*workerState
		racks []rackCandidates
	}

	// rackCandidates are the candidates of one rack.
	rackCandidates struct {
		rack    work.RackID
		workers []*workerState
	}
)

// candidatesOf returns the workers that may run the demand's tasks. They are the same
// for all demands with the same requirement.
func (p *planner) candidatesOf(d *Demand) *candidates {
	key := requirement{d.Pool, d.Spec.Requires, d.Trusted}
	c := p.candidates[key]
	if c == nil {
		c = &candidates{}
		p.candidates[key] = c
		rackIndex := make(map[work.RackID]int)
		for _, w := range p.workerStates {
			if w.meets(key) {
				c.add(w, rackIndex)
			}
		}
	}
	return c
}

// meets reports whether a task with the requirement may start on the worker.
func (w *workerState) meets(r requirement) bool {
	return !w.Unschedulable && w.Pool == r.pool && (!r.trusted || w.Penalty == 0) && (r.label == "" || slices.Contains(w.Labels, r.label))
}

func (c *candidates) add(w *workerState, rackIndex map[work.RackID]int) {
	c.all = append(c.all, w)
	i, ok := rackIndex[w.Rack]
	if !ok {
		i = len(c.racks)
		rackIndex[w.Rack] = i
		c.racks = append(c.racks, rackCandidates{rack: w.Rack})
	}
	c.racks[i].workers = append(c.racks[i].workers, w)
}

func (c *candidates) inRack(rack work.RackID) []*workerState {
	for _, r := range c.racks {
		if r.rack == rack {
			return r.workers
		}
	}
	return nil
}

// racksByFreeAccelerators returns the workers of each rack. Racks with the fewest free
// accelerators come first, so that whole racks stay free for large gangs.
func (c *candidates) racksByFreeAccelerators() [][]*workerState {
	return sortedBy(c.racks, func(r rackCandidates) int64 {
		free := int64(0)
		for _, w := range r.workers {
			free += w.free.Accelerators
		}
		return free
	}, func(r rackCandidates) []*workerState { return r.workers })
}

// sortedBy returns the values of items in the order of their keys, of which each is
// computed once. Items with the same key stay in their order.
func sortedBy[T any, K cmp.Ordered, V any](items []T, key func(T) K, value func(T) V) []V {
	type keyed struct {
		key   K
		value V
	}
	pairs := make([]keyed, len(items))
	for i, item := range items {
		pairs[i] = keyed{key(item), value(item)}
	}
	slices.SortStableFunc(pairs, func(a, b keyed) int { return cmp.Compare(a.key, b.key) })
	sorted := make([]V, len(pairs))
	for i, pair := range pairs {
		sorted[i] = pair.value
	}
	return sorted
}
