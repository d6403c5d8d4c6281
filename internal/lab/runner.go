package lab

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/agent"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/upstream"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// DefaultTaskLease is the lease of a task that has no other gang members: the runner
	// stops it at most this long after its agent has gone.
	DefaultTaskLease = 60 * time.Second

	// failingInput is the input of a task that fails.
	failingInput = "fail"
)

type (
	// Runner is a fake runner with its agent. It runs each task once, for the duration
	// that the task's class names, such as "2s". Process is the agent; Started lists
	// all tasks in the order in which they were started.
	Runner struct {
		Process    *Process
		Worker     floor.Worker
		Started    []wire.TaskID
		simulation *Simulation
		tasks      map[wire.TaskID]*heldTask
	}

	// heldTask is a task, running or ended, that the runner holds until the agent stops
	// or forgets it, its lease ends while it runs, or the machine is lost.
	// agentIncarnation is the incarnation of the agent that gets the result.
	heldTask struct {
		agentIncarnation uint64
		done             bool
		share            floor.Allocation
		peers            []machine.Node
		result           wire.Result
	}

	// agentMachine is an agent that gets the list of its runner's tasks when it
	// starts.
	agentMachine struct {
		*agent.Agent
		runner *Runner
	}
)

// AddAgent adds an upstream: a fake runner and the agent beside it.
func (s *Simulation) AddAgent(node machine.Node, worker floor.Worker, gates []machine.Node, options ...agent.Option) *Runner {
	r := &Runner{Worker: worker, simulation: s, tasks: make(map[wire.TaskID]*heldTask)}
	r.Process = s.Add(node, func(p *Process) machine.Machine {
		all := append([]agent.Option{agent.WithIncarnation(wire.Incarnation(p.Incarnation()))}, options...)
		return agentMachine{Agent: agent.New(worker, gates, all...), runner: r}
	}, r.handle, agent.Start{})
	return r
}

// Step applies one event. It adds the runner's tasks to agent.Start.
func (a agentMachine) Step(now time.Time, event machine.Event) []machine.Effect {
	if _, ok := event.(agent.Start); ok {
		event = agent.Start{Tasks: a.runner.list()}
	}
	return a.Agent.Step(now, event)
}

// list returns the tasks that the runner holds, running or ended.
func (r *Runner) list() []agent.RunnerTask {
	var list []agent.RunnerTask
	for _, id := range r.Started {
		if t, ok := r.tasks[id]; ok {
			list = append(list, agent.RunnerTask{Task: id, Share: t.share, Peers: t.peers})
		}
	}
	return list
}

// LoseMachine simulates the loss of the whole machine: it ends the agent and all tasks.
func (r *Runner) LoseMachine() {
	r.Process.Crash()
	clear(r.tasks)
}

// Running returns the tasks that have not ended.
func (r *Runner) Running() []wire.TaskID {
	var ids []wire.TaskID
	for _, id := range r.Started {
		if t, ok := r.tasks[id]; ok && !t.done {
			ids = append(ids, id)
		}
	}
	return ids
}

// Output returns the answer of the task with the given rank of a job.
func Output(id job.ID, rank job.Rank) []byte {
	return []byte(string(id) + "/" + string(rune('0'+int(rank))))
}

// handle executes the agent's effects on the runner.
func (r *Runner) handle(p *Process, effect machine.Effect) {
	switch e := effect.(type) {
	case agent.RunTask:
		r.run(p, e)
	case agent.FollowTask:
		r.follow(p, e.Task)
	case agent.ForgetTask:
		delete(r.tasks, e.Task)
	case agent.StopTask:
		delete(r.tasks, e.Task)
		p.PostAfter(DefaultDelay, agent.TaskStopped{Task: e.Task})
	}
}

// run starts a task, unless it was started before.
func (r *Runner) run(p *Process, e agent.RunTask) {
	if _, ok := r.tasks[e.Task]; ok {
		return
	}
	t := &heldTask{agentIncarnation: p.Incarnation(), share: e.Share, peers: e.Peers}
	r.tasks[e.Task] = t
	r.Started = append(r.Started, e.Task)
	duration, err := time.ParseDuration(string(e.Spec.Class))
	if err != nil {
		duration = time.Second
	}
	result := wire.Result{Answer: job.NewAnswer(Output(e.Task.Job, e.Task.Rank))}
	if string(e.Spec.Input) == failingInput {
		result = wire.Result{Failed: true, Reason: "the task failed"}
	}
	t.result = result
	r.simulation.After(duration, func() { r.end(p, e.Task, t) })
	r.watchLease(p, e.Task, t)
}

// follow delivers the result of a task to a new incarnation of its agent.
func (r *Runner) follow(p *Process, id wire.TaskID) {
	t, ok := r.tasks[id]
	if !ok {
		p.PostAfter(DefaultDelay, agent.TaskStopped{Task: id})
		return
	}
	t.agentIncarnation = p.Incarnation()
	if t.done {
		p.PostAfter(DefaultDelay, agent.TaskEnded{Task: id, Result: t.result})
	}
}

// end ends a task, and delivers its result if its agent is still the same
// incarnation.
func (r *Runner) end(p *Process, id wire.TaskID, t *heldTask) {
	if r.tasks[id] != t || t.done {
		return
	}
	t.done = true
	if p.Incarnation() == t.agentIncarnation {
		p.Post(agent.TaskEnded{Task: id, Result: t.result})
	}
}

// watchLease stops a task at the end of a lease if its agent is down, or is an
// incarnation that does not follow the task.
func (r *Runner) watchLease(p *Process, id wire.TaskID, t *heldTask) {
	lease := DefaultTaskLease
	if len(t.peers) > 1 {
		lease = upstream.GangLease
	}
	r.simulation.After(lease, func() {
		if r.tasks[id] != t || t.done {
			return
		}
		if p.Up() && p.Incarnation() == t.agentIncarnation {
			r.watchLease(p, id, t)
			return
		}
		delete(r.tasks, id)
	})
}
