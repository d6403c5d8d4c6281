package bench

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

const (
	// NoFault is a run without a fault.
	NoFault Fault = "calm"

	// Bursts adds jobs of all streams that arrive within minutes, twice.
	Bursts Fault = "bursts"

	// WrongRunTimes makes each declared run time 10 times too short or too long.
	WrongRunTimes Fault = "times"

	// Cancels has callers cancel many recent jobs, in three waves.
	Cancels Fault = "cancels"

	// FailingJobs has workers on which every job fails, and jobs that fail on every
	// worker.
	FailingJobs Fault = "failing"

	// RackLost removes a rack for two hours.
	RackLost Fault = "rack"

	// CentreLost removes a data centre for six hours.
	CentreLost Fault = "centre"

	// StaleDrawReports sets a cooling budget for the region that is below what all
	// workers draw together, and reports each worker's draw 15 minutes late.
	StaleDrawReports Fault = "stale"

	// GuaranteeChanges doubles, removes and restores guarantees while they are in use.
	GuaranteeChanges Fault = "guarantees"
)

const (
	// FailingWorkers is the number of workers on which every job fails under the
	// fault FailingJobs.
	FailingWorkers = 2

	// coolingShare is the cooling budget of the region as a share of what all
	// accelerators draw at most.
	coolingShare = 0.9

	reportInterval = 5 * time.Minute
	reportLag      = 15 * time.Minute
	burstLength    = 10 * time.Minute
	waveLookback   = 4 * time.Hour
)

type (
	// Fault is a disturbance of a run.
	Fault string
)

// Faults lists all faults, NoFault included.
var Faults = []Fault{NoFault, Bursts, WrongRunTimes, Cancels, FailingJobs, RackLost, CentreLost, StaleDrawReports, GuaranteeChanges}

// ModifyJobs returns a copy of the jobs with the changes that the fault makes to
// them.
func (f Fault) ModifyJobs(workload Workload, jobs []SimulatedJob, seed uint64) []SimulatedJob {
	g := generator{workload: workload, rng: rand.New(rand.NewPCG(seed, 5)), jobs: slices.Clone(jobs)}
	switch f {
	case Bursts:
		g.addBurst(workload.Horizon / 4)
		g.addBurst(workload.Horizon / 2)
	case WrongRunTimes:
		g.misdeclareRunTimes()
	case Cancels:
		g.addCancellations()
	case FailingJobs:
		g.addFailingJobs()
	}
	return g.sortAndNumber()
}

// addBurst adds as many jobs as arrive on average within three hours, or within
// one hour for urgent streams, and spreads them over burstLength.
func (g *generator) addBurst(at time.Duration) {
	for _, s := range g.workload.Streams {
		hours := 3.0
		if s.Urgent {
			hours = 1
		}
		count := int(s.JobsPerDay*hours/24 + g.rng.Float64())
		for range count {
			g.jobs = append(g.jobs, g.newJob(s, at+time.Duration(g.rng.Float64()*float64(burstLength))))
		}
	}
}

// misdeclareRunTimes makes each declared run time a tenth or ten times the real
// one.
func (g *generator) misdeclareRunTimes() {
	for i := range g.jobs {
		j := &g.jobs[i]
		if g.rng.IntN(2) == 0 {
			j.Expected = max(j.Run/10, time.Second)
		} else {
			j.Expected = j.Run * 10
		}
	}
}

// addCancellations has callers cancel, in three waves, two in five of the jobs
// that arrived within waveLookback before the wave.
func (g *generator) addCancellations() {
	for wave := range 3 {
		at := g.workload.Horizon / 4 * time.Duration(wave+1)
		for i := range g.jobs {
			j := &g.jobs[i]
			if j.Arrival < at && at-j.Arrival < waveLookback && !j.Infeasible && g.rng.IntN(5) < 2 {
				j.Cancel, j.Unmeasured = at+time.Duration(g.rng.IntN(60))*time.Second, true
			}
		}
	}
}

// addFailingJobs makes one in 50 jobs that are not urgent fail on every worker.
func (g *generator) addFailingJobs() {
	for i := range g.jobs {
		if j := &g.jobs[i]; !j.Infeasible && !j.Urgent && g.rng.IntN(50) == 0 {
			j.AlwaysFails, j.Unmeasured = true, true
		}
	}
}

// scheduleEvents schedules what the fault does to the floor and the accounts.
func (f Fault) scheduleEvents(sm *simulation) {
	horizon := sm.workload.Horizon
	first := sm.workload.Workers[0]
	switch f {
	case FailingJobs:
		failing := sm.workersWhere(func(w floor.Worker) bool { return w.Rack == first.Rack && w.Accelerators > 0 })[:FailingWorkers]
		sm.schedule(horizon/5, func() { sm.setFailing(failing, true) })
		sm.schedule(horizon*3/5, func() { sm.setFailing(failing, false) })
	case RackLost:
		lost := sm.workersWhere(func(w floor.Worker) bool { return w.DataCentre == first.DataCentre && w.Rack == first.Rack })
		sm.schedule(horizon*2/5, func() { sm.loseWorkers(lost) })
		sm.schedule(horizon*2/5+2*time.Hour, func() { sm.restoreWorkers(lost) })
	case CentreLost:
		last := sm.workload.Workers[len(sm.workload.Workers)-1]
		lost := sm.workersWhere(func(w floor.Worker) bool { return w.DataCentre == last.DataCentre })
		sm.schedule(horizon*2/5, func() { sm.loseWorkers(lost) })
		sm.schedule(horizon*2/5+6*time.Hour, func() { sm.restoreWorkers(lost) })
	case StaleDrawReports:
		sm.coolingBudget = floor.Watts(coolingShare * float64(sm.workload.Accelerators()) * float64(acceleratorDraw))
		sm.policy.SetBudgets([]scheduler.Budget{{Cooling: sm.coolingBudget}})
		sm.schedule(reportInterval, sm.reportDraw)
	case GuaranteeChanges:
		for i, factor := range []int{2, 1, 0, 1, 2} {
			sm.schedule(horizon*time.Duration(i+1)/6, func() { sm.scaleGuarantees(factor) })
		}
	}
}

// scaleGuarantees multiplies the workload's count of each account's smallest
// guarantee. It sets the accounts if the policy finds that the floor can satisfy
// them, and counts the change as declined otherwise.
func (sm *simulation) scaleGuarantees(factor int) {
	changed := slices.Clone(sm.workload.Accounts)
	for i := range changed {
		if changed[i].Parameters.Guarantees = slices.Clone(changed[i].Parameters.Guarantees); changed[i].Parameters.Guarantees != nil {
			smallest := slices.MinFunc(changed[i].Parameters.Guarantees, func(x, y account.Guarantee) int {
				return cmp.Compare(x.Shape.Workers*x.Shape.Accelerators, y.Shape.Workers*y.Shape.Accelerators)
			})
			multiplyCount(changed[i].Parameters.Guarantees, smallest.Shape, factor)
		}
	}
	if err := sm.policy.CheckAccounts(changed); err != nil {
		sm.result.DeclinedChanges++
		return
	}
	sm.setAccounts(changed)
}

// multiplyCount multiplies the count of the guarantees of a shape.
func multiplyCount(guarantees []account.Guarantee, shape floor.Shape, factor int) {
	for i := range guarantees {
		if guarantees[i].Shape == shape {
			guarantees[i].Count *= factor
		}
	}
}

// reportDraw reports to the policy what each worker drew reportLag ago, and
// schedules the next report.
func (sm *simulation) reportDraw() {
	at := sm.virtualTime().Add(-reportLag)
	for _, id := range sm.workerOrder {
		m := sm.machines[id]
		m.drawHistory = append(m.drawHistory, m.draw)
		if lag := int(reportLag / reportInterval); len(m.drawHistory) > lag {
			sm.policy.ReportDraw(at, id, m.drawHistory[len(m.drawHistory)-1-lag])
		}
	}
	sm.schedule(sm.now+reportInterval, sm.reportDraw)
}
