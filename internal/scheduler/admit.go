package scheduler

import (
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
)

func (p *policy) AddWorker(description floor.Worker) {
	w := p.floor.at(description.ID)
	if w.known && w.Worker == description {
		w.lost, w.drain = false, false
	} else {
		if w.known {
			w.lost = true
			p.vacateCells(w)
		}
		w.lost, w.drain = false, false
		p.floor.describe(w, description)
	}
	p.broken, p.repackDue = true, time.Time{}
	p.free()
}

func (p *policy) DrainWorker(id floor.WorkerID) {
	w, ok := p.floor.byID[id]
	if !ok || w.drain {
		return
	}
	w.drain = true
	p.vacateCells(w)
}

func (p *policy) RemoveWorker(id floor.WorkerID) {
	w, ok := p.floor.byID[id]
	if !ok || w.lost {
		return
	}
	w.lost = true
	p.vacateCells(w)
}

// vacateCells takes the cells off a worker that cannot be used, as far as no
// guaranteed job runs there that can go on.
func (p *policy) vacateCells(w *worker) {
	for _, t := range slices.Clone(w.pending) {
		if t.state == statePending {
			p.giveUp(t.task)
		}
	}
	for _, c := range slices.Clone(w.cells) {
		i := slices.IndexFunc(c.seats, func(s seat) bool { return s.share.worker == w })
		if i < 0 {
			continue
		}
		if w.lost {
			p.ejectFrom(c, i)
		}
		if c.seats[i].tasks == 0 {
			c.unbind(i)
		}
	}
	p.broken, p.repackDue = true, time.Time{}
	p.free()
}

func (p *policy) ejectFrom(c *cell, i int) {
	for _, t := range slices.Clone(c.tasks) {
		if slices.Contains(t.seats, i) {
			p.eject(t)
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
		p.setRanks(t)
		p.setCells(t)
		t.dirty = true
	}
	p.tenants = slices.DeleteFunc(p.tenants, func(t *tenant) bool {
		if t.known || t.waiting+t.running > 0 || len(t.cells) > 0 {
			return false
		}
		delete(p.byName, t.name)
		return true
	})
	p.repackDue = time.Time{}
	p.restoreCells()
	p.free()
}

// setRanks orders the classes of a tenant anew.
func (p *policy) setRanks(t *tenant) {
	for _, l := range t.lanes {
		l.rank = t.rank(l.key.class)
		p.urgent = without(p.urgent, l)
		if l.rank == urgentRank {
			p.urgent = append(p.urgent, l)
		}
		for _, k := range l.tasks[l.first:] {
			k.urgent = l.rank == urgentRank
		}
	}
	for _, k := range t.active {
		k.urgent = t.rank(k.Class) == urgentRank
	}
}

// setCells gives a tenant the cells that its guarantees name. Cells that are no
// longer guaranteed go, those in use last.
func (p *policy) setCells(t *tenant) {
	wanted := t.wanted()
	slices.SortStableFunc(t.cells, func(x, y *cell) int { return len(y.tasks) - len(x.tasks) })
	old := t.cells
	t.cells = nil
	for _, c := range old {
		if i := slices.Index(wanted, c.shape); i >= 0 {
			wanted = slices.Delete(wanted, i, i+1)
			t.cells = append(t.cells, c)
			continue
		}
		for _, k := range slices.Clone(c.tasks) {
			p.eject(k)
		}
		if c.guest != nil {
			c.guest.part()
		}
		c.unbindAll()
		p.cells = without(p.cells, c)
	}
	for _, shape := range wanted {
		c := newCell(t, shape)
		t.cells = append(t.cells, c)
		p.cells = append(p.cells, c)
	}
	slices.SortStableFunc(t.cells, func(x, y *cell) int { return x.size() - y.size() })
}

// wanted lists the shapes that the tenant is guaranteed, one by one.
func (t *tenant) wanted() []floor.Shape {
	var shapes []floor.Shape
	for _, g := range t.parameters.Guarantees {
		shape := g.Shape.Normal()
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
	for _, c := range trial.cells {
		if !c.whole() {
			return trial.refuse(c)
		}
	}
	return nil
}

func (p *policy) refuse(c *cell) error {
	count := 0
	for _, other := range c.tenant.cells {
		if other.shape == c.shape {
			count++
		}
	}
	return &GuaranteeError{Account: c.tenant.name, Shape: c.shape, Count: count}
}

func (p *policy) newTask(entry Job) *task {
	entry.Shape = entry.Shape.Normal()
	t := &task{Job: entry, tenant: p.tenant(entry.Account), arrival: p.arrivals}
	p.arrivals++
	t.urgent = t.tenant.rank(entry.Class) == urgentRank
	if t.urgent {
		t.tenant.urgentSize = max(t.tenant.urgentSize, t.members())
	}
	t.estimate = t.tenant.estimate(entry.Class)
	p.tasks[entry.ID] = t
	return t
}

func (p *policy) Admit(now time.Time, entry Job) error {
	p.tell(now)
	if _, ok := p.tasks[entry.ID]; ok {
		return nil
	}
	if field, reason := p.impossible(entry.Shape.Normal()); reason != "" {
		return &RefusedError{Field: field, Reason: reason, Never: true}
	}
	t := p.tenant(entry.Account)
	if limit := t.parameters.QueueLimit; limit > 0 && t.waiting >= limit {
		return &RefusedError{Field: "account", Reason: "the account's queue limit is reached"}
	}
	p.enqueue(p.newTask(entry))
	return nil
}

// impossible says why no place on the known floor can ever hold a shape.
func (p *policy) impossible(shape floor.Shape) (field, reason string) {
	if shape.Workers < 1 || shape.Accelerators < 0 || shape.Cores < 0 || shape.Memory < 0 {
		return "shape", "the shape has a negative size"
	}
	if len(p.floor.workers) == 0 || p.floor.missing > 0 {
		return "", ""
	}
	if p.floor.holds(shape) {
		return "", ""
	}
	return "shape", "no place on the floor can ever hold the shape"
}

// holds reports whether the floor could hold a shape if nothing else ran and
// all known workers were there.
func (f *plan) holds(shape floor.Shape) bool {
	if f.checked != f.version {
		f.checked = f.version
		f.fits = make(map[floor.Shape]bool)
	}
	fits, ok := f.fits[shape]
	if !ok {
		fits = f.fit(needOf(shape), shape)
		f.fits[shape] = fits
	}
	return fits
}

func (f *plan) fit(n need, shape floor.Shape) bool {
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
	p.tell(now)
	if _, ok := p.tasks[entry.ID]; ok {
		return
	}
	t := p.newTask(entry)
	if placement == nil {
		p.enqueue(t)
		return
	}
	for _, s := range placement {
		t.shares = append(t.shares, share{
			worker: p.floor.at(s.Worker),
			mask:   s.Accelerators,
			amount: amount{cores: s.Cores, memory: s.Memory, slots: 1},
		})
	}
	t.started = now
	p.run(t)
	p.broken = true
	t.tenant.dirty = true
}

func (p *policy) Requeue(now time.Time, id job.ID, outcome Outcome) {
	p.tell(now)
	t, ok := p.tasks[id]
	if !ok || !t.active() {
		return
	}
	reclaimed := t.state == stateLeaving
	if reclaimed && t.Checkpoint && !outcome.Failed {
		t.progress += p.now.Sub(t.started)
	}
	lost := slices.ContainsFunc(t.shares, func(s share) bool { return s.worker.lost })
	p.halt(t)
	switch {
	case outcome.Failed:
		p.learnFailure(t, outcome)
	case !reclaimed && !lost:
		t.retries++
	}
	if t.notBefore = p.wait(t); reclaimed || lost && !outcome.Failed || !t.notBefore.After(p.now) {
		p.enqueue(t)
		return
	}
	t.state = stateBackoff
	p.backoff = append(p.backoff, t)
	p.changes++
}

func (p *policy) Remove(now time.Time, id job.ID, outcome Outcome) {
	p.tell(now)
	t, ok := p.tasks[id]
	if !ok {
		return
	}
	delete(p.tasks, id)
	p.dropHead(t)
	switch t.state {
	case stateWaiting:
		p.dequeue(t)
	case stateBackoff:
		p.backoff = without(p.backoff, t)
	case statePending:
		p.unhold(t)
		p.leaveCell(t)
	case stateRunning, stateLeaving:
		p.learn(t, outcome)
		p.halt(t)
	}
	p.changes++
}

// learn takes the end of a run.
func (p *policy) learn(t *task, outcome Outcome) {
	switch {
	case outcome.Cancelled:
	case outcome.Failed:
		p.learnFailure(t, outcome)
	default:
		t.absolve()
		if !t.slow && t.state == stateRunning {
			t.estimate.learn(t.declared(), t.progress+p.now.Sub(t.started))
		}
	}
}
