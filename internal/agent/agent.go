// Package agent is the core of the process beside each upstream: the authority
// on its worker's accelerators, slots, cores and memory. It has no input or
// output.
package agent

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// DefaultHeartbeat is the time between two announcements.
	DefaultHeartbeat = 2 * time.Second

	// DefaultResend is the time after which an unanswered result is sent again.
	DefaultResend = time.Second

	// DefaultLeaderTimeout is the silence after which an agent looks for the
	// leader at the other gates.
	DefaultLeaderTimeout = 5 * time.Second

	// DefaultRemember is how long an agent remembers a task that was stopped, so
	// that a late order cannot start it.
	DefaultRemember = 15 * time.Minute
)

type (
	// Config holds what an agent is told by its settings.
	Config struct {
		Worker        floor.Worker
		Gates         []machine.Node
		Incarnation   wire.Incarnation
		Heartbeat     time.Duration
		Resend        time.Duration
		LeaderTimeout time.Duration
		Remember      time.Duration
	}

	// Option sets a field of a Config.
	Option func(*Config)

	// Start is an event: the process is up.
	Start struct{}

	// Leave is an event: the upstream or the agent is to shut down. Running
	// tasks end, no new ones start.
	Leave struct{}

	// TaskEnded is an event: the runner has a result of a task.
	TaskEnded struct {
		Task   wire.TaskID
		Result wire.Result
	}

	// TaskStopped is an event: the runner stopped a task on request.
	TaskStopped struct {
		Task wire.TaskID
	}

	// RunTask is an effect: the runner is to start a task.
	RunTask struct {
		Task  wire.TaskID
		Share floor.Share
		Spec  job.Spec
	}

	// StopTask is an effect: the runner is to stop a task.
	StopTask struct {
		Task       wire.TaskID
		Checkpoint bool
	}

	// Left is an effect: no task remains after a Leave, and the process may end.
	Left struct{}

	// Agent is the state machine of an agent.
	Agent struct {
		config   Config
		store    *machine.Store
		epoch    lease.Epoch
		leader   machine.Node
		heard    time.Time
		revision wire.Revision
		gate     int
		announce time.Time
		tasks    map[wire.TaskID]*task
		stopped  map[wire.TaskID]tombstone
		leaving  bool
		left     bool
		effects  []machine.Effect
	}

	task struct {
		id     wire.TaskID
		share  floor.Share
		spec   job.Spec
		phase  wire.Phase
		result *wire.Result
		resend time.Time
		stop   bool
	}

	tombstone struct {
		at  time.Time
		ran bool
	}
)

// WithHeartbeat sets the time between two announcements.
func WithHeartbeat(interval time.Duration) Option {
	return func(c *Config) { c.Heartbeat = interval }
}

// WithIncarnation tells this life of the process from its former ones.
func WithIncarnation(incarnation wire.Incarnation) Option {
	return func(c *Config) { c.Incarnation = incarnation }
}

// New returns an agent for a worker that finds its leader through the gates.
func New(worker floor.Worker, gates []machine.Node, options ...Option) *Agent {
	config := Config{
		Worker:        worker,
		Gates:         gates,
		Heartbeat:     DefaultHeartbeat,
		Resend:        DefaultResend,
		LeaderTimeout: DefaultLeaderTimeout,
		Remember:      DefaultRemember,
	}
	for _, option := range options {
		option(&config)
	}
	return &Agent{
		config:  config,
		store:   machine.NewStore(),
		tasks:   make(map[wire.TaskID]*task),
		stopped: make(map[wire.TaskID]tombstone),
	}
}

// Step applies one event.
func (a *Agent) Step(now time.Time, event machine.Event) []machine.Effect {
	a.effects = nil
	switch e := event.(type) {
	case Start, machine.Tick:
		a.tick(now)
	case Leave:
		a.leaving = true
		a.announce = now
		a.tick(now)
	case TaskEnded:
		a.taskEnded(now, e)
	case TaskStopped:
		a.taskStopped(now, e.Task)
	case machine.Stored:
		a.store.Resolve(e)
	case machine.Message:
		a.receive(now, e)
	}
	a.checkLeft()
	return append(a.effects, a.store.Take()...)
}

func (a *Agent) emit(effect machine.Effect) {
	a.effects = append(a.effects, effect)
}

func (a *Agent) send(to machine.Node, body any) {
	a.emit(machine.Send{To: to, Body: body})
}

func (a *Agent) tick(now time.Time) {
	if !now.Before(a.announce) {
		a.sendAnnounce(now)
	}
	for _, t := range sorted(a.tasks) {
		if t.phase == wire.PhaseEnded && !now.Before(t.resend) {
			a.sendEnded(now, t)
		}
	}
	for id, stone := range a.stopped {
		if now.Sub(stone.at) > a.config.Remember {
			delete(a.stopped, id)
		}
	}
	a.emit(machine.Wake{At: now.Add(min(a.config.Heartbeat, a.config.Resend))})
}

// sendAnnounce tells the leader that the agent is there. An agent that has not
// heard from a leader asks one gate after the other.
func (a *Agent) sendAnnounce(now time.Time) {
	a.announce = now.Add(a.config.Heartbeat)
	to := a.leader
	if to == "" || now.Sub(a.heard) > a.config.LeaderTimeout {
		a.gate = (a.gate + 1) % len(a.config.Gates)
		to = a.config.Gates[a.gate]
	}
	a.send(to, a.announcement())
}

func (a *Agent) announcement() wire.Announce {
	return wire.Announce{
		Worker:      a.config.Worker,
		Incarnation: a.config.Incarnation,
		Epoch:       a.epoch,
		Revision:    a.revision,
		Leaving:     a.leaving,
	}
}

func (a *Agent) checkLeft() {
	if a.leaving && !a.left && len(a.tasks) == 0 {
		a.left = true
		a.emit(Left{})
	}
}
