package gate

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// abort stops all members of an attempt.
func (l *leader) abort(now time.Time, e *entry, reason string) {
	if e == nil || e.attempt == nil || e.attempt.step == stepStopping {
		return
	}
	a := e.attempt
	a.step = stepStopping
	a.stopping = now
	a.reason = reason
	e.saved = nil
	l.sendStops(now, e)
	l.checkStopped(now, e)
}

// reclaim stops a job so that its place can be used by another. Its members get
// the grace to make a checkpoint.
func (l *leader) reclaim(now time.Time, e *entry, d scheduler.Reclaim) {
	if e == nil || e.attempt == nil {
		return
	}
	e.attempt.reclaimed = true
	e.attempt.checkpoint = d.Checkpoint
	e.attempt.grace = d.Grace
	l.abort(now, e, "reclaimed")
}

func (l *leader) sendStops(now time.Time, e *entry) {
	a := e.attempt
	a.resend = now.Add(l.gate.config.Resend + a.grace)
	for rank, m := range a.members {
		if u, ok := l.workers[m.share.Worker]; ok && !m.stopped && !m.lost {
			stop := wire.Stop{Order: l.orderFor(u), Task: a.task(e, rank), Checkpoint: a.checkpoint, Grace: a.grace}
			l.gate.send(u.node, stop)
		}
	}
}

// loseUnstopped gives up the agents that do not say that their members have
// stopped.
func (l *leader) loseUnstopped(now time.Time, e *entry) {
	for _, m := range e.attempt.members {
		if u, ok := l.workers[m.share.Worker]; ok && !m.stopped && !m.lost {
			l.lose(now, u)
			return
		}
	}
}

func (l *leader) stopped(now time.Time, from machine.Node, m wire.Stopped) {
	l.answered(from)
	e, member := l.member(from, m.Task)
	if member == nil {
		delete(l.strays, m.Task)
		return
	}
	if e.attempt.step != stepStopping {
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
		ran = ran || m.ran || m.result != nil || (m.lost && e.record.State == job.StateStarted)
	}
	e.attempt = nil
	e.record.Begun = e.record.Begun || ran
	switch {
	case a.cancel:
		l.finish(now, e, job.StateCancelled, l.ran(now, e, ran), a.reason)
	case a.refused && !e.record.Begun:
		l.refuse(now, e, a.reason, false)
	case !e.record.Spec.Idempotent && ran:
		l.finish(now, e, endOf(a), job.MayHaveRun, a.reason)
	default:
		l.requeue(now, e, a, ran)
	}
}

// endOf returns the state in which a non-idempotent job ends that may have run.
func endOf(a *attempt) job.State {
	if a.failed {
		return job.StateFailed
	}
	return job.StateUnknown
}

// requeue makes a job wait again. One whose start failed waits the longer the
// more often that was so, and ends after too many failures.
func (l *leader) requeue(now time.Time, e *entry, a *attempt, ran bool) {
	l.policy.Requeue(now, e.record.ID, scheduler.Outcome{Failed: a.failed, Blamed: a.blamed})
	if a.failed {
		e.record.Failures++
	}
	if e.record.Failures >= l.gate.config.MaxFailures {
		l.finish(now, e, job.StateFailed, job.MayHaveRun, a.reason)
		return
	}
	if !a.reclaimed && !ran {
		e.aborts++
	}
	if starts := e.record.Failures + e.aborts; starts > 0 && !a.reclaimed {
		l.park(now, e, now.Add(l.delay(starts)))
	}
	if e.record.State == job.StateQueued && e.durable {
		return
	}
	e.record.State = job.StateQueued
	e.record.Placement = nil
	l.save(e)
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
