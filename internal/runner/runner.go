// Package runner is the state machine of the agent beside a runner. The agent
// carries out the leader's orders at the runner, renews the lease of the running
// tasks while the leader keeps sending orders, and reports to the leader. The
// package does no I/O and reads no clock: Core.Step takes an event and the time, and
// returns the effects to carry out.
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
	// Accepted says that the runner carried out the call.
	Accepted Answer = iota

	// Refused says that the call had no effect and never will have.
	Refused

	// Fenced says that the runner rejected the call because it has seen a higher
	// fencing token.
	Fenced

	// OtherIncarnation says that the runner has been started again under the same name.
	// Calls name only that, so it may have carried out any call to its former
	// incarnation.
	OtherIncarnation

	// OtherRunner says that another runner listens at the address. It does nothing for
	// the call.
	OtherRunner

	// NoAnswer says that there was no answer: the call may have been carried
	// out, or may be later.
	NoAnswer

	// Unreachable says that no connection to the runner could be made: the call
	// never takes effect, and the runner may be down.
	Unreachable

	// NotListening says that the machine refused the connection since no process
	// listens at the runner's address: the call never takes effect, and the runner
	// has ended unless it is about to listen.
	NotListening
)

type (
	// Token is the fencing token of a call to a runner, which rejects calls with
	// a lower one than the highest it has seen. It grows with the leader's epoch,
	// with each incarnation of the agent within an epoch, and after each start
	// without an answer and each restart of the runner.
	Token uint64

	// Connection identifies a connection to the runner, which ends with the runner's
	// process at the latest. 0 stands for none.
	Connection uint64

	// Clock is a time by a runner's own clock in milliseconds.
	Clock int64

	// Answer is the kind of a runner's answer to a call.
	Answer uint8

	// Config holds the time limits of a Core.
	Config struct {
		// HoldTime is how long tasks keep running after the leader's last orders.
		HoldTime time.Duration

		// MaxLease is the longest lease that a runner grants, however late the end that is
		// asked for.
		MaxLease time.Duration

		// MaxOrdersAge is the age above which orders are ignored. It is counted from when
		// the report that they answer was sent.
		MaxOrdersAge time.Duration

		// ListWait is how long a runner may delay its answer to a lease renewal while
		// no task ends.
		ListWait time.Duration

		// ReportWait is how long a leader may delay its answer to a report while it has
		// no new orders, until the leader sets another time.
		ReportWait time.Duration

		// AnswerTimeout is the time since a runner's last answer after which its lease is
		// not extended.
		AnswerTimeout time.Duration

		// HeartbeatTimeout is the time since a runner's last heartbeat after which, if it
		// does not answer either, it gets no work.
		HeartbeatTimeout time.Duration

		// ReportInterval is the least time between two reports while the first is in
		// flight. What changes meanwhile goes into one report.
		ReportInterval time.Duration

		// ListInterval is the least time between two lists of a runner with results
		// that the leader has not acknowledged: it answers at once then, however long
		// it may wait.
		ListInterval time.Duration
	}

	// Option sets a field of a Config.
	Option func(*Config)

	// Core is the state machine of one incarnation of an agent. It is not safe
	// for use by several goroutines.
	Core struct {
		config      Config
		id          control.AgentID
		incarnation control.Incarnation

		// seq is the number of the last report.
		seq uint64

		// epoch is the newest leader epoch that orders came from, and applied the
		// sequence number of its last orders that were carried out. fence and
		// unansweredStarts are the other parts of the fencing token.
		epoch            lease.Epoch
		fence            uint16
		unansweredStarts uint16
		applied          control.OrdersSeq

		// evacuated and reportUsage say that, by the last orders, no task must be started at the
		// runner, and that the leader wants the figures of tasks.
		evacuated, reportUsage bool

		// leader is empty while the agent searches for it. failedLeader is the
		// last leader that did not answer, at failedAt.
		leader       machine.Node
		failedLeader machine.Node
		failedAt     time.Time
		gates        []machine.Node

		// nextGate, modulo the number of gates, is the index of the gate to ask
		// next in the search for the leader.
		nextGate int

		// ledAt is when a leader last answered a report, or the zero time. finding says that a
		// search for gates is in flight, found that one has found some. No other begins
		// before nextFind.
		ledAt          time.Time
		finding, found bool
		nextFind       time.Time

		// inFlight is the number of reports in flight.
		inFlight int

		// reportWait is how long the leader may delay its answer to a report
		// while it has no new orders.
		reportWait time.Duration

		// inFlightTo is the number of reports in flight by gate.
		inFlightTo map[machine.Node]int

		// reportDue says that something has changed since the last report. No
		// report is sent before nextReport.
		reportDue  bool
		nextReport time.Time

		// reportedAt is when the last report was sent, listedAt when the runner's
		// last list arrived.
		reportedAt, listedAt time.Time

		// runner is nil until a runner has listed its tasks. Its clock showed runnerClock at
		// runnerClockAt. lastAnswer is when it last answered; a renewal that it
		// refused or fenced does not count.
		runner       *control.Runner
		heartbeatSeq uint64
		runnerClock  Clock
		runnerClockAt,
		lastAnswer,
		lastHeartbeat time.Time

		// steppedAt is the time of the last step. suspended is how long the runner's clock
		// may have stood still since its last reading.
		steppedAt time.Time
		suspended time.Duration

		// successor is the last heartbeat of an incarnation that has not listed its
		// tasks yet, or nil.
		successor *Heartbeat

		// refusedSince is when the first of the last renewals found nobody listening, or
		// the zero time if the last one did not.
		refusedSince time.Time

		// listComplete says that tasks is complete, and runnerGone that nothing runs at
		// the runner any more, but for starts without an answer. departing says that the
		// runner has announced its end since its last heartbeat, restarted that it was
		// started again under its name.
		listComplete bool
		runnerGone   bool
		departing    bool
		restarted    bool

		// heldUntil is until when the leader's orders let tasks run, and
		// requestedUntil the latest lease end that was requested of the runner.
		heldUntil      Clock
		requestedUntil Clock

		// strayLease is until when a lease may last that a call for a former incarnation
		// gave to the present one.
		strayLease time.Time

		// heldSince is when the report was sent that the last orders answer, by the
		// agent's own clock, or when the agent began if there are none. It holds for
		// any incarnation of the runner.
		heldSince time.Time
		tasks     map[runKey]*task
		results   map[control.ResultID]control.Result

		// refusals are the reasons of runs that will never start.
		refusals map[runKey]string

		// skipped are the starts of the last orders that were not carried out, since the
		// runner's tasks were not known or it was gone.
		skipped map[runKey]bool

		// acked is the last result that the leader has acknowledged, and
		// ackForwarded the last whose acknowledgement the runner has received.
		acked        control.ResultID
		ackForwarded control.ResultID

		// listConnection is the connection over which the last list came.
		listConnection Connection

		// renewals numbers the lease renewals. renewing says that the last is in
		// flight.
		renewals uint64
		renewing bool

		// answered says that the last renewal was answered by the incarnation that it was
		// meant for, and that this has not announced its end since. Otherwise another one
		// may take the next renewal.
		answered bool

		// listRequest is the number of the last renewal, or 0 if there was none or
		// a start has had no answer since: then the next renewal does not wait for
		// the answer to the last.
		listRequest uint64
		nextRenewal time.Time
		effects     []any
	}

	// runKey identifies a run of a task.
	runKey struct {
		task work.TaskID
		run  work.Run
	}

	// task is a run that is being started, may run or runs at the runner.
	task struct {
		start control.Start
		phase control.Phase

		// sentAt is when the start was sent last.
		sentAt time.Time

		// confirmedAt is when the runner confirmed the start. A list that was
		// asked for before need not contain the task.
		confirmedAt time.Time

		// uncertain says that the start had no answer. A list made under a higher
		// token shows whether the task runs.
		uncertain  bool
		token      Token
		stopWanted bool
		stopSentAt time.Time
		percent    int
		checkpoint work.Checkpoint
		usage      float64
		pace       pace
	}
)

// WithHoldTime sets how long tasks keep running after the leader's last orders.
func WithHoldTime(hold time.Duration) Option {
	return func(c *Config) { c.HoldTime = hold }
}

// WithMaxLease sets the longest lease that a runner grants.
func WithMaxLease(lease time.Duration) Option {
	return func(c *Config) { c.MaxLease = lease }
}

// WithIntervals sets the least times between two reports and between two lists.
func WithIntervals(reports, lists time.Duration) Option {
	return func(c *Config) { c.ReportInterval, c.ListInterval = reports, lists }
}

// New returns the core of one incarnation of an agent. seeds are the gates that it may
// report to at first.
func New(id control.AgentID, incarnation control.Incarnation, seeds []machine.Node, options ...Option) *Core {
	config := Config{
		HoldTime: 6 * time.Second, MaxLease: 10 * time.Second, MaxOrdersAge: 1500 * time.Millisecond, ListWait: 500 * time.Millisecond,
		ReportWait: 600 * time.Millisecond, AnswerTimeout: 1500 * time.Millisecond, HeartbeatTimeout: 3500 * time.Millisecond,
	}
	for _, option := range options {
		option(&config)
	}
	c := &Core{config: config, id: id, incarnation: incarnation, gates: seeds, inFlightTo: make(map[machine.Node]int), reportWait: config.ReportWait}
	c.resetRunner()
	return c
}

// AddGates adds gates that the agent may report to.
func (c *Core) AddGates(gates []machine.Node) {
	for _, g := range gates {
		if !slices.Contains(c.gates, g) {
			c.gates = append(c.gates, g)
		}
	}
}

// Step applies an event at the time now and returns the effects to carry out. Times
// must not decrease.
func (c *Core) Step(now time.Time, event any) []any {
	c.effects = nil
	if c.steppedAt.IsZero() {
		c.heldSince = now
	}
	c.noteGap(now)
	switch e := event.(type) {
	case Heartbeat:
		c.onHeartbeat(now, e)
	case Gone:
		c.onGone(e)
	case StartResult:
		c.onStartResult(now, e)
	case StopResult:
		c.onStopResult(now, e)
	case PaceResult:
		c.onPaceResult(now, e)
	case RenewLeaseResult:
		c.onRenewLeaseResult(now, e)
	case SendResult:
		c.onReportAnswered(now, e)
	case GatesFound:
		c.onGatesFound(now, e)
	}
	c.runDue(now)
	return c.effects
}

// NextStep returns when a report or list that waits for its interval is due, so that
// Step is to be called. The zero time means that none waits.
func (c *Core) NextStep() time.Time {
	var next time.Time
	if c.reportDue && c.inFlight > 0 {
		next = c.reportedAt.Add(c.config.ReportInterval)
	}
	if list := c.listedAt.Add(c.config.ListInterval); len(c.results) > 0 && !c.renewing && (next.IsZero() || list.Before(next)) {
		next = list
	}
	return next
}

func (c *Core) log(event string, keyValues ...any) {
	c.effects = append(c.effects, Log{Event: event, KeyValues: keyValues})
}

// resetRunner removes all state of the runner.
func (c *Core) resetRunner() {
	c.runner, c.successor = nil, nil
	c.listComplete, c.runnerGone, c.departing, c.restarted = false, false, false, false
	c.heartbeatSeq, c.heldUntil, c.requestedUntil = 0, 0, 0
	c.renewing, c.listRequest, c.refusedSince = false, 0, time.Time{}
	c.answered = false
	c.acked, c.ackForwarded = 0, 0
	c.tasks = make(map[runKey]*task)
	c.results = make(map[control.ResultID]control.Result)
	c.refusals = make(map[runKey]string)
	c.skipped = make(map[runKey]bool)
}

// sortedRuns returns the agent's runs in a fixed order.
func (c *Core) sortedRuns() []runKey {
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
