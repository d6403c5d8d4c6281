package region

import (
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/plan"
	"github.com/lovageroad/lovageroad/internal/work"
)

const (
	// coresPerAccelerator is how many cores an accelerator counts as when lost work
	// is estimated.
	coresPerAccelerator = 8

	// localityWaitFraction is the part of its expected run time for which a step
	// waits for free capacity close to its data, or within one rack, before it may
	// run elsewhere.
	localityWaitFraction = 0.7

	// lateFactor is the multiple of its latency objective after which a job is of
	// no more value to its caller.
	lateFactor = 3

	// preemptionBudgetShare is how much work may be lost for an urgent job, as a
	// share of its own work. The users put a price on lost work, so that a gain in
	// time is worth only a small loss.
	preemptionBudgetShare = 0.3

	// idleReserveDivisor says that jobs with time to spare leave one in this many
	// of all workers idle for urgent jobs.
	idleReserveDivisor = 5

	// idleReserveSlack is the least spare time of a job that leaves idle workers to
	// urgent jobs.
	idleReserveSlack = 3 * time.Second

	// replanInterval is how often waiting tasks are planned again though nothing
	// has changed, since some may have become urgent or may now run outside the
	// rack that they prefer.
	replanInterval = 200 * time.Millisecond

	// trustedWait is how long the last attempt of a job waits for a worker that has
	// failed nothing since it last ran a task well. A gang that needs all workers
	// would wait for ever otherwise.
	trustedWait = 2 * time.Second

	// preemptionLead is how long before its latest start a job may preempt tasks of
	// lower priority: about as long as a task takes to stop.
	preemptionLead = 1500 * time.Millisecond
)

// schedule plans the waiting tasks, marks the tasks to preempt as stopping and
// orders the starts.
func (c *Core) schedule(now time.Time) {
	c.updatePoolCapacity()
	c.closeRacks()
	c.reach = c.fastSlowdown(now)
	guaranteed := c.guaranteedJobs()
	c.interference.guaranteed = guaranteed
	c.nextReplan = time.Time{}
	c.endShortages(now)
	demands := c.demands(now, guaranteed)
	if len(demands) == 0 {
		return
	}
	c.replanBy(now.Add(replanInterval))
	workers := c.sortedWorkers()
	planWorkers := make([]plan.Worker, len(workers))
	for i, w := range workers {
		planWorkers[i] = c.planWorker(now, w, guaranteed)
	}
	c.order(now, demands, planWorkers)
	c.rankInterference(now, workers, demands)
	planDemands := make([]plan.Demand, len(demands))
	for i := range demands {
		planDemands[i] = demands[i].demand
	}
	decision := plan.Plan(planWorkers, planDemands)
	for i, id := range decision.Stops {
		if _, s, t := c.find(id); t != nil && t.worker != nil {
			t.stopping = true
			t.preemptions++
			t.worker.markOrdersPending()
			c.log(LogEntry{Event: "task preempted", Task: id, Run: t.run, Worker: t.worker.id, Beneficiary: decision.Beneficiaries[i], Lost: c.lostWork(now, s, t)})
		}
	}
	c.logInterference(demands, decision.Starts)
	runs := make(map[work.StepID]work.Run)
	for _, start := range decision.Starts {
		c.orderStart(now, start, runs)
	}
}

// replanBy makes sure that waiting tasks are planned again by the given time.
func (c *Core) replanBy(at time.Time) {
	if c.nextReplan.IsZero() || at.Before(c.nextReplan) {
		c.nextReplan = at
	}
}

// orderStart orders a task to start on a worker. The members of a gang get the same
// run.
func (c *Core) orderStart(now time.Time, start plan.Start, runs map[work.StepID]work.Run) {
	j, s, t := c.find(start.Task)
	w := c.workers[control.AgentID(start.Worker)]
	run := c.nextRun(t)
	if s.spec.Gang {
		if runs[s.id] == 0 {
			for i := range s.tasks {
				runs[s.id] = max(runs[s.id], c.nextRun(&s.tasks[i]))
			}
		}
		run = runs[s.id]
	}
	t.worker, t.run, t.reported, t.stopping, t.orderedAt = w, run, false, false, now
	t.comparable, t.paced = c.comparable(now, s, t, w), false
	c.addPlacement(w, start.Task, &placement{run: run, request: s.spec.Request()})
	w.markOrdersPending()
	c.log(LogEntry{Event: "task ordered", Task: start.Task, Run: run, Worker: w.id, Age: now.Sub(j.arrival)})
}

// guaranteedJobs returns the jobs of priority 0 whose accelerators are within the
// guarantees of their accounts, counted in the order in which this leader learned
// of the jobs.
func (c *Core) guaranteedJobs() map[*job]bool {
	guaranteed := make(map[*job]bool)
	if c.currentConfiguration == nil {
		return guaranteed
	}
	used := make(map[work.AccountID]int64)
	for _, j := range c.liveJobs {
		if j.hasEnded() || !j.active() || c.queue(j).Priority != 0 {
			continue
		}
		need := j.accelerators()
		if used[j.Job.Account]+need <= c.currentConfiguration.GuaranteedAccelerators(j.Job.Account) {
			used[j.Job.Account] += need
			guaranteed[j] = true
		}
	}
	return guaranteed
}

// active reports whether an occurrence of the job is due and not done.
func (j *job) active() bool {
	return slices.ContainsFunc(j.occurrences, func(o *occurrence) bool { return !o.done })
}

// accelerators returns the largest number of accelerators that the job uses at a
// time if its steps run one after the other.
func (j *job) accelerators() int64 {
	most := int64(0)
	for i := range j.Job.Steps {
		s := &j.Job.Steps[i]
		most = max(most, int64(s.Count)*s.Need.Accelerators)
	}
	return most
}

// waiting returns the indexes of the step's tasks that may start now. Until the
// takeover is done these are only tasks of jobs accepted since this leader began.
// For a gang they are all of its tasks or none.
func (c *Core) waiting(now time.Time, j *job, s *step) []int {
	if !c.takeoverDone && j.acceptedVersion <= c.initialVersion {
		return nil
	}
	var tasks []int
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done || t.worker != nil {
			continue
		}
		if now.Before(t.retryAt) {
			c.replanBy(t.retryAt)
			continue
		}
		if id := (work.TaskID{StepID: s.id, Index: i}); c.placementCount[id] == 0 && c.hasRun(id, t) {
			tasks = append(tasks, i)
		}
	}
	if s.spec.Gang && len(tasks) < len(s.tasks) {
		return nil
	}
	return tasks
}

// newDemand returns the demand of the waiting tasks of a step, and false if none
// may start now.
func (c *Core) newDemand(now time.Time, j *job, o *occurrence, s *step, guaranteed bool) (rankedDemand, bool) {
	waiting := c.waiting(now, j, s)
	if len(waiting) == 0 {
		return rankedDemand{}, false
	}
	queue := c.queue(j)
	criticalPath := c.criticalPath(j)
	deadline := c.deadline(j, o, criticalPath)
	left := c.pathLeft(j, o)
	d := rankedDemand{step: s, job: j, deadline: deadline, class: timelinessOf(now, o.objectiveStart(j), deadline, time.Duration(c.reach*float64(left)))}
	d.demand = plan.Demand{
		Step: s.id, Spec: *s.spec, Waiting: waiting, Pool: queue.Pool,
		Guaranteed: guaranteed, Priority: queue.Priority,
		AllowRemote: c.evacuations.closedRacks[s.spec.DataRack] || now.Sub(s.readyAt) > time.Duration(localityWaitFraction*float64(c.expected(j, s))),
	}
	if d.class != tooLate && (s.spec.Gang || s.spec.Count == 1) {
		d.demand.EarmarkHorizon = c.expected(j, s)
	}
	if d.class == onTime && now.Add(left+preemptionLead).After(deadline) {
		d.demand.PreemptionBudget = preemptionBudgetShare * c.expected(j, s).Seconds() * coreWeight(s) * float64(len(waiting))
	}
	if !guaranteed && !now.Add(left+idleReserveSlack).After(deadline) {
		d.demand.IdleReserve = (len(c.workers) - c.evacuations.workers) / idleReserveDivisor
	}
	d.demand.MaxSlowdown = c.maxSlowdown(now, j, s, o.objectiveStart(j), &d)
	d.demand.Trusted = c.lastAttempt(j, s, waiting) && c.failedWithin(now, s, waiting, trustedWait)
	for _, i := range waiting {
		for _, id := range s.tasks[i].avoid {
			d.demand.Avoid = append(d.demand.Avoid, plan.WorkerID(id))
		}
	}
	if s.spec.MaxPerRunner > 0 {
		d.demand.TasksPerWorker = s.tasksPerWorker()
	}
	return d, true
}

// lastAttempt reports whether the job fails if one of the waiting tasks of the step fails
// once more.
func (c *Core) lastAttempt(j *job, s *step, waiting []int) bool {
	failed := len(s.failed)
	for _, i := range waiting {
		failed = max(failed, len(s.tasks[i].failed))
	}
	limit := c.queue(j).MaxFailures
	return limit > 1 && failed >= limit-1 && !s.spec.LongRunning
}

// failedWithin reports whether the back-off of a waiting task, after its last failure,
// ended within the given time.
func (c *Core) failedWithin(now time.Time, s *step, waiting []int, limit time.Duration) bool {
	return slices.ContainsFunc(waiting, func(i int) bool { return now.Sub(s.tasks[i].retryAt) < limit })
}

// objectiveStart returns the time from which the latency objective of the
// occurrence counts.
func (o *occurrence) objectiveStart(j *job) time.Time {
	if o.due.IsZero() {
		return j.arrival
	}
	return o.due
}

// deadline returns when the occurrence must be done to meet the latency objective.
func (c *Core) deadline(j *job, o *occurrence, criticalPath time.Duration) time.Time {
	queue := c.queue(j)
	return o.objectiveStart(j).Add(time.Duration(queue.ObjectiveFactor*float64(criticalPath)) + queue.ObjectiveAllowance)
}

// tasksPerWorker returns the number of tasks of the step by worker that run or have
// been ordered to start.
func (s *step) tasksPerWorker() map[plan.WorkerID]int {
	placed := make(map[plan.WorkerID]int)
	for i := range s.tasks {
		if w := s.tasks[i].worker; w != nil {
			placed[plan.WorkerID(w.id)]++
		}
	}
	return placed
}

// planWorker returns a worker with the tasks on it, as the planner needs it.
func (c *Core) planWorker(now time.Time, w *worker, guaranteed map[*job]bool) plan.Worker {
	planned := w.planView(now)
	planned.Slowdown = c.speeds.CautiousSlowdown(w.id)
	planned.Unschedulable = planned.Unschedulable || !c.mayStartOn(now, w)
	for _, id := range w.taskIDs() {
		p := w.placements[id]
		o := plan.Occupant{Task: id, Request: p.request, Stopping: p.orphaned}
		j, s, t := c.find(id)
		if t != nil && t.worker == w && t.run == p.run {
			o.Stopping = o.Stopping || t.stopping
			o.Priority = c.queue(j).Priority
			o.Gang = s.spec.Gang
			o.Protected = guaranteed[j] || t.done
			o.LostWork = c.lostWork(now, s, t)
			o.Remaining = max(c.remainingTime(now, j, s, t), time.Millisecond)
			if t.standsStill(now) {
				o.Remaining = max(o.Remaining, plan.StopTime)
			}
		}
		planned.Occupants = append(planned.Occupants, o)
	}
	return planned
}

// lostWork returns the work in core-seconds that is lost if the task stops now,
// for a gang member that of the whole gang. For a task with a checkpoint it assumes
// at most one second of work. Each earlier preemption adds to the weight of the task,
// so that it is completed in the end.
func (c *Core) lostWork(now time.Time, s *step, t *task) float64 {
	elapsed := now.Sub(t.orderedAt)
	if t.checkpoint != "" {
		elapsed = min(elapsed, time.Second)
	}
	lost := elapsed.Seconds() * coreWeight(s) * float64(1+t.preemptions)
	if s.spec.Gang {
		lost *= float64(len(s.tasks))
	}
	return lost
}

// coreWeight returns the number of cores that a task of the step counts as.
func coreWeight(s *step) float64 {
	return float64(s.spec.Need.Processor)/1000 + coresPerAccelerator*float64(s.spec.Need.Accelerators)
}
