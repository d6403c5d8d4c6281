package scheduler_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

const (
	waiting step = iota
	running
	leaving
)

type (
	step int

	// fake is a job as the fake floor knows it.
	fake struct {
		job       scheduler.Job
		step      step
		placement floor.Placement
		actual    time.Duration
		started   time.Time
		stop      time.Time
		reclaims  int
	}

	// model is a fake floor that carries decisions out and checks them.
	model struct {
		now      time.Time
		policy   scheduler.Policy
		workers  map[floor.WorkerID]floor.Worker
		lost     map[floor.WorkerID]bool
		drained  map[floor.WorkerID]bool
		budgets  []scheduler.Budget
		accounts []account.Account
		jobs     map[job.ID]*fake
		next     int
		stubborn bool
		faults   []string
	}
)

func newModel(workers []floor.Worker, accounts []account.Account, budgets ...scheduler.Budget) *model {
	m := &model{
		now:     time.Unix(1_000_000, 0).UTC(),
		policy:  scheduler.New(),
		workers: make(map[floor.WorkerID]floor.Worker),
		lost:    make(map[floor.WorkerID]bool),
		drained: make(map[floor.WorkerID]bool),
		budgets: budgets,
		jobs:    make(map[job.ID]*fake),
	}
	for _, w := range workers {
		m.workers[w.ID] = w
		m.policy.AddWorker(w)
	}
	m.policy.SetBudgets(budgets)
	m.setAccounts(accounts)
	return m
}

func (m *model) setAccounts(accounts []account.Account) {
	m.accounts = accounts
	m.policy.SetAccounts(accounts)
}

func (m *model) fault(format string, arguments ...any) {
	m.faults = append(m.faults, fmt.Sprintf(format, arguments...))
}

func (m *model) submit(entry scheduler.Job, actual time.Duration) error {
	entry.ID = job.ID(fmt.Sprintf("j%05d", m.next))
	entry.Submitted = m.now
	m.next++
	if err := m.policy.Admit(m.now, entry); err != nil {
		return err
	}
	entry.Shape = entry.Shape.Normal()
	m.jobs[entry.ID] = &fake{job: entry, actual: actual}
	return nil
}

// list returns the jobs in a step, by id.
func (m *model) list(steps ...step) []*fake {
	var list []*fake
	for _, f := range m.jobs {
		if slices.Contains(steps, f.step) {
			list = append(list, f)
		}
	}
	slices.SortFunc(list, func(x, y *fake) int { return cmp.Compare(x.job.ID, y.job.ID) })
	return list
}

func (m *model) end(f *fake, outcome scheduler.Outcome) {
	outcome.Elapsed = m.now.Sub(f.started)
	m.policy.Remove(m.now, f.job.ID, outcome)
	delete(m.jobs, f.job.ID)
}

func (m *model) requeue(f *fake, outcome scheduler.Outcome) {
	if f.job.Checkpoint && !outcome.Failed {
		f.actual = max(time.Second, f.actual-m.now.Sub(f.started))
	}
	f.step, f.placement = waiting, nil
	m.policy.Requeue(m.now, f.job.ID, outcome)
}

func (m *model) lose(id floor.WorkerID) {
	m.lost[id] = true
	m.policy.RemoveWorker(id)
	for _, f := range m.list(running, leaving) {
		if slices.ContainsFunc(f.placement, func(s floor.Share) bool { return s.Worker == id }) {
			m.requeue(f, scheduler.Outcome{})
		}
	}
}

// advance lets the time pass, ends what has run and stops what must leave.
func (m *model) advance(step time.Duration) {
	m.now = m.now.Add(step)
	for _, f := range m.list(running, leaving) {
		switch {
		case !m.now.Before(f.started.Add(f.actual)):
			m.end(f, scheduler.Outcome{})
		case f.step == leaving && !m.stubborn && !m.now.Before(f.stop):
			m.requeue(f, scheduler.Outcome{})
		}
	}
}

// decide carries out the decisions and checks each.
func (m *model) decide() {
	for _, decision := range m.policy.Decide(m.now) {
		switch d := decision.(type) {
		case scheduler.Start:
			m.start(d)
		case scheduler.Reclaim:
			m.reclaim(d)
		}
	}
	m.check()
}

func (m *model) reclaim(d scheduler.Reclaim) {
	f := m.jobs[d.Job]
	if f == nil || f.step == waiting {
		m.fault("job %s is reclaimed and does not run", d.Job)
		return
	}
	for _, b := range scheduler.BoundOf(m.policy) {
		if slices.Contains(b.Jobs, d.Job) {
			m.fault("guaranteed job %s is reclaimed", d.Job)
		}
	}
	if f.step == running {
		f.reclaims++
	}
	f.step = leaving
	f.stop = m.now.Add(d.Grace)
}

func (m *model) start(d scheduler.Start) {
	f := m.jobs[d.Job]
	if f == nil || f.step != waiting {
		m.fault("job %s is started and does not wait", d.Job)
		return
	}
	f.step, f.placement, f.started = running, d.Placement, m.now
	shape := f.job.Shape
	if len(d.Placement) != shape.Workers {
		m.fault("job %s starts on %d of %d workers", d.Job, len(d.Placement), shape.Workers)
	}
	cells := make(map[string]bool)
	seen := make(map[floor.WorkerID]bool)
	for _, s := range d.Placement {
		w, ok := m.workers[s.Worker]
		if !ok || m.lost[s.Worker] || m.drained[s.Worker] || seen[s.Worker] {
			m.fault("job %s starts on worker %s, which it must not use", d.Job, s.Worker)
		}
		seen[s.Worker] = true
		if s.Accelerators.Count() != shape.Accelerators || !aligned(s.Accelerators) {
			m.fault("job %s starts on accelerators %s", d.Job, s.Accelerators)
		}
		switch shape.Adjacency {
		case floor.AdjacentRack:
			cells[string(w.DataCentre)+"/"+string(w.Rack)] = true
		case floor.AdjacentDataCentre:
			cells[string(w.DataCentre)] = true
		}
	}
	if len(cells) > 1 {
		m.fault("job %s starts in %d cells", d.Job, len(cells))
	}
}

// aligned reports whether a set lies in the smallest aligned group for its size.
func aligned(set floor.Accelerators) bool {
	if set == 0 {
		return true
	}
	size := 1 << bits.Len(uint(set.Count()-1))
	low, high := bits.TrailingZeros64(uint64(set)), 63-bits.LeadingZeros64(uint64(set))
	return low/size == high/size
}

// usage is what shares take of a worker.
type usage struct {
	busy   floor.Accelerators
	cores  int
	memory floor.MiB
	slots  int
}

func (m *model) take(uses map[floor.WorkerID]*usage, s floor.Share, what string) {
	u := uses[s.Worker]
	if u == nil {
		u = &usage{}
		uses[s.Worker] = u
	}
	if u.busy&s.Accelerators != 0 {
		m.fault("%s takes accelerators of %s that are taken", what, s.Worker)
	}
	u.busy |= s.Accelerators
	u.cores += s.Cores
	u.memory += s.Memory
	u.slots++
	w := m.workers[s.Worker]
	if u.cores > w.Cores || u.memory > w.Memory || u.slots > w.Slots {
		m.fault("%s takes more of %s than there is", what, s.Worker)
	}
}

// check holds the invariants against what runs and where guarantees stand.
func (m *model) check() {
	uses := make(map[floor.WorkerID]*usage)
	draws := make([]floor.Watts, len(m.budgets))
	for _, f := range m.list(running, leaving) {
		for _, s := range f.placement {
			m.take(uses, s, "job "+string(f.job.ID))
			w := m.workers[s.Worker]
			for i, b := range m.budgets {
				if b.DataCentre == "" || b.DataCentre == w.DataCentre && (b.Rack == "" || b.Rack == w.Rack) {
					draws[i] += w.Draw(s)
				}
			}
		}
	}
	for i, b := range m.budgets {
		if draws[i] > b.Cooling {
			m.fault("budget %v is passed: %d", b, draws[i])
		}
	}
	m.checkBound()
	m.checkOverview(uses)
}

// checkBound holds the guarantees: they stand apart, on workers that can be
// used, and only jobs of theirs are protected there.
func (m *model) checkBound() {
	bound := make(map[floor.WorkerID]*usage)
	guaranteed := make(map[job.ID]scheduler.Bound)
	risks := make(map[account.Name]int)
	for _, b := range scheduler.BoundOf(m.policy) {
		whole := true
		for _, s := range b.Placement {
			if s.Worker == "" {
				whole = false
				continue
			}
			m.take(bound, s, "guarantee of "+string(b.Account))
			if m.lost[s.Worker] || m.drained[s.Worker] && len(b.Jobs) == 0 {
				m.fault("guarantee of %s stands on %s", b.Account, s.Worker)
			}
			if s.Accelerators.Count() != b.Shape.Accelerators || !aligned(s.Accelerators) {
				m.fault("guarantee of %s stands on accelerators %s", b.Account, s.Accelerators)
			}
		}
		if !whole {
			risks[b.Account]++
		}
		for _, id := range b.Jobs {
			guaranteed[id] = b
		}
	}
	for id, b := range guaranteed {
		f := m.jobs[id]
		if f == nil || f.job.Account != b.Account {
			m.fault("job %s is not one of %s", id, b.Account)
			continue
		}
		for _, s := range f.placement {
			if !slices.ContainsFunc(b.Placement, func(x floor.Share) bool {
				return x.Worker == s.Worker && s.Accelerators&^x.Accelerators == 0
			}) {
				m.fault("guaranteed job %s runs outside of its guarantee", id)
			}
		}
	}
	for _, q := range m.policy.Overview(m.now).Queues {
		if q.AtRisk != risks[q.Account] {
			m.fault("account %s reports %d of %d guarantees at risk", q.Account, q.AtRisk, risks[q.Account])
		}
	}
}

func (m *model) checkOverview(uses map[floor.WorkerID]*usage) {
	for _, w := range m.policy.Overview(m.now).Workers {
		u := uses[w.Worker.ID]
		if u == nil {
			u = &usage{}
		}
		if u.busy != w.Busy || u.cores != w.Cores || u.memory != w.Memory || u.slots != w.Slots {
			m.fault("worker %s holds %v, the policy counts %v", w.Worker.ID, *u, w)
		}
	}
	for id := range m.jobs {
		if _, ok := m.policy.Explain(m.now, id); !ok {
			m.fault("job %s is forgotten", id)
		}
	}
}

// back brings all workers back.
func (m *model) back() {
	for _, id := range slices.Sorted(maps.Keys(m.workers)) {
		delete(m.lost, id)
		delete(m.drained, id)
		m.policy.AddWorker(m.workers[id])
	}
}
