// Package bench simulates a scheduling policy of package scheduler in virtual
// time, checks that its decisions are valid, and measures completion times and
// fragmentation.
package bench

import (
	"container/heap"
	"errors"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

const (
	// checkpointTime is how long a worker takes to checkpoint a job.
	checkpointTime = 15 * time.Second

	// checkpointInterval is the run time between two checkpoints that a job takes
	// without being asked, if it can checkpoint.
	checkpointInterval = 30 * time.Minute

	// stopTime is how long a worker takes to stop a job without a checkpoint.
	stopTime = 200 * time.Millisecond

	// unresponsiveOneIn is the share of reclaimed jobs that do not respond, as one
	// in so many.
	unresponsiveOneIn = 20

	// failTime is how long a job runs before it fails.
	failTime = time.Second

	// maxFailures is the number of failed starts after which a job ends even if
	// the policy would try again. The gate does the same.
	maxFailures = scheduler.MaxFailures

	// throttledSpeed is the speed and draw of a throttled job, as a share of full
	// speed.
	throttledSpeed = 0.6

	// resubmitAfter is how long a caller takes to submit a job again that failed
	// or was stopped for good.
	resubmitAfter = 5 * time.Minute

	// quarantineTime is how long the policy may keep workers in quarantine after
	// they have stopped failing.
	quarantineTime = 2 * time.Hour

	// drainTime is how long the simulation goes on after the horizon, so that the
	// jobs can end.
	drainTime = 8 * day
)

const (
	waiting phase = iota
	running
	stopping
	ended
)

type (
	// phase is the state of a job.
	phase int

	// jobState is a job and its state in the simulation.
	//
	// attempt changes whenever the job starts or leaves its workers, timerID
	// also when its speed changes; events scheduled under a former value are
	// dropped. willFail tells that this attempt fails. speed is 1 unless the job
	// is throttled. drawFactor is the draw as a share of the most that the job's
	// accelerators can draw. remaining is the run time left at progressAt,
	// checkpointed the run time that the last checkpoint saved. attemptStart is
	// the start of the last attempt, firstStart that of the first.
	jobState struct {
		*SimulatedJob
		phase        phase
		attempt      int
		timerID      int
		willFail     bool
		drawFactor   float64
		failures     int
		speed        float64
		remaining    time.Duration
		checkpointed time.Duration
		progressAt   time.Duration
		attemptStart time.Duration
		placement    floor.Placement
		firstStart   time.Duration
		endedAt      time.Duration
		started      bool
		claim        claim
		outcome      Outcome
	}

	// machine is a simulated worker with its resources in use. Jobs that start on
	// a failing machine fail. drawHistory has the draw at each report so far.
	machine struct {
		floor.Worker
		usedAccelerators floor.Accelerators
		usedCores        int
		usedMemory       floor.MiB
		usedSlots        int
		failing          bool
		lost             bool
		draw             floor.Watts
		drawHistory      []floor.Watts
	}

	// simulation is a run of one policy under one workload and fault.
	//
	// activeJobs are the jobs that the policy has, openJobs is the number of jobs
	// that have not ended. maxAccelerators is the largest number on one worker.
	// impairments counts the parts of the floor that are lost or failing.
	// coolingBudget is zero if there is none.
	simulation struct {
		workload                    Workload
		policy                      scheduler.Policy
		accounts                    map[account.Name]account.Account
		jobs                        []*jobState
		byID                        map[job.ID]*jobState
		activeJobs                  map[account.Name][]*jobState
		machines                    map[floor.WorkerID]*machine
		workerOrder                 []floor.WorkerID
		events                      eventQueue
		now                         time.Duration
		nextWake                    time.Duration
		eventCount                  int
		coolingBudget               floor.Watts
		changedAccounts             map[account.Name]bool
		maxAccelerators             int
		impairments                 int
		impairedSince, impairedTime time.Duration
		openJobs                    int
		result                      *Result
		averages                    floorAverages
	}
)

// Run simulates a policy and returns what was measured.
func Run(workload Workload, fault Fault, policy scheduler.Policy, seed uint64) *Result {
	jobs := fault.ModifyJobs(workload, workload.Jobs(seed), seed)
	sm := newSimulation(workload, policy, jobs)
	fault.scheduleEvents(sm)
	sm.run()
	sm.computeResult()
	return sm.result
}

func newSimulation(workload Workload, policy scheduler.Policy, jobs []SimulatedJob) *simulation {
	sm := &simulation{
		workload:        workload,
		policy:          policy,
		accounts:        make(map[account.Name]account.Account),
		byID:            make(map[job.ID]*jobState),
		activeJobs:      make(map[account.Name][]*jobState),
		machines:        make(map[floor.WorkerID]*machine),
		changedAccounts: make(map[account.Name]bool),
		result:          &Result{},
	}
	for _, w := range workload.Workers {
		sm.workerOrder = append(sm.workerOrder, w.ID)
		sm.machines[w.ID] = &machine{Worker: w}
		sm.maxAccelerators = max(sm.maxAccelerators, w.Accelerators)
		policy.AddWorker(w)
	}
	sm.setAccounts(workload.Accounts)
	for i := range jobs {
		j := &jobState{SimulatedJob: &jobs[i], remaining: jobs[i].Run, drawFactor: 0.8 + float64(i%8)/35}
		sm.jobs = append(sm.jobs, j)
		sm.byID[j.ID] = j
		sm.schedule(j.Arrival, func() { sm.submit(j) })
	}
	sm.openJobs = len(sm.jobs)
	return sm
}

// run executes the events in the order of their times. The policy decides after
// all events of one time.
func (sm *simulation) run() {
	for len(sm.events) > 0 && sm.openJobs > 0 && sm.events[0].at <= sm.workload.Horizon+drainTime {
		at := sm.events[0].at
		sm.observe(at)
		sm.now = at
		for len(sm.events) > 0 && sm.events[0].at == at {
			heap.Pop(&sm.events).(event).action()
		}
		sm.decide()
	}
}

// decide carries out the policy's decisions and schedules its next wake-up.
func (sm *simulation) decide() {
	for _, d := range sm.policy.Decide(sm.virtualTime()) {
		switch d := d.(type) {
		case scheduler.Start:
			sm.start(sm.byID[d.Job], d.Placement)
		case scheduler.Reclaim:
			sm.reclaim(sm.byID[d.Job], d)
		case scheduler.Throttle:
			sm.throttle(sm.byID[d.Job], d.Slow)
		}
	}
	sm.updateClaims()
	wake := sm.policy.Wake()
	if wake.IsZero() {
		return
	}
	at := max(wake.Sub(virtualStart), sm.now+time.Millisecond)
	if sm.nextWake <= sm.now || at < sm.nextWake {
		sm.nextWake = at
		// Any event makes run call decide at its time.
		sm.schedule(at, func() {})
	}
}

// submit submits a job to the policy, and schedules its cancellation if its caller
// is to cancel it.
func (sm *simulation) submit(j *jobState) {
	err := sm.policy.Admit(sm.virtualTime(), j.Job)
	var refused *scheduler.RefusedError
	if errors.As(err, &refused) {
		sm.end(j, Refused)
		if !j.Infeasible {
			sm.recordInvalidDecision(j.ID, "refused though the floor can run it: "+refused.Reason)
		}
		return
	}
	if j.Infeasible {
		sm.recordInvalidDecision(j.ID, "admitted though the floor cannot run it")
	}
	sm.activeJobs[j.Account] = append(sm.activeJobs[j.Account], j)
	sm.markChanged(j)
	if j.Cancel > sm.now {
		sm.schedule(j.Cancel, func() { sm.cancel(j) })
	}
}

// setAccounts sets the accounts and their guarantees, also at the policy.
func (sm *simulation) setAccounts(accounts []account.Account) {
	for _, a := range accounts {
		sm.accounts[a.Name] = a
	}
	for _, a := range accounts {
		sm.changedAccounts[a.Name] = true
	}
	sm.policy.SetAccounts(accounts)
}

// markChanged records that the state of a job has changed, so that its account's
// claims and the state of the floor are determined anew.
func (sm *simulation) markChanged(j *jobState) {
	sm.changedAccounts[j.Account] = true
	sm.averages.outdated = true
}

// workersWhere returns the workers of the workload that match.
func (sm *simulation) workersWhere(match func(floor.Worker) bool) []floor.WorkerID {
	var ids []floor.WorkerID
	for _, w := range sm.workload.Workers {
		if match(w) {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// virtualTime returns the virtual time as a date.
func (sm *simulation) virtualTime() time.Time {
	return virtualStart.Add(sm.now)
}
