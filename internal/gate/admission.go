package gate

import (
	"errors"
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// handleSubmit admits or refuses a job, and notifies the gate that asks. The
// gate gets no answer, and asks again, until this gate is ready to lead, while
// it shuts down, while its settings are stale or older than the asking gate's,
// and while the table is unavailable and the leader cannot tell whether the job
// has ended before.
func (l *leader) handleSubmit(now time.Time, from machine.Node, m wire.Submit) {
	if !l.ready {
		return
	}
	if e, ok := l.jobs.Get(m.ID); ok {
		l.handleDuplicate(now, from, e, m)
		return
	}
	if _, ok := l.endedJobs.byID[m.ID]; ok {
		l.gate.send(from, wire.Status{Record: job.Record{ID: m.ID}})
		return
	}
	if l.gate.shutdown.begun || !l.gate.settings.acceptsRevision(now, m.Revision) {
		return
	}
	unavailable := l.writer.tableUnavailable(now)
	if unavailable && !l.endedJobs.complete {
		return
	}
	e := l.addJob(now, from, m)
	e.lastRequested = now
	if unavailable && !e.volatile {
		l.handleTableOutage(now, e)
		return
	}
	l.admit(now, e)
}

// handleDuplicate handles a repeated submission of a live job. It may extend
// the deadline or permit a start without a durable record.
func (l *leader) handleDuplicate(now time.Time, from machine.Node, e *jobEntry, m wire.Submit) {
	e.addWatcher(from)
	if !e.durable {
		e.lastRequested = now
	}
	if m.BodyDigest == e.record.BodyDigest && !e.record.State.Final() {
		e.callerWaits = e.callerWaits || m.Wait
		e.volatile = e.volatile || (m.Volatile && e.record.Spec.Idempotent)
		if limit := now.Add(m.Timeout); limit.After(e.deadline) {
			e.deadline = limit
		}
		l.startVolatile(now, e)
	}
	l.notifyWatchers(e)
}

// addJob adds a submitted job, which the policy does not know yet.
func (l *leader) addJob(now time.Time, from machine.Node, m wire.Submit) *jobEntry {
	e := &jobEntry{
		record: job.Record{
			ID:         m.ID,
			Spec:       m.Spec,
			BodyDigest: m.BodyDigest,
			State:      job.StateQueued,
			Submitted:  now,
		},
		withheld:    true,
		callerWaits: m.Wait,
		volatile:    m.Volatile && m.Spec.Idempotent,
		deadline:    now.Add(m.Timeout),
	}
	e.addWatcher(from)
	l.jobs.Put(m.ID, e)
	return e
}

// admit asks the policy to admit a job, and writes its record or refuses it. A
// job that no worker can hold is dropped without a refusal until the floor is
// known. A job whose gate permitted a start without a durable record may run
// under a former leader, so that a new one withholds it for the adoptionWait.
func (l *leader) admit(now time.Time, e *jobEntry) {
	e.withheld = false
	e.admitted = true
	var refused *scheduler.RefusedError
	err := l.policy.Admit(now, policyJob(e.record))
	if errors.As(err, &refused) && refused.Permanent && !l.floorKnown(now) {
		e.withheld = true
		l.drop(now, e)
		return
	}
	if refused != nil {
		e.withheld = true
		l.refuse(now, e, refused.Reason, refused.Permanent)
		return
	}
	l.save(e)
	if adopted := l.startedAt.Add(adoptionWait); e.volatile && now.Before(adopted) {
		l.withhold(now, e, adopted)
	}
	l.withholdUnrecorded(now, e)
}

// refuse ends a job that has never run. With permanent set, it can never run.
func (l *leader) refuse(now time.Time, e *jobEntry, reason string, permanent bool) {
	e.record.Permanent = permanent
	l.finish(now, e, job.StateRefused, l.ranStatus(now, e, false), reason)
	l.notifyWatchers(e)
}

// ranStatus returns whether a job without an answer may have run, as callers
// are to be told. A leader that has not yet heard from all agents cannot know
// whether a former leader started an idempotent job without a durable record.
func (l *leader) ranStatus(now time.Time, e *jobEntry, mayHaveRun bool) job.RunStatus {
	recent := now.Sub(l.startedAt) <= l.gate.config.AgentTimeout
	if mayHaveRun || e.record.Begun || (recent && e.record.Spec.Idempotent) {
		return job.MayHaveRun
	}
	return job.NotRun
}

// handleTableOutage goes on with a job while the table is unavailable. An
// idempotent job whose caller waits may start without a durable record once its
// gate permits it; any other job is refused, unless its record may have been
// written or another leader may know the job.
func (l *leader) handleTableOutage(now time.Time, e *jobEntry) {
	switch {
	case e.record.State.Final():
		l.repeatOutcome(now, e)
	case e.accepted || e.volatile:
		l.startVolatile(now, e)
	case !l.knownNew(e):
	case e.record.Spec.Idempotent && e.callerWaits:
		l.requestVolatileStart(now, e)
	case e.writeIssued || e.writeUncertain || !l.allHeardSince(e.lastRequested):
	case e.attempt != nil:
		e.attempt.refused = true
		l.abort(now, e, "the table is unavailable")
	default:
		l.refuse(now, e, "the table is unavailable", false)
	}
}

// repeatOutcome sends the watchers the outcome of a job again that is not
// durable yet.
func (l *leader) repeatOutcome(now time.Time, e *jobEntry) {
	if now.Sub(e.lastSent) >= l.gate.config.WatchInterval {
		e.lastSent = now
		l.notifyWatchers(e)
	}
}

// requestVolatileStart asks the gates that watch a job to permit a start
// without a durable record.
func (l *leader) requestVolatileStart(now time.Time, e *jobEntry) {
	if now.Sub(e.lastSent) < l.gate.config.ResendInterval {
		return
	}
	e.lastSent = now
	for _, node := range e.watchers {
		l.gate.send(node, wire.VolatileRequest{ID: e.record.ID})
	}
}

// knownNew reports whether the leader knows, without the table, that no earlier job with
// the ID of a job that is not accepted has ended. A job may have been admitted before the
// leader knew, since the write of its record would have shown it.
func (l *leader) knownNew(e *jobEntry) bool {
	_, ended := l.endedJobs.byID[e.record.ID]
	return l.endedJobs.complete && !ended
}

// startVolatile lets an idempotent job start without a durable record if the
// table is unavailable and the job is accepted, or is new and its gate permits it.
func (l *leader) startVolatile(now time.Time, e *jobEntry) {
	if !l.writer.tableUnavailable(now) || !e.record.Spec.Idempotent || (!e.accepted && (!e.volatile || !l.knownNew(e))) {
		return
	}
	switch {
	case !e.admitted && !e.accepted:
		l.admit(now, e)
	case e.attempt != nil && e.attempt.step == stepCommitting:
		e.record.Begun = true
		l.runMembers(now, e)
	}
}

// drop removes a job that was not accepted. Its gate gets no answer, and
// submits the job again or has given it up.
func (l *leader) drop(now time.Time, e *jobEntry) {
	l.removeFromPolicy(now, e, scheduler.Outcome{})
	e.dropped = true
	l.jobs.Delete(e.record.ID)
}

// handleWatch adds a gate to the watchers of jobs and sends it their states.
func (l *leader) handleWatch(from machine.Node, m wire.Watch) {
	for _, id := range m.Jobs {
		e, ok := l.jobs.Get(id)
		if !ok {
			l.gate.send(from, wire.Status{Record: job.Record{ID: id}})
			continue
		}
		e.addWatcher(from)
		l.notifyWatchers(e)
	}
}

// mayHaveUnreportedResults reports whether agents may hold tasks or results of
// a job that they have not reported to this new leader yet.
func (l *leader) mayHaveUnreportedResults(now time.Time, e *jobEntry) bool {
	if _, held := l.unrecorded[e.record.ID]; held {
		return true
	}
	if e.attempt == nil && (e.withheld || e.record.Spec.Idempotent) && now.Sub(l.startedAt) <= adoptionWait {
		return true
	}
	if e.attempt == nil || now.Sub(l.startedAt) > l.gate.config.AgentTimeout {
		return false
	}
	for _, m := range e.attempt.members {
		if _, ok := l.upstreams[m.share.Worker]; !ok && e.attempt.awaits(m) {
			return true
		}
	}
	return false
}

// handleCancel cancels a job. It gives no answer, so that the gate asks again,
// while agents may still report results of the job.
func (l *leader) handleCancel(now time.Time, from machine.Node, m wire.Cancel) {
	e, ok := l.jobs.Get(m.ID)
	if !ok || e.record.Spec.Account != m.Account {
		l.gate.send(from, wire.Status{Record: job.Record{ID: m.ID}})
		return
	}
	e.addWatcher(from)
	if l.mayHaveUnreportedResults(now, e) {
		return
	}
	const reason = "cancelled by its caller"
	switch {
	case e.record.State.Final():
		l.notifyWatchers(e)
	case e.attempt != nil:
		e.attempt.cancelled = true
		l.abort(now, e, reason)
	default:
		l.finish(now, e, job.StateCancelled, l.ranStatus(now, e, false), reason)
	}
}
