package lab

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/agent"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
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
		life uint64
		done bool
	}
)

// AddAgent adds an upstream: a runner with an agent beside it.
func (w *World) AddAgent(node machine.Node, worker floor.Worker, gates []machine.Node, options ...agent.Option) *Runner {
	r := &Runner{Worker: worker, world: w, tasks: make(map[wire.TaskID]*running)}
	r.Process = w.Add(node, func(p *Process) machine.Machine {
		all := append([]agent.Option{agent.WithIncarnation(wire.Incarnation(p.Life()))}, options...)
		return agent.New(worker, gates, all...)
	}, r.handle, agent.Start{})
	return r
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
	case agent.StopTask:
		delete(r.tasks, e.Task)
		p.PostAfter(DefaultDelay, agent.TaskStopped{Task: e.Task})
	}
}

func (r *Runner) run(p *Process, e agent.RunTask) {
	if _, ok := r.tasks[e.Task]; ok {
		return
	}
	t := &running{life: p.Life()}
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
	r.world.After(duration, func() { r.end(p, e.Task, t, result) })
	r.watch(p, e.Task, t)
}

func (r *Runner) end(p *Process, id wire.TaskID, t *running, result wire.Result) {
	if r.tasks[id] != t || t.done {
		return
	}
	t.done = true
	if p.Life() == t.life {
		p.Post(agent.TaskEnded{Task: id, Result: result})
	}
}

// watch stops a task whose agent has gone for the lease.
func (r *Runner) watch(p *Process, id wire.TaskID, t *running) {
	r.world.After(DefaultTaskLease, func() {
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
