package gate

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// stepReserving waits until every member has reserved its share.
	stepReserving attemptStep = iota

	// stepCommitting waits until the start is durable.
	stepCommitting

	// stepRunning waits until every member has a result.
	stepRunning

	// stepStopping waits until no member runs any more.
	stepStopping

	// throttleInterval is the time after which the order to slow down is
	// repeated, since agents do not answer it.
	throttleInterval = 5 * time.Second
)

type (
	// attemptStep is the stage of an attempt.
	attemptStep int

	// attempt is one start of a job, of all its members or none. resendAt is
	// when unanswered orders are sent again, and deadline when the reservation
	// times out. cancelled, refused and reclaimed record why the attempt is
	// stopped; reason is the explanation for callers. failed reports that a
	// member's task has failed, on the worker failedWorker.
	attempt struct {
		number        job.Attempt
		epoch         lease.Epoch
		step          attemptStep
		members       []*member
		deadline      time.Time
		resendAt      time.Time
		stoppingSince time.Time
		cancelled     bool
		refused       bool
		reclaimed     bool
		checkpoint    bool
		grace         time.Duration
		slow          bool
		lastThrottled time.Time
		reason        string
		failed        bool
		failedWorker  floor.WorkerID
	}

	// member is one member of an attempt. Its index is its rank. stopped
	// reports that its agent has confirmed a stop, ran that its task was
	// ordered to run, and lost that its agent was given up or does not hold the
	// task any more.
	member struct {
		share    floor.Allocation
		reserved bool
		running  bool
		result   *wire.Result
		stopped  bool
		ran      bool
		lost     bool
	}
)

func newAttempt(number job.Attempt, epoch lease.Epoch, placement floor.Placement, first attemptStep) *attempt {
	a := &attempt{number: number, epoch: epoch, step: first}
	for _, share := range placement {
		a.members = append(a.members, &member{share: share})
	}
	return a
}

// start begins an attempt by ordering every member's agent to reserve its
// share.
func (l *leader) start(now time.Time, e *jobEntry, placement floor.Placement) {
	if e == nil || e.attempt != nil {
		return
	}
	if !e.record.Spec.Idempotent && l.writer.tableUnavailable(now) {
		l.withhold(now, e, now)
		return
	}
	e.lastAttempt = max(e.lastAttempt, e.record.Attempt) + 1
	a := newAttempt(e.lastAttempt, l.epoch, placement, stepReserving)
	a.deadline = now.Add(l.gate.config.ReserveTimeout)
	e.attempt = a
	l.sendReserves(now, e)
}

// sendReserves sends the orders to reserve to the members that are not reserved
// yet.
func (l *leader) sendReserves(now time.Time, e *jobEntry) {
	a := e.attempt
	a.resendAt = now.Add(l.gate.config.ResendInterval)
	peers := make([]machine.Node, len(a.members))
	for rank, m := range a.members {
		if u, ok := l.upstreams[m.share.Worker]; ok {
			peers[rank] = u.node
		}
	}
	for rank, m := range a.members {
		if !m.reserved {
			l.sendOrder(now, m, func(order wire.Order) any {
				return wire.Reserve{Order: order, Task: a.task(e, rank), Share: m.share, Spec: e.record.Spec, BodyDigest: e.record.BodyDigest, Peers: peers}
			})
		}
	}
}

// sendOrder sends an order to a member's agent and notes since when an answer
// is due.
func (l *leader) sendOrder(now time.Time, m *member, body func(wire.Order) any) {
	u, ok := l.upstreams[m.share.Worker]
	if !ok {
		return
	}
	if u.unansweredSince.IsZero() {
		u.unansweredSince = now
	}
	l.gate.send(u.node, body(l.orderFor(u)))
}

// orderFor returns the header of an order to an agent.
func (l *leader) orderFor(u *upstream) wire.Order {
	return wire.Order{Epoch: l.epoch, Revision: l.gate.settings.revision(), Incarnation: u.incarnation}
}

// handleReserved records a reservation, and goes on to commit the start once
// all members are reserved. An agent's refusal aborts the attempt.
func (l *leader) handleReserved(now time.Time, from machine.Node, m wire.Reserved) {
	l.recordAnswer(from)
	e, member := l.member(from, m.Task)
	if member == nil || e.attempt.step != stepReserving {
		return
	}
	if m.Reason != "" {
		l.abort(now, e, m.Reason)
		return
	}
	member.reserved = true
	for _, other := range e.attempt.members {
		if !other.reserved {
			return
		}
	}
	l.commitStart(now, e)
}

// commitStart makes the start durable before any member may run. While the
// table is unavailable, an idempotent job may start without.
func (l *leader) commitStart(now time.Time, e *jobEntry) {
	a := e.attempt
	a.step = stepCommitting
	e.record.State = job.StateStarted
	e.record.Attempt = a.number
	e.record.Epoch = l.epoch
	e.record.Placement = a.placement()
	e.record.Started = now
	e.onDurable = func(now time.Time) { l.runMembers(now, e) }
	l.save(e)
	l.startVolatile(now, e)
}

// runMembers orders all members to run.
func (l *leader) runMembers(now time.Time, e *jobEntry) {
	if e.attempt == nil || e.attempt.step != stepCommitting {
		return
	}
	e.attempt.step = stepRunning
	l.sendRuns(now, e)
	l.checkResults(now, e)
}

// sendRuns sends the orders to run to the members that have not confirmed one.
func (l *leader) sendRuns(now time.Time, e *jobEntry) {
	a := e.attempt
	a.resendAt = now.Add(l.gate.config.ResendInterval)
	for rank, m := range a.members {
		if !m.running && m.result == nil {
			l.sendOrder(now, m, func(order wire.Order) any { return wire.Run{Order: order, Task: a.task(e, rank)} })
		}
	}
}

// handleRunning records that a member runs, which ends the back-off for aborted
// starts.
func (l *leader) handleRunning(_ time.Time, from machine.Node, m wire.Running) {
	l.recordAnswer(from)
	if e, member := l.member(from, m.Task); member != nil {
		member.running = true
		e.abortedStarts = 0
	}
}

// handleEnded records the result of a member's task.
func (l *leader) handleEnded(now time.Time, from machine.Node, m wire.Ended) {
	l.recordAnswer(from)
	e, member := l.member(from, m.Task)
	if member == nil {
		l.handleUnexpectedResult(from, m)
		return
	}
	member.result = &m.Result
	if e.attempt.step == stepRunning {
		l.checkResults(now, e)
	}
}

// checkResults aborts an attempt if a member has failed, and completes it if
// all members have results.
func (l *leader) checkResults(now time.Time, e *jobEntry) {
	a := e.attempt
	missing := false
	for _, m := range a.members {
		if m.result != nil && m.result.Failed {
			a.failed = true
			a.failedWorker = m.share.Worker
			l.abort(now, e, m.result.Reason)
			return
		}
		missing = missing || m.result == nil
	}
	if !missing {
		l.complete(now, e)
	}
}

// complete ends a job all of whose members have results. Its answer is that of
// rank zero.
func (l *leader) complete(now time.Time, e *jobEntry) {
	a := e.attempt
	e.record.Answer = a.members[0].result.Answer
	e.attempt = nil
	e.onDurable = func(time.Time) { l.acknowledgeResults(e, a) }
	l.finish(now, e, job.StateDone, "", "")
	l.notifyWatchers(e)
}

// acknowledgeResults lets the agents of all members discard their results, once
// the outcome of the job is durable.
func (l *leader) acknowledgeResults(e *jobEntry, a *attempt) {
	for rank, m := range a.members {
		if u, ok := l.upstreams[m.share.Worker]; ok {
			l.sendOutcomeDurable(u, a.task(e, rank))
		}
	}
}

// throttle orders the members of a job to slow down, or to run at full speed.
func (l *leader) throttle(now time.Time, e *jobEntry, slow bool) {
	if e == nil || e.attempt == nil {
		return
	}
	e.attempt.slow = slow
	l.sendThrottles(now, e)
}

func (l *leader) sendThrottles(now time.Time, e *jobEntry) {
	a := e.attempt
	a.lastThrottled = now
	for rank, m := range a.members {
		if u, ok := l.upstreams[m.share.Worker]; ok && m.result == nil {
			l.gate.send(u.node, wire.Throttle{Order: l.orderFor(u), Task: a.task(e, rank), Slow: a.slow})
		}
	}
}

// tickAttempt handles the time-outs and resends of an attempt.
func (l *leader) tickAttempt(now time.Time, e *jobEntry) {
	a := e.attempt
	if a.step == stepReserving && !now.Before(a.deadline) {
		l.excludeTimedOut(e)
		l.abort(now, e, "a member did not answer the reservation in time")
		return
	}
	if a.slow && a.step == stepRunning && now.Sub(a.lastThrottled) >= throttleInterval {
		l.sendThrottles(now, e)
	}
	if a.step == stepStopping && now.Sub(a.stoppingSince) > a.grace+l.gate.config.StopTimeout {
		l.loseUnstopped(now, e)
		return
	}
	if now.Before(a.resendAt) {
		return
	}
	switch a.step {
	case stepReserving:
		l.sendReserves(now, e)
	case stepRunning:
		l.sendRuns(now, e)
	case stepStopping:
		l.sendStops(now, e)
	case stepCommitting:
	}
}

// member returns the job and the member that a task belongs to. Both are nil
// unless the task is of a live attempt and the message comes from the agent
// that is to hold it.
func (l *leader) member(from machine.Node, id wire.TaskID) (*jobEntry, *member) {
	e, ok := l.jobs.Get(id.Job)
	if !ok || e.attempt == nil || e.attempt.number != id.Attempt || e.attempt.epoch != id.Epoch {
		return nil, nil
	}
	if id.Rank < 0 || int(id.Rank) >= len(e.attempt.members) {
		return nil, nil
	}
	m := e.attempt.members[id.Rank]
	u, ok := l.upstreams[m.share.Worker]
	if !ok || u.node != from {
		return nil, nil
	}
	return e, m
}

func (a *attempt) task(e *jobEntry, rank int) wire.TaskID {
	return wire.TaskID{Job: e.record.ID, Attempt: a.number, Rank: job.Rank(rank), Epoch: a.epoch}
}

func (a *attempt) placement() floor.Placement {
	placement := make(floor.Placement, 0, len(a.members))
	for _, m := range a.members {
		placement = append(placement, m.share)
	}
	return placement
}
