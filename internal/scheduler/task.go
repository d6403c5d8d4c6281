package scheduler

import (
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
)

const (
	stateWaiting state = iota
	stateBackoff
	statePending
	stateRunning
	stateLeaving

	firstBackoff = time.Second
	maxBackoff   = 5 * time.Minute
	avoidFor     = 30 * time.Minute
)

type (
	state int

	// task is a job with its place. A pending task holds a place that others
	// still leave; a leaving one has been told to stop.
	task struct {
		Job
		tenant    *tenant
		lane      *lane
		state     state
		arrival   uint64
		urgent    bool
		shares    []share
		cell      *cell
		host      *cell
		seats     []int
		queued    time.Time
		started   time.Time
		deadline  time.Time
		progress  time.Duration
		failures  int
		retries   int
		notBefore time.Time
		avoid     []floor.WorkerID
		failed    time.Time
		filler    *head
		head      *head
		estimate  *estimate
		ends      time.Time
		slow      bool
		slowed    time.Time
	}
)

// reclaimable reports whether the job may be made to leave for another. Urgent
// work is left alone by all but guarantees.
func (t *task) reclaimable() bool {
	return t.cell == nil && !t.urgent
}

// firm reports whether a guarantee gives the task its place.
func (t *task) firm() bool {
	return t.cell != nil || t.host != nil
}

func (t *task) active() bool {
	return t.state == stateRunning || t.state == stateLeaving
}

func (t *task) avoids(now time.Time, w *worker) bool {
	return len(t.avoid) > 0 && now.Sub(t.failed) < avoidFor && slices.Contains(t.avoid, w.ID)
}

func (t *task) placement() floor.Placement {
	placement := make(floor.Placement, 0, len(t.shares))
	for _, s := range t.shares {
		placement = append(placement, floor.Share{
			Worker: s.worker.ID, Accelerators: s.mask, Cores: s.amount.cores, Memory: s.amount.memory,
		})
	}
	return placement
}

// members is the size of the job in accelerators, or in workers if it asks for
// none.
func (t *task) members() int {
	return t.Shape.Workers * max(1, t.Shape.Accelerators)
}

// start lets a task run on its shares.
func (p *policy) start(t *task) {
	p.run(t)
	t.started = p.now
	p.decide(Start{Job: t.ID, Placement: t.placement()})
}

// run counts a task as running.
func (p *policy) run(t *task) {
	t.state = stateRunning
	t.slow = false
	for _, s := range t.shares {
		s.occupy(t)
	}
	t.tenant.running++
	t.tenant.active = append(t.tenant.active, t)
	t.tenant.weight += t.members()
	p.changes++
	p.dropHead(t)
}

// halt takes a running task off its shares.
func (p *policy) halt(t *task) {
	if t.state == stateLeaving {
		p.leaving = without(p.leaving, t)
	}
	for _, s := range t.shares {
		s.vacate(t)
	}
	t.tenant.running--
	t.tenant.active = without(t.tenant.active, t)
	t.tenant.weight -= t.members()
	p.leaveCell(t)
	t.shares = nil
	t.filler = nil
	p.free()
}

// hold keeps the shares of a task until those on it have left.
func (p *policy) hold(t *task) {
	t.state = statePending
	for _, s := range t.shares {
		s.hold(t)
	}
	p.pending = append(p.pending, t)
	p.dropHead(t)
	p.changes++
}

func (p *policy) unhold(t *task) {
	for _, s := range t.shares {
		s.unhold(t)
	}
	p.pending = without(p.pending, t)
	p.free()
}

// giveUp makes a task that holds a place wait again.
func (p *policy) giveUp(t *task) {
	p.unhold(t)
	p.leaveCell(t)
	t.shares = nil
	p.enqueue(t)
}

// startPending starts the tasks whose place is clear.
func (p *policy) startPending() {
	p.chosen = append(p.chosen[:0], p.pending...)
	for _, t := range p.chosen {
		if slices.ContainsFunc(t.shares, func(s share) bool { return !s.clear() }) {
			continue
		}
		if !t.cooled() {
			if t.firm() {
				p.clearCooling(t, p.config.Grace)
			}
			continue
		}
		shares := t.shares
		p.unhold(t)
		t.shares = shares
		p.start(t)
	}
}

// settle starts a task on its shares, or reclaims them first.
func (p *policy) settle(t *task, grace time.Duration) {
	p.dequeue(t)
	free := true
	for _, s := range t.shares {
		p.victims, _ = p.victimsOf(t, s, t.firm(), p.victims[:0])
		p.chosen = append(p.chosen[:0], p.victims...)
		for _, v := range p.chosen {
			p.displace(v, grace)
		}
		free = free && s.clear()
	}
	if !t.cooled() {
		free = false
		if t.firm() || t.urgent {
			p.clearCooling(t, grace)
		}
	}
	if free {
		p.start(t)
		return
	}
	p.hold(t)
}
