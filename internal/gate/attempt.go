package gate

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// stepReserving waits until every member has set its share aside.
	stepReserving step = iota

	// stepDeciding waits until the start is durable.
	stepDeciding

	// stepRunning waits until every member has a result.
	stepRunning

	// stepStopping waits until no member runs any more.
	stepStopping
)

type (
	step int

	// attempt is one start of a job: all of its members, or none.
	attempt struct {
		number   job.Attempt
		epoch    lease.Epoch
		step     step
		members  []*member
		deadline time.Time
		resend   time.Time
		cancel   bool
		reason   string
		failed   bool
		blamed   floor.WorkerID
	}

	member struct {
		share    floor.Share
		reserved bool
		running  bool
		result   *wire.Result
		stopped  bool
		ran      bool
		lost     bool
	}
)

func newAttempt(number job.Attempt, epoch lease.Epoch, placement floor.Placement, first step) *attempt {
	a := &attempt{number: number, epoch: epoch, step: first}
	for _, share := range placement {
		a.members = append(a.members, &member{share: share})
	}
	return a
}

// start asks every member to set its share aside.
func (l *leader) start(now time.Time, e *entry, placement floor.Placement) {
	a := newAttempt(e.record.Attempt+1, l.epoch, placement, stepReserving)
	a.deadline = now.Add(l.gate.config.ReserveTimeout)
	e.attempt = a
	l.sendReserves(now, e)
}

func (l *leader) sendReserves(now time.Time, e *entry) {
	a := e.attempt
	a.resend = now.Add(l.gate.config.Resend)
	peers := make([]machine.Node, len(a.members))
	for rank, m := range a.members {
		if u, ok := l.workers[m.share.Worker]; ok {
			peers[rank] = u.node
		}
	}
	for rank, m := range a.members {
		if !m.reserved {
			l.order(m, func(order wire.Order) any {
				return wire.Reserve{Order: order, Task: a.task(e, rank), Share: m.share, Spec: e.record.Spec, Peers: peers}
			})
		}
	}
}

// order sends an order to a member's agent.
func (l *leader) order(m *member, body func(wire.Order) any) {
	u, ok := l.workers[m.share.Worker]
	if !ok || !u.fenced {
		return
	}
	l.gate.send(u.node, body(wire.Order{Epoch: l.epoch, Revision: l.gate.directory.revision(), Incarnation: u.incarnation}))
}

func (l *leader) reserved(now time.Time, from machine.Node, m wire.Reserved) {
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

// commitStart makes the start durable before any member may run.
func (l *leader) commitStart(now time.Time, e *entry) {
	a := e.attempt
	a.step = stepDeciding
	e.record.State = job.StateStarted
	e.record.Attempt = a.number
	e.record.Epoch = l.epoch
	e.record.Placement = a.placement()
	e.record.Started = now
	e.saved = func(now time.Time) { l.release(now, e) }
	l.save(now, e)
}

// release lets all members run.
func (l *leader) release(now time.Time, e *entry) {
	if e.attempt == nil || e.attempt.step != stepDeciding {
		return
	}
	e.attempt.step = stepRunning
	l.sendRuns(now, e)
}

func (l *leader) sendRuns(now time.Time, e *entry) {
	a := e.attempt
	a.resend = now.Add(l.gate.config.Resend)
	for rank, m := range a.members {
		if !m.running && m.result == nil {
			l.order(m, func(order wire.Order) any { return wire.Run{Order: order, Task: a.task(e, rank)} })
		}
	}
}

func (l *leader) running(_ time.Time, from machine.Node, m wire.Running) {
	if _, member := l.member(from, m.Task); member != nil {
		member.running = true
	}
}

func (l *leader) memberEnded(now time.Time, from machine.Node, m wire.Ended) {
	e, member := l.member(from, m.Task)
	if member == nil {
		l.settleStray(from, m)
		return
	}
	member.result = &m.Result
	a := e.attempt
	if a.step != stepRunning {
		return
	}
	if m.Result.Failed {
		a.failed = true
		a.blamed = member.share.Worker
		l.abort(now, e, m.Result.Reason)
		return
	}
	for _, other := range a.members {
		if other.result == nil {
			return
		}
	}
	l.complete(now, e)
}

// settleStray lets an agent forget a result whose job has ended durably.
func (l *leader) settleStray(from machine.Node, m wire.Ended) {
	e, ok := l.jobs[m.Task.Job]
	if !ok || !e.record.State.Final() || !e.durable {
		return
	}
	if u := l.at(from); u != nil {
		l.gate.send(from, wire.Settled{Order: wire.Order{Epoch: l.epoch, Revision: l.gate.directory.revision(), Incarnation: u.incarnation}, Task: m.Task})
	}
}

// complete ends a job whose members all have results. Its answer is that of the
// member with rank zero.
func (l *leader) complete(now time.Time, e *entry) {
	a := e.attempt
	e.record.Answer = a.members[0].result.Answer
	e.attempt = nil
	e.saved = func(time.Time) { l.settle(e, a) }
	l.finish(now, e, job.StateDone, "", "")
}

func (l *leader) settle(e *entry, a *attempt) {
	for rank, m := range a.members {
		l.order(m, func(order wire.Order) any { return wire.Settled{Order: order, Task: a.task(e, rank)} })
	}
}

// abort stops all members of an attempt.
func (l *leader) abort(now time.Time, e *entry, reason string) {
	if e == nil || e.attempt == nil || e.attempt.step == stepStopping {
		return
	}
	a := e.attempt
	if a.step == stepDeciding {
		a.cancel = a.cancel || reason == ""
	}
	a.step = stepStopping
	a.reason = reason
	e.saved = nil
	l.sendStops(now, e)
	l.checkStopped(now, e)
}

func (l *leader) sendStops(now time.Time, e *entry) {
	a := e.attempt
	a.resend = now.Add(l.gate.config.Resend)
	for rank, m := range a.members {
		if !m.stopped && !m.lost {
			l.order(m, func(order wire.Order) any { return wire.Stop{Order: order, Task: a.task(e, rank)} })
		}
	}
}

func (l *leader) stopped(now time.Time, from machine.Node, m wire.Stopped) {
	e, member := l.member(from, m.Task)
	if member == nil || e.attempt.step != stepStopping {
		return
	}
	member.stopped = true
	member.ran = member.ran || m.Ran
	l.checkStopped(now, e)
}

// checkStopped ends an attempt of which no member runs any more: the job waits
// again, or it has ended.
func (l *leader) checkStopped(now time.Time, e *entry) {
	a := e.attempt
	ran := false
	for _, m := range a.members {
		if !m.stopped && !m.lost {
			return
		}
		ran = ran || m.ran || (m.lost && e.record.State == job.StateStarted)
	}
	e.attempt = nil
	outcome := scheduler.Outcome{Failed: a.failed, Blamed: a.blamed}
	switch {
	case a.cancel && !ran:
		l.finish(now, e, job.StateCancelled, job.NotRun, a.reason)
	case a.cancel:
		l.finish(now, e, job.StateCancelled, job.MayHaveRun, a.reason)
	case a.failed && !e.record.Spec.Idempotent:
		l.finish(now, e, job.StateFailed, job.MayHaveRun, a.reason)
	case ran && !e.record.Spec.Idempotent:
		l.finish(now, e, job.StateUnknown, job.MayHaveRun, a.reason)
	case a.failed && a.number >= l.gate.config.MaxAttempts:
		l.finish(now, e, job.StateFailed, job.MayHaveRun, a.reason)
	default:
		l.requeue(now, e, outcome)
	}
}

func (l *leader) requeue(now time.Time, e *entry, outcome scheduler.Outcome) {
	l.policy.Requeue(now, e.record.ID, outcome)
	if e.record.State == job.StateQueued && e.durable {
		return
	}
	e.record.State = job.StateQueued
	e.record.Placement = nil
	l.save(now, e)
}

func (l *leader) tickAttempt(now time.Time, e *entry) {
	a := e.attempt
	if a.step == stepReserving && !now.Before(a.deadline) {
		l.abort(now, e, "a member did not answer")
		return
	}
	if now.Before(a.resend) {
		return
	}
	switch a.step {
	case stepReserving:
		l.sendReserves(now, e)
	case stepRunning:
		l.sendRuns(now, e)
	case stepStopping:
		l.sendStops(now, e)
	case stepDeciding:
	}
}

// member returns the member of a live attempt that a task names, if the message
// comes from the agent that holds it.
func (l *leader) member(from machine.Node, id wire.TaskID) (*entry, *member) {
	e, ok := l.jobs[id.Job]
	if !ok || e.attempt == nil || e.attempt.number != id.Attempt || e.attempt.epoch != id.Epoch {
		return nil, nil
	}
	if id.Rank < 0 || int(id.Rank) >= len(e.attempt.members) {
		return nil, nil
	}
	m := e.attempt.members[id.Rank]
	u, ok := l.workers[m.share.Worker]
	if !ok || u.node != from {
		return nil, nil
	}
	return e, m
}

func (a *attempt) task(e *entry, rank int) wire.TaskID {
	return wire.TaskID{Job: e.record.ID, Attempt: a.number, Rank: job.Rank(rank), Epoch: a.epoch}
}

func (a *attempt) placement() floor.Placement {
	placement := make(floor.Placement, 0, len(a.members))
	for _, m := range a.members {
		placement = append(placement, m.share)
	}
	return placement
}

func outcomeOf(record job.Record) scheduler.Outcome {
	outcome := scheduler.Outcome{
		Failed:    record.State == job.StateFailed,
		Cancelled: record.State == job.StateCancelled,
	}
	if !record.Started.IsZero() {
		outcome.Elapsed = record.Ended.Sub(record.Started)
	}
	return outcome
}
