package gate

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// abort stops all members of an attempt. The reason is for the caller.
func (l *leader) abort(now time.Time, e *jobEntry, reason string) {
	if e == nil || e.attempt == nil || e.attempt.step == stepStopping {
		return
	}
	a := e.attempt
	a.step = stepStopping
	a.stoppingSince = now
	a.reason = reason
	e.onDurable = nil
	l.sendStops(now, e)
	l.checkStopped(now, e)
}

// reclaim evicts a job, so that another can use its shares. Its members get the
// grace to make a checkpoint.
func (l *leader) reclaim(now time.Time, e *jobEntry, d scheduler.Reclaim) {
	if e == nil || e.attempt == nil {
		return
	}
	e.attempt.reclaimed = true
	e.attempt.checkpoint = d.Checkpoint
	e.attempt.grace = d.Grace
	l.abort(now, e, "reclaimed")
}

// sendStops sends the orders to stop to the members that have not confirmed
// one.
func (l *leader) sendStops(now time.Time, e *jobEntry) {
	a := e.attempt
	a.resendAt = now.Add(l.gate.config.ResendInterval + a.grace)
	for rank, m := range a.members {
		if u, ok := l.upstreams[m.share.Worker]; ok && !m.stopped && !m.lost {
			stop := wire.Stop{Order: l.orderFor(u), Task: a.task(e, rank), Checkpoint: a.checkpoint, Grace: a.grace}
			l.gate.send(u.node, stop)
		}
	}
}

// loseUnstopped gives up an agent that does not confirm the stop of its member.
func (l *leader) loseUnstopped(now time.Time, e *jobEntry) {
	for _, m := range e.attempt.members {
		if u, ok := l.upstreams[m.share.Worker]; ok && !m.stopped && !m.lost {
			l.lose(now, u)
			return
		}
	}
}

// handleStopped records that a member or an orphaned task has stopped.
func (l *leader) handleStopped(now time.Time, from machine.Node, m wire.Stopped) {
	l.recordAnswer(from)
	e, member := l.member(from, m.Task)
	if member == nil {
		delete(l.orphans, m.Task)
		return
	}
	if e.attempt.step != stepStopping {
		return
	}
	member.stopped = true
	member.ran = member.ran || m.Ran
	l.checkStopped(now, e)
}

// checkStopped ends an attempt once no member runs any more: the job is
// requeued or ends.
func (l *leader) checkStopped(now time.Time, e *jobEntry) {
	a := e.attempt
	ran := false
	for _, m := range a.members {
		if !m.stopped && !m.lost {
			return
		}
		ran = ran || m.ran || m.result != nil || (m.lost && e.record.State == job.StateStarted)
	}
	e.attempt = nil
	e.record.Begun = e.record.Begun || ran
	switch {
	case a.cancelled:
		l.finish(now, e, job.StateCancelled, l.ranStatus(now, e, ran), a.reason)
	case a.refused && !e.record.Begun:
		l.refuse(now, e, a.reason, false)
	case !e.record.Spec.Idempotent && ran:
		l.finish(now, e, finalState(a), job.MayHaveRun, a.reason)
	default:
		l.requeue(now, e, a, ran)
	}
}

// finalState returns the state in which a non-idempotent job that may have run
// ends.
func finalState(a *attempt) job.State {
	if a.failed {
		return job.StateFailed
	}
	return job.StateUnknown
}

// requeue returns a job to the queue after an attempt. Failed and aborted
// starts are followed by a back-off, and the job fails after too many failures.
func (l *leader) requeue(now time.Time, e *jobEntry, a *attempt, ran bool) {
	l.policy.Requeue(now, e.record.ID, scheduler.Outcome{Failed: a.failed, FailedOn: a.failedWorker})
	if a.failed {
		e.record.Failures++
	}
	if a.failed && (e.record.Failures >= l.gate.config.MaxFailures || l.policy.Exhausted(e.record.ID)) {
		l.finish(now, e, job.StateFailed, job.MayHaveRun, a.reason)
		return
	}
	if !a.reclaimed && !ran {
		e.abortedStarts++
	}
	if starts := e.record.Failures + e.abortedStarts; starts > 0 && !a.reclaimed {
		l.withhold(now, e, now.Add(l.startDelay(starts)))
	}
	if e.record.State == job.StateQueued && e.durable {
		return
	}
	e.record.State = job.StateQueued
	e.record.Placement = nil
	l.save(e)
}

// outcomeOf returns the outcome of an ended job as the policy needs it.
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
