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
	// stepReserving waits until every member has set its share aside.
	stepReserving step = iota

	// stepDeciding waits until the start is durable.
	stepDeciding

	// stepRunning waits until every member has a result.
	stepRunning

	// stepStopping waits until no member runs any more.
	stepStopping

	// throttleInterval is the time after which a slowed member is told so again.
	throttleInterval = 5 * time.Second
)

type (
	step int

	// attempt is one start of a job: all of its members, or none.
	attempt struct {
		number     job.Attempt
		epoch      lease.Epoch
		step       step
		members    []*member
		deadline   time.Time
		resend     time.Time
		stopping   time.Time
		cancel     bool
		refused    bool
		reclaimed  bool
		checkpoint bool
		grace      time.Duration
		slow       bool
		throttled  time.Time
		reason     string
		failed     bool
		blamed     floor.WorkerID
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
	if e == nil || e.attempt != nil {
		return
	}
	if !e.record.Spec.Idempotent && l.writer.stalled(now) {
		l.park(now, e, now)
		return
	}
	e.tried = max(e.tried, e.record.Attempt) + 1
	a := newAttempt(e.tried, l.epoch, placement, stepReserving)
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
			l.order(now, m, func(order wire.Order) any {
				return wire.Reserve{Order: order, Task: a.task(e, rank), Share: m.share, Spec: e.record.Spec, Body: e.record.Body, Peers: peers}
			})
		}
	}
}

// order sends an order to a member's agent and notes that an answer is due.
func (l *leader) order(now time.Time, m *member, body func(wire.Order) any) {
	u, ok := l.workers[m.share.Worker]
	if !ok {
		return
	}
	if u.asked.IsZero() {
		u.asked = now
	}
	l.gate.send(u.node, body(l.orderFor(u)))
}

func (l *leader) orderFor(u *upstream) wire.Order {
	return wire.Order{Epoch: l.epoch, Revision: l.gate.directory.revision(), Incarnation: u.incarnation}
}

func (l *leader) reserved(now time.Time, from machine.Node, m wire.Reserved) {
	l.answered(from)
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

// commitStart makes the start durable before any member may run. While the store
// is away, an idempotent job may start without.
func (l *leader) commitStart(now time.Time, e *entry) {
	a := e.attempt
	a.step = stepDeciding
	e.record.State = job.StateStarted
	e.record.Attempt = a.number
	e.record.Epoch = l.epoch
	e.record.Placement = a.placement()
	e.record.Started = now
	e.saved = func(now time.Time) { l.release(now, e) }
	l.save(e)
	l.proceed(now, e)
}

// release lets all members run.
func (l *leader) release(now time.Time, e *entry) {
	if e.attempt == nil || e.attempt.step != stepDeciding {
		return
	}
	e.attempt.step = stepRunning
	l.sendRuns(now, e)
	l.checkResults(now, e)
}

func (l *leader) sendRuns(now time.Time, e *entry) {
	a := e.attempt
	a.resend = now.Add(l.gate.config.Resend)
	for rank, m := range a.members {
		if !m.running && m.result == nil {
			l.order(now, m, func(order wire.Order) any { return wire.Run{Order: order, Task: a.task(e, rank)} })
		}
	}
}

func (l *leader) running(_ time.Time, from machine.Node, m wire.Running) {
	l.answered(from)
	if e, member := l.member(from, m.Task); member != nil {
		member.running = true
		e.aborts = 0
	}
}

func (l *leader) memberEnded(now time.Time, from machine.Node, m wire.Ended) {
	l.answered(from)
	e, member := l.member(from, m.Task)
	if member == nil {
		l.endedStray(from, m)
		return
	}
	member.result = &m.Result
	if e.attempt.step == stepRunning {
		l.checkResults(now, e)
	}
}

// checkResults ends an attempt of which a member has failed or all have results.
func (l *leader) checkResults(now time.Time, e *entry) {
	a := e.attempt
	missing := false
	for _, m := range a.members {
		if m.result != nil && m.result.Failed {
			a.failed = true
			a.blamed = m.share.Worker
			l.abort(now, e, m.result.Reason)
			return
		}
		missing = missing || m.result == nil
	}
	if !missing {
		l.complete(now, e)
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
	l.report(e)
}

func (l *leader) settle(e *entry, a *attempt) {
	for rank, m := range a.members {
		if u, ok := l.workers[m.share.Worker]; ok {
			l.sendSettled(u, a.task(e, rank))
		}
	}
}

// throttle slows the members of a job down, or lets them run at full speed.
func (l *leader) throttle(now time.Time, e *entry, slow bool) {
	if e == nil || e.attempt == nil {
		return
	}
	e.attempt.slow = slow
	l.sendThrottles(now, e)
}

func (l *leader) sendThrottles(now time.Time, e *entry) {
	a := e.attempt
	a.throttled = now
	for rank, m := range a.members {
		if u, ok := l.workers[m.share.Worker]; ok && m.result == nil {
			l.gate.send(u.node, wire.Throttle{Order: l.orderFor(u), Task: a.task(e, rank), Slow: a.slow})
		}
	}
}

func (l *leader) tickAttempt(now time.Time, e *entry) {
	a := e.attempt
	if a.step == stepReserving && !now.Before(a.deadline) {
		l.suspect(e)
		l.abort(now, e, "a member did not answer")
		return
	}
	if a.slow && a.step == stepRunning && now.Sub(a.throttled) >= throttleInterval {
		l.sendThrottles(now, e)
	}
	if a.step == stepStopping && now.Sub(a.stopping) > a.grace+l.gate.config.StopTimeout {
		l.loseUnstopped(now, e)
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
	e, ok := l.jobs.Get(id.Job)
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
