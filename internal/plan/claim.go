package plan

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lovageroad/lovageroad/internal/work"
)

// eviction is what has to stop on a worker so that one task fits.
type eviction struct {
	room    *room
	victims []Occupant
	loss    float64
}

// claim keeps room for each waiting task of a demand: room that becomes free
// anyway, or else that of the tasks whose stop loses the least. The tasks start
// at a later plan, when the room is free. A gang gets room for all its tasks or
// for none.
func (p *planner) claim(d *Demand) {
	candidates := p.eligible(d)
	for _, near := range p.claimGroups(d, candidates) {
		if near.enough(d) {
			candidates = near
			break
		}
	}
	before := p.snapshot(d)
	for len(d.Waiting) > 0 {
		e, ok := cheapest(d, candidates)
		if !ok {
			break
		}
		for _, victim := range e.victims {
			p.stop(victim)
		}
		d.Budget -= e.loss
		p.promise(d, e.room)
	}
	if d.Spec.Gang && len(d.Waiting) > 0 {
		p.restore(d, before)
	}
}

// state is what serving a demand changes.
type state struct {
	free, coming  []work.Resources
	stopping      []map[work.TaskID]bool
	starts, stops int
	waiting       []int
	placed        map[WorkerID]int
}

func (p *planner) snapshot(d *Demand) state {
	s := state{starts: len(p.decision.Starts), stops: len(p.decision.Stops), waiting: d.Waiting, placed: maps.Clone(d.Placed)}
	for _, r := range p.rooms {
		s.free = append(s.free, r.free)
		s.coming = append(s.coming, r.coming)
		s.stopping = append(s.stopping, maps.Clone(r.stopping))
	}
	return s
}

func (p *planner) restore(d *Demand, s state) {
	for i, r := range p.rooms {
		r.free, r.coming, r.stopping = s.free[i], s.coming[i], s.stopping[i]
	}
	p.decision.Starts = p.decision.Starts[:s.starts]
	p.decision.Stops = p.decision.Stops[:s.stops]
	d.Waiting, d.Placed = s.waiting, s.placed
}

type group []*room

// claimGroups returns the sets of workers that are near enough for a demand,
// those first where the least is lost.
func (p *planner) claimGroups(d *Demand, all []*room) []group {
	if d.Spec.Data != "" {
		return []group{inRack(all, d.Spec.Data)}
	}
	if !d.Spec.SameRack || d.Spec.Count < 2 {
		return []group{all}
	}
	var groups []group
	for _, rack := range byRack(all) {
		groups = append(groups, rack)
	}
	slices.SortStableFunc(groups, func(a, b group) int { return cmp.Compare(a.loss(d), b.loss(d)) })
	return groups
}

// enough reports whether all waiting tasks fit into a group if all that may be
// stopped is stopped.
func (g group) enough(d *Demand) bool {
	n := 0
	for _, r := range g {
		space := r.coming
		for _, o := range r.Occupants {
			if r.evictable(d, o) {
				space = space.Add(o.Claim)
			}
		}
		n += r.limit(d, times(space, d.Spec.Claim()))
	}
	return n >= len(d.Waiting)
}

// loss estimates what a group loses to a demand.
func (g group) loss(d *Demand) float64 {
	total := 0.0
	missing := len(d.Waiting)
	for _, r := range g {
		missing -= r.later(d)
	}
	if missing <= 0 {
		return 0
	}
	for _, r := range g {
		if e, ok := r.evict(d); ok {
			total += e.loss
		}
	}
	return total
}

// cheapest returns the worker on which room for one task costs the least.
func cheapest(d *Demand, rooms []*room) (eviction, bool) {
	var best eviction
	for _, r := range rooms {
		e, ok := r.evict(d)
		if !ok {
			continue
		}
		if best.room == nil || e.loss < best.loss || e.loss == best.loss && before(d, r, best.room) {
			best = e
		}
	}
	return best, best.room != nil
}

// evictable reports whether a demand may take the place of a task.
func (r *room) evictable(d *Demand, o Occupant) bool {
	return !o.Kept && !r.stopping[o.Task] && (d.Guaranteed || o.Priority > d.Priority)
}

// evict returns the tasks to stop on the worker so that one task of the demand
// fits: those of the lowest priority and the least loss, and none in vain.
func (r *room) evict(d *Demand) (eviction, bool) {
	e := eviction{room: r}
	if r.later(d) > 0 {
		return e, true
	}
	if r.limit(d, 1) == 0 {
		return e, false
	}
	var candidates []Occupant
	for _, o := range r.Occupants {
		if r.evictable(d, o) {
			candidates = append(candidates, o)
		}
	}
	slices.SortStableFunc(candidates, func(a, b Occupant) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Loss, b.Loss))
	})
	space := r.coming
	for _, o := range candidates {
		if times(space, d.Spec.Claim()) > 0 {
			break
		}
		space = space.Add(o.Claim)
		e.victims = append(e.victims, o)
	}
	if times(space, d.Spec.Claim()) == 0 {
		return e, false
	}
	e.spare(space, d.Spec.Claim())
	return e, d.Guaranteed || e.loss <= d.Budget
}

// spare takes off the victims without whom the task fits too, the costliest
// first.
func (e *eviction) spare(space, claim work.Resources) {
	slices.SortStableFunc(e.victims, func(a, b Occupant) int { return cmp.Compare(b.Loss, a.Loss) })
	kept := e.victims[:0]
	for _, o := range e.victims {
		if times(space.Sub(o.Claim), claim) > 0 {
			space = space.Sub(o.Claim)
			continue
		}
		kept = append(kept, o)
		e.loss += o.Loss
	}
	e.victims = kept
}

// stop has a task stopped, with all its gang.
func (p *planner) stop(victim Occupant) {
	for _, r := range p.rooms {
		for _, o := range r.Occupants {
			same := o.Task == victim.Task || victim.Gang && o.Task.StepID == victim.Task.StepID
			if !same || r.stopping[o.Task] {
				continue
			}
			r.stopping[o.Task] = true
			r.coming = r.coming.Add(o.Claim)
			p.decision.Stops = append(p.decision.Stops, o.Task)
		}
	}
}
