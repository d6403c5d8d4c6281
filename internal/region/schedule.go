package region

import (
	"cmp"
	"math"
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

	// paceWeight is the weight of the newest run time in a queue's correction.
	paceWeight = 0.2

	// defaultEstimate stands in for a run time that the caller did not give.
	defaultEstimate = 5 * time.Second
)

type (
	// pace corrects the run times that the callers of a queue declare.
	pace struct {
		log   float64
		known bool
	}

	// wanted is a demand with what orders it.
	wanted struct {
		demand   plan.Demand
		step     *step
		job      *job
		priority work.Priority
		deadline time.Time
		hopeless bool
	}
)

// schedule places waiting tasks and makes room for guaranteed ones.
func (c *Core) schedule(now time.Time) {
	claims := c.claims()
	demands := c.demands(now, claims)
	if len(demands) == 0 {
		return
	}
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
			t.worker.notify()
			c.log(Line{Event: "task preempted", Task: id, Run: t.run, Worker: t.worker.id})
		}
	}
	runs := make(map[work.StepID]work.Run)
	for _, start := range decision.Starts {
		c.order(now, start, runs)
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
	w.held[start.Task] = &hold{run: run, claim: s.spec.Claim()}
	w.notify()
	c.log(Line{Event: "task ordered", Task: start.Task, Run: run, Worker: w.id, Age: now.Sub(j.known)})
}

func (c *Core) nextRun(t *task) work.Run {
	return max(t.run, work.Run(c.epoch-1)*runsPerEpoch) + 1
}

// delayed reports whether a task may start now that had to wait before.
func (c *Core) delayed(now time.Time) bool {
	for _, j := range c.live {
		if j.over() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if !o.done && !s.ready.IsZero() && s.done < len(s.tasks) && len(c.waiting(now, j, s)) > 0 {
					return true
				}
			}
		}
	}
	return false
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
		if j.over() || c.queue(j).Priority != 0 {
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
// by priority, then jobs that can still be in time, the most urgent first.
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
			cmp.Compare(a.priority, b.priority),
			compareBool(a.hopeless, b.hopeless),
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
		if t.done || t.worker != nil || now.Before(t.retry) {
			continue
		}
		if !c.elsewhere(work.TaskID{StepID: s.id, Index: i}, nil) {
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
	begin := j.known
	if !o.due.IsZero() {
		begin = o.due
	}
	chain := c.chain(j)
	objective := time.Duration(queue.Stretch*float64(chain)) + queue.Slack
	demand := plan.Demand{
		Step: s.id, Spec: *s.spec, Waiting: waiting, Pool: queue.Pool,
		Guaranteed: claimed,
		Far:        now.Sub(s.ready) > time.Duration(nearWait*float64(c.expected(j, s))),
	}
	for _, i := range waiting {
		for _, id := range s.tasks[i].avoid {
			demand.Avoid = append(demand.Avoid, plan.WorkerID(id))
		}
	}
	if s.spec.Spread > 0 {
		demand.Placed = s.placed()
	}
	return wanted{
		demand: demand, step: s, job: j, priority: queue.Priority,
		deadline: begin.Add(objective),
		hopeless: now.Add(chain).After(begin.Add(3 * objective)),
	}, true
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

// expected returns the run time of a task, corrected by what tasks of the queue
// took.
func (c *Core) expected(j *job, s *step) time.Duration {
	declared := s.spec.Estimate
	if declared == 0 {
		declared = defaultEstimate
	}
	if p := c.paces[j.Job.Queue]; p != nil && p.known {
		return time.Duration(float64(declared) * math.Exp(p.log))
	}
	return declared
}

// chain returns the longest chain of a job's work.
func (c *Core) chain(j *job) time.Duration {
	ends := make([]time.Duration, len(j.Job.Steps))
	longest := time.Duration(0)
	for i := range j.Job.Steps {
		s := &step{spec: &j.Job.Steps[i]}
		for _, earlier := range s.spec.After {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += c.expected(j, s)
		longest = max(longest, ends[i])
	}
	return longest
}

// learn takes note of a run time.
func (c *Core) learn(j *job, s *step, took time.Duration, t *task) {
	if s.spec.Estimate <= 0 || took <= 0 || t.checkpoint != "" {
		return
	}
	miss := math.Log(float64(took) / float64(s.spec.Estimate))
	p := c.paces[j.Job.Queue]
	if p == nil {
		p = &pace{}
		c.paces[j.Job.Queue] = p
	}
	if !p.known {
		p.log, p.known = miss*paceWeight, true
		return
	}
	p.log += paceWeight * (miss - p.log)
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

// loss returns the core-seconds of work that a stop throws away.
func (c *Core) loss(now time.Time, s *step, t *task) float64 {
	kept := now.Sub(t.ordered)
	if t.checkpoint != "" {
		kept = min(kept, time.Second)
	}
	cores := float64(s.spec.Need.Processor)/1000 + acceleratorCores*float64(s.spec.Need.Accelerators)
	if s.spec.Gang {
		cores *= float64(len(s.tasks))
	}
	return kept.Seconds() * cores
}
