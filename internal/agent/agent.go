// Package agent is the core of the process beside each upstream: the authority
// on its worker's accelerators, slots, cores and memory. It has no input or
// output.
package agent

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/gang"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// DefaultHeartbeat is the time between two announcements, unless the leader
	// sets another.
	DefaultHeartbeat = 2 * time.Second

	// DefaultResend is the time after which an unanswered result is sent again.
	// It doubles with each time.
	DefaultResend = time.Second

	// MaxResend bounds the time after which an unanswered result is sent again.
	MaxResend = 30 * time.Second

	// DefaultLeaderTimeout is the silence after which an agent looks for the
	// leader at the other gates.
	DefaultLeaderTimeout = 5 * time.Second

	// DefaultRemember is how long an agent remembers a task that was stopped, so
	// that a late order cannot start it.
	DefaultRemember = 15 * time.Minute

	// DefaultInquiry is the silence after which an agent asks the table and its
	// peers what became of a task. It doubles with each time.
	DefaultInquiry = 5 * time.Second

	// MaxInquiry bounds the time between two inquiries for a task.
	MaxInquiry = time.Minute

	// DefaultLeaveGrace is the time after a Leave in which what was reserved
	// before may still start.
	DefaultLeaveGrace = 3 * time.Second
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
		Inquiry       time.Duration
		LeaveGrace    time.Duration
		Gang          []gang.Option
	}

	// Option sets a field of a Config.
	Option func(*Config)

	// Agent is the state machine of an agent.
	Agent struct {
		config   Config
		store    *machine.Store
		started  bool
		epoch    lease.Epoch
		leader   machine.Node
		pointed  lease.Epoch
		heard    time.Time
		revision wire.Revision
		gate     int
		announce time.Time
		draw     floor.Watts
		tasks    map[wire.TaskID]*task
		stopped  map[wire.TaskID]tombstone
		leaving  bool
		leave    time.Time
		left     bool
		beats    map[machine.Node][]wire.Pulse
		effects  []machine.Effect
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

// WithGang sets the times of the rings in which gangs watch their members.
func WithGang(options ...gang.Option) Option {
	return func(c *Config) { c.Gang = options }
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
		Inquiry:       DefaultInquiry,
		LeaveGrace:    DefaultLeaveGrace,
	}
	for _, option := range options {
		option(&config)
	}
	return &Agent{
		config:  config,
		store:   machine.NewStore(),
		tasks:   make(map[wire.TaskID]*task),
		stopped: make(map[wire.TaskID]tombstone),
		beats:   make(map[machine.Node][]wire.Pulse),
	}
}

// Step applies one event. All but Leave is ignored before Start.
func (a *Agent) Step(now time.Time, event machine.Event) []machine.Effect {
	a.effects = nil
	if a.started {
		a.apply(now, event)
	} else {
		a.prepare(now, event)
	}
	a.checkLeft()
	a.sendBeats()
	return append(a.effects, a.store.Take()...)
}

func (a *Agent) prepare(now time.Time, event machine.Event) {
	switch e := event.(type) {
	case Start:
		a.started = true
		a.adopt(now, e.Tasks)
		a.tick(now)
	case Leave:
		a.beginLeave(now)
	}
}

func (a *Agent) apply(now time.Time, event machine.Event) {
	switch e := event.(type) {
	case machine.Tick:
		a.tick(now)
	case Leave:
		a.beginLeave(now)
		a.tick(now)
	case Usage:
		a.usage(now, e)
	case TaskEnded:
		a.taskEnded(now, e)
	case TaskStopped:
		a.taskStopped(now, e)
	case machine.Stored:
		a.store.Resolve(e)
	case machine.Message:
		a.receive(now, e)
	}
}

func (a *Agent) emit(effect machine.Effect) {
	a.effects = append(a.effects, effect)
}

func (a *Agent) send(to machine.Node, body any) {
	if to != "" {
		a.emit(machine.Send{To: to, Body: body})
	}
}

func (a *Agent) tick(now time.Time) {
	if !now.Before(a.announce) {
		a.sendAnnounce(now)
	}
	for _, t := range sorted(a.tasks) {
		a.tickTask(now, t)
	}
	a.inquire(now)
	for id, stone := range a.stopped {
		if now.Sub(stone.at) > a.config.Remember {
			delete(a.stopped, id)
		}
	}
	a.emit(machine.Wake{At: now.Add(min(a.config.Heartbeat, a.config.Resend))})
}

func (a *Agent) tickTask(now time.Time, t *task) {
	if t.member != nil {
		a.carry(now, t, t.member.Tick(now))
	}
	switch {
	case now.Before(t.resend):
	case t.phase == wire.PhaseEnded:
		a.sendEnded(now, t)
	case t.phase == wire.PhaseStopped:
		a.sendHalted(now, t)
	case t.phase == wire.PhaseReserved && a.closed(now):
		a.withdraw(now, t, "the upstream is leaving")
	}
}

// sendAnnounce tells the leader that the agent is there. An agent that has not
// heard from a leader asks one gate after the other.
func (a *Agent) sendAnnounce(now time.Time) {
	a.announce = now.Add(a.config.Heartbeat)
	a.pointed = a.epoch
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
		Draw:        a.draw,
	}
}
