// Package agent is the state machine of the process beside each upstream. It is the
// authority on the accelerators, slots, cores and memory of its worker: it reserves
// them for tasks, and starts and stops the tasks as the leader orders. The package
// does no I/O.
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
	// DefaultAnnounceInterval is the time between two announcements, unless
	// WithAnnounceInterval sets another.
	DefaultAnnounceInterval = 2 * time.Second

	// DefaultResendInterval is the time after which an unacknowledged result is sent
	// again. It doubles with each time.
	DefaultResendInterval = time.Second

	// MaxResendInterval bounds the time after which an unacknowledged result is sent
	// again.
	MaxResendInterval = 30 * time.Second

	// DefaultLeaderTimeout is the time since the leader's last message after
	// which an agent asks the other gates for the leader.
	DefaultLeaderTimeout = 5 * time.Second

	// DefaultTombstoneTTL is how long an agent keeps the tombstone of a task that
	// it has forgotten, so that a late order cannot start it.
	DefaultTombstoneTTL = 15 * time.Minute

	// DefaultInquiryInterval is how long an agent waits for news of a task that does not
	// run before it asks the table for its state, and for a reservation the task's
	// peers, too. It doubles with each inquiry.
	DefaultInquiryInterval = 5 * time.Second

	// MaxInquiryInterval bounds the time between two inquiries about a task.
	MaxInquiryInterval = time.Minute

	// DefaultDrainGrace is the time after a Drain in which tasks that were reserved
	// before it may still start.
	DefaultDrainGrace = 3 * time.Second

	// DefaultMaxStepInterval is the time between two steps from which on the process was
	// paused. It is well below the time after which a leader gives up a silent agent, and
	// several ticks.
	DefaultMaxStepInterval = 5 * time.Second

	// pauseIncarnations is by how much a pause raises the incarnation, so that it differs
	// from those of former and later processes, however these are numbered.
	pauseIncarnations = 1 << 32
)

type (
	// Config holds the settings of an Agent.
	Config struct {
		Worker           floor.Worker
		Gates            []machine.Node
		Incarnation      wire.Incarnation
		AnnounceInterval time.Duration
		ResendInterval   time.Duration
		LeaderTimeout    time.Duration
		TombstoneTTL     time.Duration
		InquiryInterval  time.Duration
		DrainGrace       time.Duration
		Gang             []gang.Option
	}

	// Option sets a field of a Config.
	Option func(*Config)

	// Agent is the state machine of an agent. It is not safe for use by several
	// goroutines.
	Agent struct {
		config  Config
		store   *machine.Store
		started bool

		// lastStep is the time of the last step.
		lastStep time.Time

		// epoch is the newest leader epoch. leader is the gate that sent the last
		// accepted fence, or empty before the first.
		epoch  lease.Epoch
		leader machine.Node

		// redirectEpoch is the epoch of the last redirect that was followed since
		// the last announcement, or epoch if there was none. Only redirects to a
		// later epoch are followed.
		redirectEpoch lease.Epoch

		// lastContact is when the leader last sent a message.
		lastContact time.Time

		// revision is the highest revision of the settings that a gate has sent.
		revision wire.Revision

		// gateIndex is the last gate that was asked for the leader.
		gateIndex         int
		nextAnnounce      time.Time
		powerDraw         floor.Watts
		tasks             map[wire.TaskID]*task
		tombstones        map[wire.TaskID]tombstone
		draining          bool
		drainingSince     time.Time
		drainDoneReported bool

		// queuedHeartbeats are sent at the end of the step.
		queuedHeartbeats map[machine.Node][]wire.GangHeartbeat
		effects          []machine.Effect
	}
)

// WithAnnounceInterval sets the time between two announcements.
func WithAnnounceInterval(interval time.Duration) Option {
	return func(c *Config) { c.AnnounceInterval = interval }
}

// WithIncarnation sets the number that distinguishes this process from the former
// ones of the agent.
func WithIncarnation(incarnation wire.Incarnation) Option {
	return func(c *Config) { c.Incarnation = incarnation }
}

// WithGang sets the options of the rings in which the members of a gang monitor each
// other.
func WithGang(options ...gang.Option) Option {
	return func(c *Config) { c.Gang = options }
}

// New returns an agent for a worker. It finds the leader through the gates.
func New(worker floor.Worker, gates []machine.Node, options ...Option) *Agent {
	config := Config{
		Worker:           worker,
		Gates:            gates,
		AnnounceInterval: DefaultAnnounceInterval,
		ResendInterval:   DefaultResendInterval,
		LeaderTimeout:    DefaultLeaderTimeout,
		TombstoneTTL:     DefaultTombstoneTTL,
		InquiryInterval:  DefaultInquiryInterval,
		DrainGrace:       DefaultDrainGrace,
	}
	for _, option := range options {
		option(&config)
	}
	return &Agent{
		config:           config,
		store:            machine.NewStore(),
		tasks:            make(map[wire.TaskID]*task),
		tombstones:       make(map[wire.TaskID]tombstone),
		queuedHeartbeats: make(map[machine.Node][]wire.GangHeartbeat),
	}
}

// Step applies an event at the time now and returns the effects to carry out. Before
// Start it ignores all events but Drain.
func (a *Agent) Step(now time.Time, event machine.Event) []machine.Effect {
	a.effects = nil
	if a.started && now.Sub(a.lastStep) > DefaultMaxStepInterval {
		a.resume(now)
	}
	a.lastStep = now
	if a.started {
		a.apply(now, event)
	} else {
		a.applyBeforeStart(now, event)
	}
	a.checkDrainDone()
	a.sendQueuedHeartbeats()
	return append(a.effects, a.store.Take()...)
}

// resume goes on after a pause, as another incarnation that has the tasks that run: the
// leader may have given the agent up and started its tasks elsewhere, and orders and
// heartbeats from before that are still queued. Reservations are released.
func (a *Agent) resume(now time.Time) {
	a.config.Incarnation += pauseIncarnations
	a.nextAnnounce = now
	for _, t := range sortedTasks(a.tasks) {
		if t.phase == wire.PhaseReserved {
			a.withdraw(now, t, "the agent was paused")
		}
	}
}

func (a *Agent) applyBeforeStart(now time.Time, event machine.Event) {
	switch e := event.(type) {
	case Start:
		a.started = true
		a.adopt(now, e.Tasks)
		a.tick(now)
	case Drain:
		a.beginDrain(now)
	}
}

func (a *Agent) apply(now time.Time, event machine.Event) {
	switch e := event.(type) {
	case machine.Tick:
		a.tick(now)
	case Drain:
		a.beginDrain(now)
		a.tick(now)
	case RunnerStatus:
		a.recordRunnerStatus(now, e)
	case TaskEnded:
		a.taskEnded(now, e)
	case TaskStopped:
		a.taskStopped(now, e)
	case machine.StoreResult:
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
	if !now.Before(a.nextAnnounce) {
		a.sendAnnounce(now)
	}
	for _, t := range sortedTasks(a.tasks) {
		a.tickTask(now, t)
	}
	a.inquire(now)
	for id, stone := range a.tombstones {
		if now.Sub(stone.at) > a.config.TombstoneTTL {
			delete(a.tombstones, id)
		}
	}
	a.emit(machine.Wake{At: now.Add(min(a.config.AnnounceInterval, a.config.ResendInterval))})
}

func (a *Agent) tickTask(now time.Time, t *task) {
	if t.member != nil {
		a.applyActions(now, t, t.member.Tick(now))
	}
	switch {
	case now.Before(t.nextResend):
	case t.phase == wire.PhaseEnded:
		a.sendEnded(now, t)
	case t.phase == wire.PhaseStopped:
		a.sendUnsolicitedStop(now, t)
	case t.phase == wire.PhaseReserved && a.drainGraceOver(now):
		a.withdraw(now, t, "the upstream is leaving")
	}
}

// sendAnnounce sends the leader an announcement. Without a leader, or without contact
// to it for LeaderTimeout, announcements go to one gate after the other.
func (a *Agent) sendAnnounce(now time.Time) {
	a.nextAnnounce = now.Add(a.config.AnnounceInterval)
	a.redirectEpoch = a.epoch
	to := a.leader
	if to == "" || now.Sub(a.lastContact) > a.config.LeaderTimeout {
		a.gateIndex = (a.gateIndex + 1) % len(a.config.Gates)
		to = a.config.Gates[a.gateIndex]
	}
	a.send(to, a.announcement())
}

func (a *Agent) announcement() wire.Announce {
	return wire.Announce{
		Worker:      a.config.Worker,
		Incarnation: a.config.Incarnation,
		Epoch:       a.epoch,
		Revision:    a.revision,
		Draining:    a.draining,
		PowerDraw:   a.powerDraw,
	}
}
