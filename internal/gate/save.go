package gate

import (
	"encoding/json"
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// confirmWrite records that a record was written. If it has changed since, it
// is written again.
func (l *leader) confirmWrite(now time.Time, e *jobEntry, written job.Record, version table.Version) {
	e.version = version
	e.accepted = true
	if !sameState(written, e.record) {
		l.save(e)
		return
	}
	if e.writeQueued {
		return
	}
	e.durable = true
	if e.record.State.Final() {
		l.endedJobs.add(e.record, version)
	}
	if callback := e.onDurable; callback != nil {
		e.onDurable = nil
		callback(now)
	}
	l.notifyWatchers(e)
}

// resolveWrite decides from the job's row whether an uncertain write took
// effect. A row that is missing although the job had one, unreadable, or of a
// later epoch shows that this gate has lost the lease.
func (l *leader) resolveWrite(now time.Time, b pendingWrite, row table.Row) {
	e := b.entry
	var stored job.Record
	switch {
	case row.Version == e.version:
		l.save(e)
	case row.Key == "" || json.Unmarshal(row.Value, &stored) != nil:
		l.gate.elector.StepDown(now)
	case sameState(stored, b.written):
		l.confirmWrite(now, e, b.written, row.Version)
	case !stored.State.Final() && stored.Epoch <= l.epoch:
		e.version = row.Version
		e.accepted = true
		l.save(e)
	case !stored.State.Final():
		l.gate.elector.StepDown(now)
	default:
		l.adoptRecord(now, e, stored, row.Version)
	}
}

// adoptRecord takes over the outcome of a job that another process wrote, and
// stops the tasks of its attempt.
func (l *leader) adoptRecord(now time.Time, e *jobEntry, stored job.Record, version table.Version) {
	l.removeFromPolicy(now, e, outcomeOf(stored))
	if a := e.attempt; a != nil {
		e.attempt = nil
		l.addOrphans(e, a)
	}
	e.record = stored
	e.version = version
	e.durable = true
	e.accepted = true
	e.endedAt = now
	e.onDurable = nil
	l.endedJobs.add(stored, version)
	l.notifyWatchers(e)
}

// handleAcknowledged takes over outcomes that gates reported to callers under a
// former leader, which did not make them durable.
func (l *leader) handleAcknowledged(now time.Time, m wire.AcknowledgedOutcomes) {
	for _, record := range m.Records {
		e, ok := l.jobs.Get(record.ID)
		switch {
		case !ok || e.record.State.Final():
		case record.State == job.StateDone:
			l.applyDone(now, e, record)
		case record.State == job.StateRefused && record.Ended.After(e.record.Submitted):
			l.applyRefused(now, e, record)
		}
	}
}

// applyDone ends a job that was reported to its caller as done.
func (l *leader) applyDone(now time.Time, e *jobEntry, record job.Record) {
	if a := e.attempt; a != nil {
		e.attempt = nil
		l.addOrphans(e, a)
	}
	e.onDurable = nil
	e.record.Answer = record.Answer
	e.record.Begun = true
	l.finish(now, e, job.StateDone, record.Ran, record.Reason)
	l.notifyWatchers(e)
}

// applyRefused ends a job that was reported to its caller as refused, unless it
// was submitted again since or has begun.
func (l *leader) applyRefused(now time.Time, e *jobEntry, record job.Record) {
	switch {
	case e.record.Begun || e.attempt != nil && e.attempt.step == stepRunning:
	case e.attempt != nil:
		e.attempt.refused = true
		l.abort(now, e, record.Reason)
	default:
		l.refuse(now, e, record.Reason, record.Permanent)
	}
}

// finish ends a job with an outcome, and writes its record.
func (l *leader) finish(now time.Time, e *jobEntry, state job.State, ran job.RunStatus, reason string) {
	e.record.State = state
	e.record.Ran = ran
	e.record.Reason = reason
	e.record.Ended = now
	e.record.Spec.Input = nil
	e.endedAt = now
	l.removeFromPolicy(now, e, outcomeOf(e.record))
	l.gate.observeEnd(e.record)
	l.save(e)
}

// removeFromPolicy removes a job from the policy, if the policy knows it.
func (l *leader) removeFromPolicy(now time.Time, e *jobEntry, outcome scheduler.Outcome) {
	if !e.withheld {
		l.policy.Remove(now, e.record.ID, outcome)
	}
	e.withheld = false
}

// sameState reports whether two records of a job agree in all that changes
// before it ends.
func sameState(x, y job.Record) bool {
	return x.State == y.State && x.Attempt == y.Attempt && x.Epoch == y.Epoch && x.Failures == y.Failures && x.Begun == y.Begun
}
