package scheduler

import (
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
)

func (p *policy) AddWorker(description floor.Worker) {
	w := p.floor.workerOf(description.ID)
	if w.known && w.Worker == description {
		w.removed, w.draining = false, false
	} else {
		if w.known {
			w.removed = true
			p.releaseGuarantees(w)
		}
		w.removed, w.draining = false, false
		p.floor.describe(w, description)
	}
	p.rebindDue, p.nextRepack = true, time.Time{}
	p.noteFreed()
}

func (p *policy) DrainWorker(id floor.WorkerID) {
	w, ok := p.floor.byID[id]
	if !ok || w.draining {
		return
	}
	w.draining = true
	p.releaseGuarantees(w)
}

func (p *policy) RemoveWorker(id floor.WorkerID) {
	w, ok := p.floor.byID[id]
	if !ok || w.removed {
		return
	}
	w.removed = true
	p.releaseGuarantees(w)
}

// releaseGuarantees unbinds guarantees from a worker that is no longer usable.
// Segments with running guaranteed jobs stay until those end, unless the worker
// is lost. Pending jobs go back to their queues.
func (p *policy) releaseGuarantees(w *worker) {
	for _, t := range slices.Clone(w.pending) {
		if t.state == statePending {
			p.requeuePending(t.jobEntry)
		}
	}
	for _, g := range slices.Clone(w.guarantees) {
		i := slices.IndexFunc(g.segments, func(s segment) bool { return s.share.worker == w })
		if i < 0 {
			continue
		}
		if w.removed {
			p.demoteOn(g, i)
		}
		if g.segments[i].jobs == 0 {
			g.unbind(i)
		}
	}
	p.rebindDue, p.nextRepack = true, time.Time{}
	p.noteFreed()
}

// demoteOn demotes the jobs on segment i of a guarantee.
func (p *policy) demoteOn(g *guarantee, i int) {
	for _, t := range slices.Clone(g.jobs) {
		if slices.Contains(t.segments, i) {
			p.demote(t)
		}
	}
}

func (p *policy) SetAccounts(accounts []account.Account) {
	for _, t := range p.tenants {
		t.known = false
	}
	for _, a := range accounts {
		t := p.tenant(a.Name)
		t.known = true
		t.parameters = a.Parameters
	}
	for _, t := range p.tenants {
		if !t.known {
			t.parameters = account.DefaultParameters()
		}
		p.setPriorities(t)
		p.setGuarantees(t)
		t.claimsDue = true
	}
	p.tenants = slices.DeleteFunc(p.tenants, func(t *tenant) bool {
		if t.known || t.waiting+t.running > 0 || len(t.guarantees) > 0 {
			return false
		}
		delete(p.tenantOf, t.name)
		return true
	})
	p.nextRepack = time.Time{}
	p.rebindGuarantees()
	p.noteFreed()
}

// setPriorities applies the account's order of classes, and its urgent ones, to
// lanes and jobs.
func (p *policy) setPriorities(t *tenant) {
	for _, l := range t.lanes {
		l.priority = t.priority(l.key.class)
		p.urgent = without(p.urgent, l)
		if l.priority == urgentPriority {
			p.urgent = append(p.urgent, l)
		}
		for _, k := range l.jobs[l.first:] {
			k.urgent = l.priority == urgentPriority
		}
	}
	for _, k := range t.active {
		k.urgent = t.priority(k.Class) == urgentPriority
	}
}

// setGuarantees adds and deletes guarantees of a tenant to match the account's
// settings. Among equal ones those in use are kept.
func (p *policy) setGuarantees(t *tenant) {
	wanted := t.guaranteedShapes()
	slices.SortStableFunc(t.guarantees, func(x, y *guarantee) int { return len(y.jobs) - len(x.jobs) })
	old := t.guarantees
	t.guarantees = nil
	for _, g := range old {
		if i := slices.Index(wanted, g.shape); i >= 0 {
			wanted = slices.Delete(wanted, i, i+1)
			t.guarantees = append(t.guarantees, g)
			continue
		}
		for _, k := range slices.Clone(g.jobs) {
			p.demote(k)
		}
		if g.backed != nil {
			g.backed.releaseBacking()
		}
		g.unbindAll()
		p.guarantees = without(p.guarantees, g)
	}
	for _, shape := range wanted {
		g := newGuarantee(t, shape)
		t.guarantees = append(t.guarantees, g)
		p.guarantees = append(p.guarantees, g)
	}
	slices.SortStableFunc(t.guarantees, func(x, y *guarantee) int { return x.size() - y.size() })
}

// guaranteedShapes lists the shapes that the account is guaranteed, each as
// many times as its count says.
func (t *tenant) guaranteedShapes() []floor.Shape {
	var shapes []floor.Shape
	for _, g := range t.parameters.Guarantees {
		shape := g.Shape.WithDefaults()
		shape.Cores = g.Shape.Cores
		for range g.Count {
			shapes = append(shapes, shape)
		}
	}
	return shapes
}

func (p *policy) CheckAccounts(accounts []account.Account) error {
	if len(p.floor.workers) == 0 {
		return nil
	}
	trial := New().(*policy)
	trial.floor.limits = p.floor.limits
	for _, w := range p.floor.workers {
		copied := &worker{Worker: w.Worker, known: true}
		trial.floor.byID[w.ID] = copied
		trial.floor.workers = append(trial.floor.workers, copied)
	}
	trial.floor.rebuild()
	trial.SetAccounts(accounts)
	for _, g := range trial.guarantees {
		if !g.fullyBound() {
			return trial.guaranteeError(g)
		}
	}
	return nil
}

// guaranteeError returns the error for a guarantee that could not be bound.
func (p *policy) guaranteeError(g *guarantee) error {
	count := 0
	for _, other := range g.tenant.guarantees {
		if other.shape == g.shape {
			count++
		}
	}
	return &GuaranteeError{Account: g.tenant.name, Shape: g.shape, Count: count}
}

func (p *policy) newEntry(entry Job) *jobEntry {
	entry.Shape = entry.Shape.WithDefaults()
	t := &jobEntry{Job: entry, tenant: p.tenant(entry.Account), arrival: p.arrivals}
	p.arrivals++
	t.urgent = t.tenant.priority(entry.Class) == urgentPriority
	if t.urgent {
		t.tenant.urgentSize = max(t.tenant.urgentSize, t.size())
	}
	t.estimate = t.tenant.estimate(entry.Class)
	p.jobs[entry.ID] = t
	return t
}

func (p *policy) Admit(now time.Time, entry Job) error {
	p.advanceClock(now)
	if _, ok := p.jobs[entry.ID]; ok {
		return nil
	}
	if field, reason := p.infeasible(entry.Shape.WithDefaults()); reason != "" {
		return &RefusedError{Field: field, Reason: reason, Permanent: true}
	}
	t := p.tenant(entry.Account)
	if limit := t.parameters.QueueLimit; limit > 0 && t.waiting >= limit {
		return &RefusedError{Field: "account", Reason: "the account's queue limit is reached"}
	}
	p.enqueue(p.newEntry(entry))
	return nil
}

// infeasible returns the faulty field and the reason if the known workers can
// never hold a shape, and empty strings otherwise.
func (p *policy) infeasible(shape floor.Shape) (field, reason string) {
	if shape.Workers < 1 || shape.Accelerators < 0 || shape.Cores < 0 || shape.Memory < 0 {
		return "shape", "the shape needs at least one worker and no negative amounts"
	}
	if len(p.floor.workers) == 0 || p.recovering() {
		return "", ""
	}
	if p.floor.canHold(shape) {
		return "", ""
	}
	return "shape", "no known workers can ever hold the shape"
}

// canHold reports whether the known workers, lost ones included, could hold a
// shape if nothing else ran.
func (f *floorState) canHold(shape floor.Shape) bool {
	if f.fitsVersion != f.version {
		f.fitsVersion = f.version
		f.fits = make(map[floor.Shape]bool)
	}
	fits, ok := f.fits[shape]
	if !ok {
		fits = f.canHoldNeed(needOf(shape), shape)
		f.fits[shape] = fits
	}
	return fits
}

func (f *floorState) canHoldNeed(n need, shape floor.Shape) bool {
	if shape.Workers > 1 && shape.Adjacency == floor.AdjacentWorker {
		return false
	}
	for _, d := range f.domains(shape.Adjacency) {
		count := 0
		for _, w := range d.workers {
			if n.accelerators <= w.Accelerators && n.amount.within(w.capacity()) {
				count++
			}
		}
		if count >= shape.Workers {
			return true
		}
	}
	return false
}

func (p *policy) Restore(now time.Time, entry Job, placement floor.Placement) {
	p.advanceClock(now)
	if _, ok := p.jobs[entry.ID]; ok {
		return
	}
	t := p.newEntry(entry)
	if placement == nil {
		p.enqueue(t)
		return
	}
	for _, s := range placement {
		t.shares = append(t.shares, share{
			worker: p.floor.workerOf(s.Worker),
			mask:   s.Accelerators,
			amount: amount{cores: s.Cores, memory: s.Memory, slots: 1},
		})
	}
	t.startedAt = now
	p.markRunning(t)
	p.rebindDue = true
	t.tenant.claimsDue = true
}

func (p *policy) Requeue(now time.Time, id job.ID, outcome Outcome) {
	p.advanceClock(now)
	t, ok := p.jobs[id]
	if !ok || !t.active() {
		return
	}
	reclaimed := t.state == stateLeaving
	if reclaimed && t.Checkpoint && !outcome.Failed {
		t.progress += p.now.Sub(t.startedAt)
	}
	lost := slices.ContainsFunc(t.shares, func(s share) bool { return s.worker.removed })
	p.releaseRun(t)
	switch {
	case outcome.Failed:
		p.recordFailure(t, outcome)
	case !reclaimed && !lost:
		t.earlyEnds++
	}
	if t.notBefore = p.retryAt(t); reclaimed || lost && !outcome.Failed || !t.notBefore.After(p.now) {
		p.enqueue(t)
		return
	}
	t.state = stateBackoff
	p.backoff = append(p.backoff, t)
	p.changes++
}

func (p *policy) Remove(now time.Time, id job.ID, outcome Outcome) {
	p.advanceClock(now)
	t, ok := p.jobs[id]
	if !ok {
		return
	}
	delete(p.jobs, id)
	p.dropReservation(t)
	switch t.state {
	case stateWaiting:
		p.dequeue(t)
	case stateBackoff:
		p.backoff = without(p.backoff, t)
	case statePending:
		p.unhold(t)
		p.leaveGuarantee(t)
	case stateRunning, stateLeaving:
		p.recordOutcome(t, outcome)
		p.releaseRun(t)
	}
	p.changes++
}

// recordOutcome updates the failures and successes of workers and the run-time
// estimates.
func (p *policy) recordOutcome(t *jobEntry, outcome Outcome) {
	switch {
	case outcome.Cancelled:
	case outcome.Failed:
		p.recordFailure(t, outcome)
	default:
		t.recordSuccess()
		if !t.throttled && t.state == stateRunning {
			t.estimate.addRun(t.declaredRunTime(), t.progress+p.now.Sub(t.startedAt))
		}
	}
}
