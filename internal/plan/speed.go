package plan

import "math"

const (
	// patientShare is the part of a demand's MaxSlowdown up to which a slowdown leaves it
	// enough time to spare that its run time may be underestimated by as much as callers do.
	patientShare = 0.7

	// slowdownClassWidth is the width of the classes of workers of about the same slowdown,
	// as a difference of logarithms.
	slowdownClassWidth = 0.25

	// tightRank and slowRank are added to the ranks of workers on which a demand has no
	// time to spare, and on which it can't meet its objective.
	tightRank = 100
	slowRank  = 200
)

// findUneven finds out whether the workers' slowdowns differ.
func (p *planner) findUneven() {
	for _, w := range p.workerStates {
		w.slowdownClass = int(math.Round(math.Log(w.slowdown()) / slowdownClassWidth))
		p.uneven = p.uneven || w.slowdownClass != p.workerStates[0].slowdownClass
	}
}

// slowdown returns the worker's Slowdown, or 1 if it is not known.
func (w *Worker) slowdown() float64 {
	if w.Slowdown > 0 {
		return w.Slowdown
	}
	return 1
}

// rankSpeeds ranks the workers by their speed for the demand that is served. Workers on which
// it has time to spare come first, and of these the slow ones, so that the fast ones stay
// free for work that needs them. Of the others the fast ones come first.
func (p *planner) rankSpeeds(d *Demand) {
	if !p.uneven {
		return
	}
	for _, w := range p.workerStates {
		switch s := w.slowdown(); {
		case d.MaxSlowdown <= 0 || s <= patientShare*d.MaxSlowdown:
			w.speedRank = -w.slowdownClass
		case s <= d.MaxSlowdown:
			w.speedRank = tightRank + w.slowdownClass
		default:
			w.speedRank = slowRank + w.slowdownClass
		}
	}
}

// placeInTime starts the waiting tasks of a demand on the workers on which it has time to
// spare, or else on those on which it can meet its objective, and reports whether none is
// left. A gang isn't spread over racks for it, since being far apart slows it down too.
func (p *planner) placeInTime(d *Demand, groups [][]*workerState) bool {
	if !p.uneven || d.MaxSlowdown <= 0 {
		return false
	}
	if len(groups) > 1 && d.AllowRemote {
		groups = groups[:len(groups)-1]
	}
	for _, limit := range [...]float64{patientShare * d.MaxSlowdown, d.MaxSlowdown} {
		for _, group := range groups {
			p.fastEnough = fastEnough(group, limit, p.fastEnough[:0])
			if p.place(d, p.fastEnough) {
				return true
			}
		}
	}
	return false
}

// fastEnough appends the workers up to a slowdown to a buffer.
func fastEnough(workers []*workerState, limit float64, buffer []*workerState) []*workerState {
	for _, w := range workers {
		if w.slowdown() <= limit {
			buffer = append(buffer, w)
		}
	}
	return buffer
}
