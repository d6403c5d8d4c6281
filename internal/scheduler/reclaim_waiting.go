package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reclaimInterval is the time between two searches for jobs to evict for
	// waiting ones.
	reclaimInterval = 15 * time.Second

	// minWaitToLoss is the least ratio of the accelerator time that a job has
	// waited to the work that is lost by evicting others for it.
	minWaitToLoss = 2

	// agedAfter is the wait after which a job may get a reservation while
	// other jobs have one, and after which also a job on one worker may have
	// smaller ones evicted.
	agedAfter = 2 * time.Hour

	// maxReclaimLanes is the number of lanes that are tried in one search.
	maxReclaimLanes = 8
)

// reclaimForWaiting evicts smaller jobs for those whose wait has cost the most
// accelerator time: gangs of several workers, and any job that has waited
// longer than agedAfter. Only jobs with accelerators are considered.
func (p *policy) reclaimForWaiting() {
	if p.now.Before(p.nextReclaim) || p.recovering() {
		return
	}
	p.nextReclaim = p.now.Add(reclaimInterval)
	// Searches that found no place are repeated: which workers a job avoids,
	// for example, changes with time alone.
	p.freed++
	p.reclaimLanes = p.reclaimLanes[:0]
	for _, sg := range p.shapeGroups {
		for _, l := range sg.lanes {
			if sg.shape.Accelerators > 0 && (sg.shape.Workers > 1 || p.aged(l.head())) {
				p.reclaimLanes = append(p.reclaimLanes, l)
			}
		}
	}
	slices.SortStableFunc(p.reclaimLanes, func(x, y *lane) int {
		return cmp.Compare(p.waitCost(y.head()), p.waitCost(x.head()))
	})
	for _, l := range p.reclaimLanes[:min(maxReclaimLanes, len(p.reclaimLanes))] {
		if l.len() > 0 {
			p.reclaimFor(l.head())
		}
	}
}

// aged reports whether a job has waited longer than agedAfter.
func (p *policy) aged(t *jobEntry) bool {
	return p.now.Sub(t.Submitted) > agedAfter
}

// waitCost returns what the current wait of a job has cost, in accelerator
// minutes.
func (p *policy) waitCost(t *jobEntry) int {
	return int(p.now.Sub(t.queuedAt)/lossUnit) * t.size()
}

// reclaimFor evicts jobs to make a place for a job if the loss is small against
// its wait.
func (p *policy) reclaimFor(t *jobEntry) {
	if p.waitCost(t) == 0 {
		return
	}
	shares := p.place(t, viewReclaim)
	if shares == nil {
		return
	}
	loss := 0
	for _, s := range shares {
		loss += p.evictionLoss(t, s, false)
	}
	if loss*minWaitToLoss > p.waitCost(t) {
		return
	}
	t.shares = shares
	p.startOrHold(t, p.config.Grace)
}
