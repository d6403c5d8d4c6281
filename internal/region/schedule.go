package region

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/plan"
	"github.com/lovageroad/lovageroad/internal/work"
)

const (
	// acceleratorCores is what an accelerator counts against a core in work
	// that is lost.
	acceleratorCores = 8

	// nearWait is the part of a step's run time that it waits for room near its
	// data before it goes far.
	nearWait = 0.7

	// lateFactor is how many objectives after it was sent a job still earns.
	lateFactor = 3

	// lossShare is how much work may be lost for an urgent job, against its own
	// work. The users price lost work, so a gain in time must cost little.
	lossShare = 0.3

	// leaveShare is the part of the idle workers, one in so many of all, that
	// patient work leaves for urgent jobs.
	leaveShare = 5

	// patientSlack is how much time a job must have to spare to wait for room
	// that urgent jobs may want.
	patientSlack = 3 * time.Second

	// lookAgain is how often waiting tasks are looked at again though nothing has
	// changed: some become urgent, or may go far.
	lookAgain = 200 * time.Millisecond

	// urgency is how long before the latest start in time a job takes the place
	// of lower priorities: about as long as a stop takes.
	urgency = 1500 * time.Millisecond
)

const (
	// inTime is the chance of a job that can still meet its objective.
	inTime chance = iota

	// late is the chance of a job that can still be done before it earns nothing.
	late

	// hopeless is the chance of a job that is too late. It runs all the same,
	// after all others.
	hopeless
)

type (
	// wanted is a demand with what orders it.
	wanted struct {
		demand   plan.Demand
		step     *step
		job      *job
		deadline time.Time
		chance   chance
	}

	// chance tells what a job can still earn.
	chance int
)

// schedule places waiting tasks and makes room for guaranteed ones.
func (c *Core) schedule(now time.Time) {
	c.measure()
	claims := c.claims()
	c.again = time.Time{}
	demands := c.demands(now, claims)
	if len(demands) == 0 {
		return
	}
	c.later(now.Add(lookAgain))
	workers := c.sorted()
	views := make([]plan.Worker, len(workers))
	for i, w := range workers {
		views[i] = c.occupied(now, w, claims)
	}
	plain := make([]plan.Demand, len(demands))
	for i := range demands {
		plain[i] = demands[i].demand
	}
	decision := plan.Plan(views, plain)
	for _, id := range decision.Stops {
		if _, _, t := c.find(id); t != nil && t.worker != nil {
			t.stopping = true
			t.preempted++
			t.worker.notify()
			c.log(Line{Event: "task preempted", Task: id, Run: t.run, Worker: t.worker.id})
		}
	}
	runs := make(map[work.StepID]work.Run)
	for _, start := range decision.Starts {
		c.order(now, start, runs)
	}
}

// later has the floor planned again at a time, if not before.
func (c *Core) later(at time.Time) {
	if c.again.IsZero() || at.Before(c.again) {
		c.again = at
	}
}

// order sends a task to a worker. The members of a gang get one run.
func (c *Core) order(now time.Time, start plan.Start, runs map[work.StepID]work.Run) {
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
	t.worker, t.run, t.reported, t.stopping, t.ordered = w, run, false, false, now
	c.hold(w, start.Task, &hold{run: run, claim: s.spec.Claim()})
	w.notify()
	c.log(Line{Event: "task ordered", Task: start.Task, Run: run, Worker: w.id, Age: now.Sub(j.known)})
}

func (c *Core) nextRun(t *task) work.Run {
	return max(t.run, work.Run(c.epoch-1)*runsPerEpoch) + 1
}

// claims returns the jobs whose accelerators are within their accounts'
// guarantees: those of priority 0, in the order of their arrival.
func (c *Core) claims() map[*job]bool {
	claims := make(map[*job]bool)
	if c.settings == nil {
		return claims
	}
	used := make(map[work.AccountID]int64)
	for _, j := range c.live {
		if j.over() || !j.active() || c.queue(j).Priority != 0 {
			continue
		}
		need := j.accelerators()
		if used[j.Job.Account]+need <= c.settings.Guaranteed(j.Job.Account) {
			used[j.Job.Account] += need
			claims[j] = true
		}
	}
	return claims
}

// active reports whether an occurrence of the job is due and not done.
func (j *job) active() bool {
	return slices.ContainsFunc(j.occurrences, func(o *occurrence) bool { return !o.done })
}

// accelerators returns the most that a job uses at a time if its steps run one
// after the other.
func (j *job) accelerators() int64 {
	most := int64(0)
	for i := range j.Job.Steps {
		s := &j.Job.Steps[i]
		most = max(most, int64(s.Count)*s.Need.Accelerators)
	}
	return most
}

// demands returns what waits, the first to serve first: guaranteed jobs, then
// jobs that can still be in time before late ones, by priority, and the most
// urgent first.
func (c *Core) demands(now time.Time, claims map[*job]bool) []wanted {
	var demands []wanted
	for _, j := range c.live {
		if j.over() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if o.done || s.ready.IsZero() || s.done == len(s.tasks) {
					continue
				}
				if w, ok := c.demand(now, j, o, s, claims[j]); ok {
					demands = append(demands, w)
				}
			}
		}
	}
	slices.SortStableFunc(demands, func(a, b wanted) int {
		return cmp.Or(
			compareBool(b.demand.Guaranteed, a.demand.Guaranteed),
			cmp.Compare(a.chance, b.chance),
			cmp.Compare(a.demand.Priority, b.demand.Priority),
			a.deadline.Compare(b.deadline),
		)
	})
	return demands
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// waiting returns the tasks of a step that may start now.
func (c *Core) waiting(now time.Time, j *job, s *step) []int {
	if !c.settled && j.stored <= c.early {
		return nil
	}
	var tasks []int
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done || t.worker != nil {
			continue
		}
		if now.Before(t.retry) {
			c.later(t.retry)
			continue
		}
		if c.held[work.TaskID{StepID: s.id, Index: i}] == 0 {
			tasks = append(tasks, i)
		}
	}
	if s.spec.Gang && len(tasks) < len(s.tasks) {
		return nil
	}
	return tasks
}

func (c *Core) demand(now time.Time, j *job, o *occurrence, s *step, claimed bool) (wanted, bool) {
	waiting := c.waiting(now, j, s)
	if len(waiting) == 0 {
		return wanted{}, false
	}
	queue := c.queue(j)
	chain := c.chain(j)
	deadline := c.deadline(j, o, chain)
	w := wanted{step: s, job: j, deadline: deadline, chance: outlook(now, o.begin(j), deadline, chain)}
	w.demand = plan.Demand{
		Step: s.id, Spec: *s.spec, Waiting: waiting, Pool: queue.Pool,
		Guaranteed: claimed, Priority: queue.Priority,
		Far: now.Sub(s.ready) > time.Duration(nearWait*float64(c.expected(j, s))),
	}
	if w.chance == inTime && now.Add(chain+urgency).After(deadline) {
		w.demand.Budget = lossShare * c.expected(j, s).Seconds() * weight(s) * float64(len(waiting))
	}
	if !claimed && !now.Add(chain+patientSlack).After(deadline) {
		w.demand.Leave = len(c.workers) / leaveShare
	}
	for _, i := range waiting {
		for _, id := range s.tasks[i].avoid {
			w.demand.Avoid = append(w.demand.Avoid, plan.WorkerID(id))
		}
	}
	if s.spec.Spread > 0 {
		w.demand.Placed = s.placed()
	}
	return w, true
}

// begin returns the time from which a job's objective counts.
func (o *occurrence) begin(j *job) time.Time {
	if o.due.IsZero() {
		return j.known
	}
	return o.due
}

// deadline returns when a job is to be done.
func (c *Core) deadline(j *job, o *occurrence, chain time.Duration) time.Time {
	queue := c.queue(j)
	return o.begin(j).Add(time.Duration(queue.Stretch*float64(chain)) + queue.Slack)
}

// outlook returns what a job can still earn if it starts now.
func outlook(now, begin, deadline time.Time, chain time.Duration) chance {
	done := now.Add(chain)
	switch {
	case !done.After(deadline):
		return inTime
	case !done.After(begin.Add(lateFactor * deadline.Sub(begin))):
		return late
	}
	return hopeless
}

// placed counts the running tasks of a step by worker.
func (s *step) placed() map[plan.WorkerID]int {
	placed := make(map[plan.WorkerID]int)
	for i := range s.tasks {
		if w := s.tasks[i].worker; w != nil {
			placed[plan.WorkerID(w.id)]++
		}
	}
	return placed
}

// occupied returns a worker with what runs on it, as the planner sees it.
func (c *Core) occupied(now time.Time, w *worker, claims map[*job]bool) plan.Worker {
	v := w.view(now)
	for _, id := range w.tasks() {
		h := w.held[id]
		o := plan.Occupant{Task: id, Claim: h.claim, Stopping: h.stray}
		j, s, t := c.find(id)
		if t != nil && t.worker == w && t.run == h.run {
			o.Stopping = o.Stopping || t.stopping
			o.Priority = c.queue(j).Priority
			o.Gang = s.spec.Gang
			o.Kept = claims[j] || t.done
			o.Loss = c.loss(now, s, t)
		}
		v.Occupants = append(v.Occupants, o)
	}
	return v
}

// loss returns the core-seconds of work that a stop throws away. A task that made
// room before counts more, so that it comes to its end.
func (c *Core) loss(now time.Time, s *step, t *task) float64 {
	kept := now.Sub(t.ordered)
	if t.checkpoint != "" {
		kept = min(kept, time.Second)
	}
	lost := kept.Seconds() * weight(s) * float64(1+t.preempted)
	if s.spec.Gang {
		lost *= float64(len(s.tasks))
	}
	return lost
}

// weight returns what a task of the step counts in cores.
func weight(s *step) float64 {
	return float64(s.spec.Need.Processor)/1000 + acceleratorCores*float64(s.spec.Need.Accelerators)
}
