// Package runner is the core of the agent beside a runner: it carries out the
// leader's orders at the runner, keeps the lease of what runs while the leader
// wants it, and reports. It has no input or output of its own and reads no
// clock.
package runner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// Accepted is the answer of a runner that did what it was told.
	Accepted Answer = iota

	// Refused says that the runner did nothing, and never will for this call.
	Refused

	// Fenced says that the runner has seen a higher token.
	Fenced

	// Other says that another life of the runner is at the address.
	Other

	// Unanswered says that the call may have been carried out, or may be later.
	Unanswered

	// Unreached says that no connection to the runner could be made: the call
	// never takes effect, and the runner has shown no sign of life.
	Unreached
)

type (
	// Token orders the calls to a runner: it does nothing for a lower one than
	// it has seen. It grows with the epoch, with the lives of the agent, and
	// after each start without an answer.
	Token uint64

	// Clock is a time on a runner's own clock in milliseconds.
	Clock int64

	// Answer is the kind of a runner's answer.
	Answer uint8

	// Config holds the times of a Core.
	Config struct {
		// Hold is how long tasks outlive the leader's last word.
		Hold time.Duration

		// Answer bounds the age of a leader's answer that is acted on.
		Answer time.Duration

		// Look is how long a runner waits for an end before it answers.
		Look time.Duration

		// Poll is how long a leader waits for orders before it answers, until it
		// says otherwise.
		Poll time.Duration

		// Dark is the silence of a runner after which its lease is not
		// extended.
		Dark time.Duration

		// Quiet is the silence of an idle runner, that of its beats too, after
		// which it gets no work.
		Quiet time.Duration
	}

	// Option sets a field of a Config.
	Option func(*Config)

	// Core is the state of an agent.
	Core struct {
		config Config
		id     control.AgentID
		life   control.Life
		seq    uint64

		epoch   lease.Epoch
		fence   uint16
		counter uint16
		heard   control.Serial

		leader machine.Node
		lost   machine.Node
		lostAt time.Time
		gates  []machine.Node
		turn   int
		polls  int

		// poll is how long the leader waits for orders before it answers.
		poll time.Duration

		// asked counts the reports under way by gate.
		asked map[machine.Node]int

		report  bool
		nextTry time.Time

		runner *control.Runner
		beat   uint64
		clock  Clock
		clockAt,
		contact,
		beatAt time.Time
		listed   bool
		gone     bool
		until    Clock
		tried    Clock
		tasks    map[runKey]*task
		ends     map[control.EndID]control.End
		refusals map[runKey]string
		noted    control.EndID
		acked    control.EndID

		holds   uint64
		waiting bool
		listing uint64
		nextAsk time.Time
		effects []any
	}

	runKey struct {
		task work.TaskID
		run  work.Run
	}

	task struct {
		start control.Start
		phase control.Phase

		// answered is when the runner took the start, so that a list made
		// before does not tell.
		answered time.Time

		// void says that the start had no answer. A list made under a higher
		// token tells whether it runs.
		void     bool
		token    Token
		stop     bool
		stopping time.Time
		percent  int
		saved    work.Checkpoint
	}

	// Beat is an event: the runner says what it is.
	Beat struct {
		Runner control.Runner
		Seq    uint64
		Clock  Clock
	}

	// Left is an event: the runner has left.
	Left struct {
		ID control.RunnerID
	}

	// StartTask is an effect: tell the runner to start a task.
	StartTask struct {
		Runner control.RunnerID
		Start  control.Start
		Token  Token
		Until  Clock
	}

	// StartResult is the event that answers a StartTask.
	StartResult struct {
		Call   StartTask
		Answer Answer
		Reason string
	}

	// StopTask is an effect: tell the runner to stop a task.
	StopTask struct {
		Runner control.RunnerID
		Stop   control.Stop
		Token  Token
	}

	// StopResult is the event that answers a StopTask.
	StopResult struct {
		Call   StopTask
		Answer Answer
	}

	// Look is an effect: extend the runner's lease and list what it has.
	Look struct {
		Runner control.RunnerID
		Number uint64
		Sent   time.Time
		Token  Token
		Until  Clock
		Noted  control.EndID
		Wait   time.Duration
	}

	// LookResult is the event that answers a Look.
	LookResult struct {
		Call   Look
		Answer Answer
		Clock  Clock
		Tasks  []control.Task
		Ends   []control.End
	}

	// Send is an effect: report to a gate.
	Send struct {
		To     machine.Node
		Report control.Report
		Sent   time.Time
	}

	// Heard is the event that answers a Send. Err is nil if there is a word.
	Heard struct {
		Call Send
		Word control.Word
		Err  error
	}

	// Tick is an event: time has passed.
	Tick struct{}

	// Log is an effect: a line for the log.
	Log struct {
		Event string
		Pairs []any
	}
)

// WithHold sets how long tasks outlive the leader's last word.
func WithHold(hold time.Duration) Option {
	return func(c *Config) { c.Hold = hold }
}

// New returns the core of one life of an agent that knows some gates.
func New(id control.AgentID, life control.Life, gates []machine.Node, options ...Option) *Core {
	config := Config{
		Hold: 6 * time.Second, Answer: 1500 * time.Millisecond, Look: 500 * time.Millisecond,
		Poll: 600 * time.Millisecond, Dark: 1500 * time.Millisecond, Quiet: 3500 * time.Millisecond,
	}
	for _, option := range options {
		option(&config)
	}
	c := &Core{config: config, id: id, life: life, gates: gates, asked: make(map[machine.Node]int), poll: config.Poll}
	c.forget()
	return c
}

// Gates adds gates that the agent may report to.
func (c *Core) Gates(gates []machine.Node) {
	for _, g := range gates {
		if !slices.Contains(c.gates, g) {
			c.gates = append(c.gates, g)
		}
	}
}

// Step applies one event and returns the effects.
func (c *Core) Step(now time.Time, event any) []any {
	c.effects = nil
	switch e := event.(type) {
	case Beat:
		c.onBeat(now, e)
	case Left:
		c.onLeft(e)
	case StartResult:
		c.onStart(now, e)
	case StopResult:
		c.onStop(now, e)
	case LookResult:
		c.onLook(now, e)
	case Heard:
		c.onHeard(now, e)
	}
	c.work(now)
	return c.effects
}

func (c *Core) log(event string, pairs ...any) {
	c.effects = append(c.effects, Log{Event: event, Pairs: pairs})
}

// forget drops what is known of the runner.
func (c *Core) forget() {
	c.runner = nil
	c.listed, c.gone = false, false
	c.beat, c.until, c.tried = 0, 0, 0
	c.waiting, c.listing = false, 0
	c.noted, c.acked = 0, 0
	c.tasks = make(map[runKey]*task)
	c.ends = make(map[control.EndID]control.End)
	c.refusals = make(map[runKey]string)
}

// onBeat takes in what the runner says of itself. Beats of a former life and
// late ones change nothing.
func (c *Core) onBeat(now time.Time, e Beat) {
	if c.runner != nil && c.runner.ID == e.Runner.ID && e.Seq <= c.beat {
		return
	}
	if c.runner != nil && e.Runner.ID.Born < c.runner.ID.Born {
		return
	}
	if c.runner == nil || c.runner.ID != e.Runner.ID {
		c.forget()
		c.clock, c.clockAt, c.contact = e.Clock, now, now
		c.report = true
		c.log("runner found", "runner", e.Runner.ID.Name, "born", e.Runner.ID.Born, "draining", e.Runner.Draining)
	} else if c.runner.Draining != e.Runner.Draining {
		c.report = true
		c.log("runner drains", "runner", e.Runner.ID.Name, "remaining", e.Runner.Remaining)
	}
	runner := e.Runner
	c.runner = &runner
	c.beat, c.beatAt = e.Seq, now
}

// onLeft takes note that the runner has left, with all that it ran.
func (c *Core) onLeft(e Left) {
	if c.runner == nil || c.runner.ID.Name != e.ID.Name || e.ID.Born != 0 && e.ID.Born != c.runner.ID.Born {
		return
	}
	c.log("runner left", "runner", e.ID.Name, "tasks", len(c.tasks))
	c.drop()
}

// drop takes note that nothing runs any more.
func (c *Core) drop() {
	c.tasks = make(map[runKey]*task)
	c.listed, c.gone, c.report = true, true, true
}

// token returns the token of the next call.
func (c *Core) token() Token {
	return Token(c.epoch)<<32 | Token(c.fence)<<16 | Token(c.counter)
}

// clockNow returns the runner's clock, or less.
func (c *Core) clockNow(now time.Time) Clock {
	return c.clock + Clock(now.Sub(c.clockAt)/time.Millisecond)
}

// keys returns the runs in a fixed order.
func (c *Core) keys() []runKey {
	keys := slices.Collect(maps.Keys(c.tasks))
	slices.SortFunc(keys, compareRuns)
	return keys
}

func compareRuns(a, b runKey) int {
	return cmp.Or(
		cmp.Compare(a.task.Job, b.task.Job),
		cmp.Compare(a.task.Occurrence, b.task.Occurrence),
		cmp.Compare(a.task.Step, b.task.Step),
		cmp.Compare(a.task.Index, b.task.Index),
		cmp.Compare(a.run, b.run),
	)
}
