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
	waiting jobState = iota
	running
	leaving
)

type (
	jobState int

	// modelJob is a job as the model knows it. runTime is how long it really
	// runs.
	modelJob struct {
		job       scheduler.Job
		state     jobState
		placement floor.Placement
		runTime   time.Duration
		startedAt time.Time
		stopAt    time.Time
		reclaims  int
	}

	// model simulates the workers of a region. It carries out the policy's
	// decisions and records each violation of an invariant. With ignoreStops,
	// jobs do not stop when they are reclaimed.
	model struct {
		now         time.Time
		policy      scheduler.Policy
		workers     map[floor.WorkerID]floor.Worker
		lost        map[floor.WorkerID]bool
		drained     map[floor.WorkerID]bool
		budgets     []scheduler.Budget
		accounts    []account.Account
		jobs        map[job.ID]*modelJob
		next        int
		ignoreStops bool
		violations  []string
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
		jobs:    make(map[job.ID]*modelJob),
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

func (m *model) violation(format string, arguments ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, arguments...))
}

func (m *model) submit(entry scheduler.Job, runTime time.Duration) error {
	entry.ID = job.ID(fmt.Sprintf("j%05d", m.next))
	entry.Submitted = m.now
	m.next++
	if err := m.policy.Admit(m.now, entry); err != nil {
		return err
	}
	entry.Shape = entry.Shape.WithDefaults()
	m.jobs[entry.ID] = &modelJob{job: entry, runTime: runTime}
	return nil
}

// jobsIn returns the jobs in the given states, by id.
func (m *model) jobsIn(states ...jobState) []*modelJob {
	var list []*modelJob
	for _, j := range m.jobs {
		if slices.Contains(states, j.state) {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(x, y *modelJob) int { return cmp.Compare(x.job.ID, y.job.ID) })
	return list
}

func (m *model) endJob(j *modelJob, outcome scheduler.Outcome) {
	outcome.Elapsed = m.now.Sub(j.startedAt)
	m.policy.Remove(m.now, j.job.ID, outcome)
	delete(m.jobs, j.job.ID)
}

func (m *model) requeue(j *modelJob, outcome scheduler.Outcome) {
	if j.job.Checkpoint && !outcome.Failed {
		j.runTime = max(time.Second, j.runTime-m.now.Sub(j.startedAt))
	}
	j.state, j.placement = waiting, nil
	m.policy.Requeue(m.now, j.job.ID, outcome)
}

func (m *model) loseWorker(id floor.WorkerID) {
	m.lost[id] = true
	m.policy.RemoveWorker(id)
	for _, j := range m.jobsIn(running, leaving) {
		if slices.ContainsFunc(j.placement, func(s floor.Allocation) bool { return s.Worker == id }) {
			m.requeue(j, scheduler.Outcome{})
		}
	}
}

// advance lets time pass. It ends the jobs that have run long enough and stops
// those that were reclaimed.
func (m *model) advance(step time.Duration) {
	m.now = m.now.Add(step)
	for _, j := range m.jobsIn(running, leaving) {
		switch {
		case !m.now.Before(j.startedAt.Add(j.runTime)):
			m.endJob(j, scheduler.Outcome{})
		case j.state == leaving && !m.ignoreStops && !m.now.Before(j.stopAt):
			m.requeue(j, scheduler.Outcome{})
		}
	}
}

// decide carries out the decisions and checks each of them.
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
	j := m.jobs[d.Job]
	if j == nil || j.state == waiting {
		m.violation("job %s is reclaimed but does not run", d.Job)
		return
	}
	for _, b := range scheduler.BoundGuarantees(m.policy) {
		if slices.Contains(b.Jobs, d.Job) {
			m.violation("guaranteed job %s is reclaimed", d.Job)
		}
	}
	if j.state == running {
		j.reclaims++
	}
	j.state = leaving
	j.stopAt = m.now.Add(d.Grace)
}

func (m *model) start(d scheduler.Start) {
	j := m.jobs[d.Job]
	if j == nil || j.state != waiting {
		m.violation("job %s is started but does not wait", d.Job)
		return
	}
	j.state, j.placement, j.startedAt = running, d.Placement, m.now
	shape := j.job.Shape
	if len(d.Placement) != shape.Workers {
		m.violation("job %s starts on %d of %d workers", d.Job, len(d.Placement), shape.Workers)
	}
	domains := make(map[string]bool)
	seen := make(map[floor.WorkerID]bool)
	for _, s := range d.Placement {
		w, ok := m.workers[s.Worker]
		if !ok || m.lost[s.Worker] || m.drained[s.Worker] || seen[s.Worker] {
			m.violation("job %s starts on worker %s, which it must not use", d.Job, s.Worker)
		}
		seen[s.Worker] = true
		if s.Accelerators.Count() != shape.Accelerators || !aligned(s.Accelerators) {
			m.violation("job %s starts on accelerators %s", d.Job, s.Accelerators)
		}
		switch shape.Adjacency {
		case floor.AdjacentRack:
			domains[string(w.DataCentre)+"/"+string(w.Rack)] = true
		case floor.AdjacentDataCentre:
			domains[string(w.DataCentre)] = true
		}
	}
	if len(domains) > 1 {
		m.violation("job %s starts in %d domains", d.Job, len(domains))
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

// usage is what is in use of a worker.
type usage struct {
	busy   floor.Accelerators
	cores  int
	memory floor.MiB
	slots  int
}

func (m *model) take(usages map[floor.WorkerID]*usage, s floor.Allocation, what string) {
	u := usages[s.Worker]
	if u == nil {
		u = &usage{}
		usages[s.Worker] = u
	}
	if u.busy&s.Accelerators != 0 {
		m.violation("%s takes accelerators of %s that are taken", what, s.Worker)
	}
	u.busy |= s.Accelerators
	u.cores += s.Cores
	u.memory += s.Memory
	u.slots++
	w := m.workers[s.Worker]
	if u.cores > w.Cores || u.memory > w.Memory || u.slots > w.Slots {
		m.violation("%s takes more of %s than there is", what, s.Worker)
	}
}

// check checks the invariants on usage, cooling budgets, guarantees and the
// overview.
func (m *model) check() {
	usages := make(map[floor.WorkerID]*usage)
	totalDraw := make([]floor.Watts, len(m.budgets))
	for _, j := range m.jobsIn(running, leaving) {
		for _, s := range j.placement {
			m.take(usages, s, "job "+string(j.job.ID))
			w := m.workers[s.Worker]
			for i, b := range m.budgets {
				if b.DataCentre == "" || b.DataCentre == w.DataCentre && (b.Rack == "" || b.Rack == w.Rack) {
					totalDraw[i] += w.CoolingOf(s)
				}
			}
		}
	}
	for i, b := range m.budgets {
		if totalDraw[i] > b.Cooling {
			m.violation("budget %v is exceeded: %d W", b, totalDraw[i])
		}
	}
	m.checkBound()
	m.checkOverview(usages)
}

// checkBound checks that guarantees are bound to separate capacity of usable
// workers, and that guaranteed jobs run within their guarantees.
func (m *model) checkBound() {
	bound := make(map[floor.WorkerID]*usage)
	guaranteed := make(map[job.ID]scheduler.BoundGuarantee)
	atRisk := make(map[account.Name]int)
	for _, b := range scheduler.BoundGuarantees(m.policy) {
		whole := true
		for _, s := range b.Placement {
			if s.Worker == "" {
				whole = false
				continue
			}
			m.take(bound, s, "guarantee of "+string(b.Account))
			if m.lost[s.Worker] || m.drained[s.Worker] && len(b.Jobs) == 0 {
				m.violation("guarantee of %s is bound to %s", b.Account, s.Worker)
			}
			if s.Accelerators.Count() != b.Shape.Accelerators || !aligned(s.Accelerators) {
				m.violation("guarantee of %s is bound to accelerators %s", b.Account, s.Accelerators)
			}
		}
		if !whole {
			atRisk[b.Account]++
		}
		for _, id := range b.Jobs {
			guaranteed[id] = b
		}
	}
	for id, b := range guaranteed {
		j := m.jobs[id]
		if j == nil || j.job.Account != b.Account {
			m.violation("job %s on a guarantee of %s is not one of its jobs", id, b.Account)
			continue
		}
		for _, s := range j.placement {
			if !slices.ContainsFunc(b.Placement, func(x floor.Allocation) bool {
				return x.Worker == s.Worker && s.Accelerators&^x.Accelerators == 0
			}) {
				m.violation("guaranteed job %s runs outside of its guarantee", id)
			}
		}
	}
	for _, q := range m.policy.Overview(m.now).Queues {
		if q.AtRisk != atRisk[q.Account] {
			m.violation("account %s reports %d guarantees at risk, want %d", q.Account, q.AtRisk, atRisk[q.Account])
		}
	}
}

func (m *model) checkOverview(usages map[floor.WorkerID]*usage) {
	for _, w := range m.policy.Overview(m.now).Workers {
		u := usages[w.Worker.ID]
		if u == nil {
			u = &usage{}
		}
		if u.busy != w.Busy || u.cores != w.Cores || u.memory != w.Memory || u.slots != w.Slots {
			m.violation("worker %s holds %v, the policy counts %v", w.Worker.ID, *u, w)
		}
	}
	for id := range m.jobs {
		if _, ok := m.policy.Explain(m.now, id); !ok {
			m.violation("job %s is unknown to the policy", id)
		}
	}
}

// restoreWorkers adds all lost and drained workers again.
func (m *model) restoreWorkers() {
	for _, id := range slices.Sorted(maps.Keys(m.workers)) {
		delete(m.lost, id)
		delete(m.drained, id)
		m.policy.AddWorker(m.workers[id])
	}
}
