package plan

import (
	"cmp"
	"slices"
	"time"
)

const (
	// earmarkShareDivisor says that capacity is earmarked for a demand on at most one in
	// this many of the workers that may run it. Of a larger part, more is lost by idle
	// capacity than is gained, unless the gang has to wait only for a short time.
	earmarkShareDivisor = 8

	// largeEarmarkShareDivisor is the divisor for a gang that runs for at least
	// largeEarmarkGain times as long as it has to wait. What is idle until it starts is
	// on average half of its room, so that a quarter of its work at most is lost.
	largeEarmarkShareDivisor = 4
	largeEarmarkGain         = 2
)

// opening is a place on a worker that one more task of a demand fits into, and the time
// until the tasks that are in the way are expected to have ended.
type opening struct {
	worker *workerState
	wait   time.Duration
}

// earmark keeps capacity for a demand that does not fit now and preempts nothing: that of
// the workers which are expected to have room first. The demands that come after it get
// no part of it, so that small tasks don't fill each worker as it becomes free, while a
// gang of large ones waits for many of them. It keeps nothing if the demand can't start
// within its EarmarkHorizon, if it needs too large a part of the workers for its wait, or while at least
// half of the pool's accelerators are free.
//
// It answers the load of wide gangs of large tasks beside many small tasks.
func (p *planner) earmark(d *Demand) {
	candidates := len(p.candidatesOf(d).all)
	if len(d.Waiting) == 0 || len(d.Waiting)*largeEarmarkShareDivisor > candidates {
		return
	}
	var best []opening
	for _, group := range p.earmarkGroups(d) {
		found := openings(d, group)
		if len(found) < len(d.Waiting) {
			continue
		}
		slices.SortStableFunc(found, func(a, b opening) int {
			return cmp.Or(cmp.Compare(a.wait, b.wait), cmp.Compare(a.worker.projectedFree.Accelerators, b.worker.projectedFree.Accelerators))
		})
		found = found[:len(d.Waiting)]
		if best == nil || found[len(found)-1].wait < best[len(best)-1].wait {
			best = found
		}
	}
	if best == nil || best[0].worker.pool.halfFree() {
		return
	}
	if len(d.Waiting)*earmarkShareDivisor > candidates && largeEarmarkGain*best[len(best)-1].wait > d.EarmarkHorizon {
		return
	}
	for _, o := range best {
		p.assign(d, o.worker)
	}
}

// earmarkGroups returns the sets of workers of which one is to run the demand.
func (p *planner) earmarkGroups(d *Demand) [][]*workerState {
	c := p.candidatesOf(d)
	switch {
	case d.AllowRemote:
	case d.Spec.DataRack != "":
		return [][]*workerState{c.inRack(d.Spec.DataRack)}
	case d.Spec.SameRack && d.Spec.Count > 1:
		return c.racksByFreeAccelerators()
	}
	return [][]*workerState{c.all}
}

// openings returns where tasks of the demand will fit within its EarmarkHorizon, at most as
// many on each worker as wait.
func openings(d *Demand, workers []*workerState) []opening {
	var found []opening
	request := d.Spec.Request()
	for _, w := range workers {
		available := w.projectedFree
		known := min(w.limitPerRunner(d, fitCount(available, request)), len(d.Waiting))
		for range known {
			found = append(found, opening{w, 0})
		}
		for _, i := range w.byEnd() {
			o := &w.Occupants[i]
			if w.stopping[i] {
				continue
			}
			if o.Remaining > d.EarmarkHorizon || known == len(d.Waiting) {
				break
			}
			available = available.Add(o.Request)
			for n := min(w.limitPerRunner(d, fitCount(available, request)), len(d.Waiting)); known < n; known++ {
				found = append(found, opening{w, o.Remaining})
			}
		}
	}
	return found
}

// byEnd returns the indexes of the occupants in the order in which they are expected to
// end.
func (w *workerState) byEnd() []int {
	if w.ends == nil {
		w.ends = make([]int, 0, len(w.Occupants))
		for i := range w.Occupants {
			w.ends = append(w.ends, i)
		}
		slices.SortStableFunc(w.ends, func(a, b int) int { return cmp.Compare(w.Occupants[a].Remaining, w.Occupants[b].Remaining) })
	}
	return w.ends
}
