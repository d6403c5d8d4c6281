package gate

import (
	"encoding/json"
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// confirm takes note that a record was written.
func (l *leader) confirm(now time.Time, e *entry, written job.Record, version table.Version) {
	e.version = version
	e.accepted = true
	if !same(written, e.record) {
		l.save(e)
		return
	}
	if e.queued {
		return
	}
	e.durable = true
	if e.record.State.Final() {
		l.past.add(e.record, version)
	}
	if saved := e.saved; saved != nil {
		e.saved = nil
		saved(now)
	}
	l.report(e)
}

// compare finds out from its row whether a write in doubt took effect.
func (l *leader) compare(now time.Time, b write, row table.Row) {
	e := b.entry
	var stored job.Record
	switch {
	case row.Version == e.version:
		l.save(e)
	case row.Key == "" || json.Unmarshal(row.Value, &stored) != nil:
		l.gate.elector.Depose(now)
	case same(stored, b.written):
		l.confirm(now, e, b.written, row.Version)
	case !stored.State.Final() && stored.Epoch <= l.epoch:
		e.version = row.Version
		e.accepted = true
		l.save(e)
	case !stored.State.Final():
		l.gate.elector.Depose(now)
	default:
		l.adopt(now, e, stored, row.Version)
	}
}

// adopt takes over the end of a job that another process wrote.
func (l *leader) adopt(now time.Time, e *entry, stored job.Record, version table.Version) {
	l.forgetJob(now, e, outcomeOf(stored))
	if a := e.attempt; a != nil {
		e.attempt = nil
		l.strayAll(e, a)
	}
	e.record = stored
	e.version = version
	e.durable = true
	e.accepted = true
	e.ended = now
	e.saved = nil
	l.past.add(stored, version)
	l.report(e)
}

// kept takes over the ends that a former leader told callers and did not make
// durable.
func (l *leader) kept(now time.Time, m wire.Kept) {
	for _, record := range m.Records {
		e, ok := l.jobs.Get(record.ID)
		switch {
		case !ok || e.record.State.Final():
		case record.State == job.StateDone:
			l.keepDone(now, e, record)
		case record.State == job.StateRefused && record.Ended.After(e.record.Submitted):
			l.keepRefused(now, e, record)
		}
	}
}

// keepDone ends a job that its caller was told is done.
func (l *leader) keepDone(now time.Time, e *entry, record job.Record) {
	if a := e.attempt; a != nil {
		e.attempt = nil
		l.strayAll(e, a)
	}
	e.saved = nil
	e.record.Answer = record.Answer
	e.record.Begun = true
	l.finish(now, e, job.StateDone, record.Ran, record.Reason)
	l.report(e)
}

// keepRefused ends a job that its caller was told does not run, unless it was
// submitted again since or has begun.
func (l *leader) keepRefused(now time.Time, e *entry, record job.Record) {
	switch {
	case e.record.Begun || e.attempt != nil && e.attempt.step == stepRunning:
	case e.attempt != nil:
		e.attempt.refused = true
		l.abort(now, e, record.Reason)
	default:
		l.refuse(now, e, record.Reason, record.Never)
	}
}

// finish ends a job.
func (l *leader) finish(now time.Time, e *entry, state job.State, ran job.Ran, reason string) {
	e.record.State = state
	e.record.Ran = ran
	e.record.Reason = reason
	e.record.Ended = now
	e.record.Spec.Input = nil
	e.ended = now
	l.forgetJob(now, e, outcomeOf(e.record))
	l.gate.observeEnd(e.record)
	l.save(e)
}

// forgetJob takes a job out of the policy.
func (l *leader) forgetJob(now time.Time, e *entry, outcome scheduler.Outcome) {
	if !e.parked {
		l.policy.Remove(now, e.record.ID, outcome)
	}
	e.parked = false
}

func same(x, y job.Record) bool {
	return x.State == y.State && x.Attempt == y.Attempt && x.Epoch == y.Epoch && x.Failures == y.Failures && x.Begun == y.Begun
}
