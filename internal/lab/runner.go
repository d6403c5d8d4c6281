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
	// DefaultTaskLease is the time after which a runner stops a task whose agent
	// has gone.
	DefaultTaskLease = 60 * time.Second

	// failingInput is the input of a task that fails.
	failingInput = "fail"
)

type (
	// Runner is a fake runner beside an agent. It runs each task once, for a time
	// that the task's class gives as a duration.
	Runner struct {
		Process *Process
		Worker  floor.Worker
		Started []wire.TaskID
		world   *World
		tasks   map[wire.TaskID]*running
	}

	running struct {
		life   uint64
		done   bool
		share  floor.Share
		peers  []machine.Node
		result wire.Result
	}

	// adopter gives an agent the tasks that its runner has when it starts.
	adopter struct {
		*agent.Agent
		runner *Runner
	}
)

// AddAgent adds an upstream: a runner with an agent beside it.
func (w *World) AddAgent(node machine.Node, worker floor.Worker, gates []machine.Node, options ...agent.Option) *Runner {
	r := &Runner{Worker: worker, world: w, tasks: make(map[wire.TaskID]*running)}
	r.Process = w.Add(node, func(p *Process) machine.Machine {
		all := append([]agent.Option{agent.WithIncarnation(wire.Incarnation(p.Life()))}, options...)
		return adopter{Agent: agent.New(worker, gates, all...), runner: r}
	}, r.handle, agent.Start{})
	return r
}

// Step applies one event.
func (a adopter) Step(now time.Time, event machine.Event) []machine.Effect {
	if _, ok := event.(agent.Start); ok {
		event = agent.Start{Tasks: a.runner.list()}
	}
	return a.Agent.Step(now, event)
}

// list returns the tasks that the runner has.
func (r *Runner) list() []agent.RunnerTask {
	var list []agent.RunnerTask
	for _, id := range r.Started {
		if t, ok := r.tasks[id]; ok {
			list = append(list, agent.RunnerTask{Task: id, Share: t.share, Peers: t.peers})
		}
	}
	return list
}

// Fail ends the tasks and the agent: the whole machine is lost.
func (r *Runner) Fail() {
	r.Process.Crash()
	clear(r.tasks)
}

// Running returns the tasks that compute.
func (r *Runner) Running() []wire.TaskID {
	var ids []wire.TaskID
	for _, id := range r.Started {
		if t, ok := r.tasks[id]; ok && !t.done {
			ids = append(ids, id)
		}
	}
	return ids
}

// Output returns the answer of a task of a job.
func Output(id job.ID, rank job.Rank) []byte {
	return []byte(string(id) + "/" + string(rune('0'+int(rank))))
}

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

func (r *Runner) run(p *Process, e agent.RunTask) {
	if _, ok := r.tasks[e.Task]; ok {
		return
	}
	t := &running{life: p.Life(), share: e.Share, peers: e.Peers}
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
	r.world.After(duration, func() { r.end(p, e.Task, t) })
	r.watch(p, e.Task, t)
}

// follow delivers the result of a task to another life of its agent.
func (r *Runner) follow(p *Process, id wire.TaskID) {
	t, ok := r.tasks[id]
	if !ok {
		p.PostAfter(DefaultDelay, agent.TaskStopped{Task: id})
		return
	}
	t.life = p.Life()
	if t.done {
		p.PostAfter(DefaultDelay, agent.TaskEnded{Task: id, Result: t.result})
	}
}

func (r *Runner) end(p *Process, id wire.TaskID, t *running) {
	if r.tasks[id] != t || t.done {
		return
	}
	t.done = true
	if p.Life() == t.life {
		p.Post(agent.TaskEnded{Task: id, Result: t.result})
	}
}

// watch stops a task whose agent has gone for the lease.
func (r *Runner) watch(p *Process, id wire.TaskID, t *running) {
	lease := DefaultTaskLease
	if len(t.peers) > 1 {
		lease = upstream.GangLease
	}
	r.world.After(lease, func() {
		if r.tasks[id] != t || t.done {
			return
		}
		if p.Up() && p.Life() == t.life {
			r.watch(p, id, t)
			return
		}
		delete(r.tasks, id)
	})
}
