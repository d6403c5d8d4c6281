package gate

import (
	"errors"
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// submit accepts a job or refuses it, and tells the gate that asks.
func (l *leader) submit(now time.Time, from machine.Node, m wire.Submit) {
	if !l.ready {
		return
	}
	if e, ok := l.jobs.Get(m.ID); ok {
		l.again(now, from, e, m)
		return
	}
	if _, ok := l.past.known[m.ID]; ok {
		l.gate.send(from, wire.Status{Record: job.Record{ID: m.ID}})
		return
	}
	if l.gate.departure.leaving || !l.gate.directory.admits(now, m.Revision) {
		return
	}
	stalled := l.writer.stalled(now)
	if stalled && !l.past.whole {
		return
	}
	e := l.enter(now, from, m)
	e.confirm = now
	if stalled && !e.volatile {
		l.bypass(now, e)
		return
	}
	l.admit(now, e)
}

// again takes a copy of a submission.
func (l *leader) again(now time.Time, from machine.Node, e *entry, m wire.Submit) {
	e.watch(from)
	if !e.durable {
		e.confirm = now
	}
	if m.Body == e.record.Body && !e.record.State.Final() {
		e.waits = e.waits || m.Wait
		e.volatile = e.volatile || (m.Volatile && e.record.Spec.Idempotent)
		if limit := now.Add(m.Patience); limit.After(e.deadline) {
			e.deadline = limit
		}
		l.proceed(now, e)
	}
	l.report(e)
}

func (l *leader) enter(now time.Time, from machine.Node, m wire.Submit) *entry {
	e := &entry{
		record: job.Record{
			ID:        m.ID,
			Spec:      m.Spec,
			Body:      m.Body,
			State:     job.StateQueued,
			Submitted: now,
		},
		parked:   true,
		waits:    m.Wait,
		volatile: m.Volatile && m.Spec.Idempotent,
		deadline: now.Add(m.Patience),
	}
	e.watch(from)
	l.jobs.Put(m.ID, e)
	return e
}

func (l *leader) admit(now time.Time, e *entry) {
	e.parked = false
	e.admitted = true
	var refused *scheduler.RefusedError
	err := l.policy.Admit(now, described(e.record))
	if errors.As(err, &refused) && refused.Never && !l.floorKnown(now) {
		e.parked = true
		l.drop(now, e)
		return
	}
	if refused != nil {
		e.parked = true
		l.refuse(now, e, refused.Reason, refused.Never)
		return
	}
	l.save(e)
}

// refuse ends a job that never runs.
func (l *leader) refuse(now time.Time, e *entry, reason string, never bool) {
	e.record.Never = never
	l.finish(now, e, job.StateRefused, l.ran(now, e, false), reason)
	l.report(e)
}

// ran returns what callers are told of a job that has no answer. A leader that
// has not yet heard of all agents cannot know whether a former leader started an
// idempotent job without a durable record.
func (l *leader) ran(now time.Time, e *entry, may bool) job.Ran {
	recent := now.Sub(l.since) <= l.gate.config.AgentTimeout
	if may || e.record.Begun || (recent && e.record.Spec.Idempotent) {
		return job.MayHaveRun
	}
	return job.NotRun
}

// bypass goes on with a job while the store is away. An idempotent job whose
// caller waits may start without a durable record once its gate permits it, and
// anything else that was never written is refused.
func (l *leader) bypass(now time.Time, e *entry) {
	switch {
	case e.record.State.Final():
		l.tell(now, e)
	case e.accepted || e.volatile:
		l.proceed(now, e)
	case e.record.Spec.Idempotent && e.waits:
		l.askPermit(now, e)
	case e.issued || e.doubt || !l.past.whole || !l.heardSince(e.confirm):
	case e.attempt != nil:
		e.attempt.refused = true
		l.abort(now, e, "the store is away")
	default:
		l.refuse(now, e, "the store is away", false)
	}
}

// tell repeats the end of a job that is not durable yet.
func (l *leader) tell(now time.Time, e *entry) {
	if now.Sub(e.asked) >= l.gate.config.Watch {
		e.asked = now
		l.report(e)
	}
}

func (l *leader) askPermit(now time.Time, e *entry) {
	if now.Sub(e.asked) < l.gate.config.Resend {
		return
	}
	e.asked = now
	for _, node := range e.watchers {
		l.gate.send(node, wire.Pending{ID: e.record.ID})
	}
}

// proceed lets an idempotent job start without a durable record if the store is
// away.
func (l *leader) proceed(now time.Time, e *entry) {
	if !l.writer.stalled(now) || !e.record.Spec.Idempotent || (!e.accepted && !e.volatile) {
		return
	}
	switch {
	case !e.admitted && !e.accepted:
		l.admit(now, e)
	case e.attempt != nil && e.attempt.step == stepDeciding:
		e.record.Begun = true
		l.release(now, e)
	}
}

// drop forgets a job that its gate has given up before it was accepted.
func (l *leader) drop(now time.Time, e *entry) {
	l.forgetJob(now, e, scheduler.Outcome{})
	e.dropped = true
	l.jobs.Delete(e.record.ID)
}

func (l *leader) watched(from machine.Node, m wire.Watch) {
	for _, id := range m.Jobs {
		e, ok := l.jobs.Get(id)
		if !ok {
			l.gate.send(from, wire.Status{Record: job.Record{ID: id}})
			continue
		}
		e.watch(from)
		l.report(e)
	}
}

// unheard reports whether agents may hold results of a job that its leader, being
// new, has not heard of yet.
func (l *leader) unheard(now time.Time, e *entry) bool {
	if _, held := l.found[e.record.ID]; held || (e.parked && now.Sub(l.since) <= adoptDelay) {
		return true
	}
	if e.attempt == nil || now.Sub(l.since) > l.gate.config.AgentTimeout {
		return false
	}
	for _, m := range e.attempt.members {
		if _, ok := l.workers[m.share.Worker]; !ok && e.attempt.needs(m) {
			return true
		}
	}
	return false
}

func (l *leader) cancel(now time.Time, from machine.Node, m wire.Cancel) {
	e, ok := l.jobs.Get(m.ID)
	if !ok || e.record.Spec.Account != m.Account {
		l.gate.send(from, wire.Status{Record: job.Record{ID: m.ID}})
		return
	}
	e.watch(from)
	if l.unheard(now, e) {
		return
	}
	const reason = "cancelled by its caller"
	switch {
	case e.record.State.Final():
		l.report(e)
	case e.attempt != nil:
		e.attempt.cancel = true
		l.abort(now, e, reason)
	default:
		l.finish(now, e, job.StateCancelled, l.ran(now, e, false), reason)
	}
}
