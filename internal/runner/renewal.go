package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
)

// onRenewLeaseResult handles the runner's answer to a lease renewal.
func (c *Core) onRenewLeaseResult(now time.Time, e RenewLeaseResult) {
	if callee, ok := c.callee(); !ok || callee != e.Call.Runner {
		return
	}
	if e.Call.Number == c.renewals {
		c.renewing = false
	}
	c.answered = false
	if e.Answer != NotListening {
		c.refusedSince = time.Time{}
	}
	switch e.Answer {
	case Accepted:
		if e.Call.Number == c.renewals {
			c.applyList(now, e)
		}
	case OtherIncarnation:
		c.onOtherIncarnation(now, e)
	case OtherRunner:
		c.onOtherRunner(now, e.Call)
	case Unreachable:
		c.onUnreachable(now, e.Call)
	case NotListening:
		c.onNotListening(now, e.Call)
	default:
		c.nextRenewal = now.Add(renewalRetry)
	}
}

// applyList updates the agent's view of the runner to the runner's list of its
// tasks and results.
func (c *Core) applyList(now time.Time, e RenewLeaseResult) {
	if c.successor != nil {
		c.completeSuccession(now, e.Clock)
	}
	c.answered = true
	c.readClock(now, e.Call.Sent, e.Clock)
	c.lastAnswer, c.listedAt, c.listConnection = now, now, e.Connection
	if e.Call.Number == c.renewals {
		c.restarted = false
	}
	c.ackForwarded = max(c.ackForwarded, e.Call.Acked)
	if c.runnerGone || !c.listComplete {
		c.runnerGone, c.listComplete, c.reportDue = false, !e.Partial, true
	}
	c.listRequest = e.Call.Number
	if (c.departing || e.Partial) && c.acked <= c.ackForwarded {
		c.nextRenewal = now.Add(renewalRetry)
	}
	for _, end := range e.Results {
		if end.ID <= c.acked {
			continue
		}
		if _, known := c.results[end.ID]; !known {
			c.results[end.ID] = end
			c.reportDue = true
			c.log("result listed", "task", end.Task.String(), "run", end.Run, "result", end.ID,
				"outcome", end.Outcome, "list", e.Call.Number)
		}
		delete(c.tasks, runKey{end.Task, end.Run})
	}
	present := make(map[runKey]bool, len(e.Tasks))
	for _, listed := range e.Tasks {
		key := runKey{listed.ID, listed.Run}
		present[key] = true
		c.applyListed(now, key, listed, e.Call)
	}
	if e.Partial {
		c.log("list is partial", "list", e.Call.Number, "tasks", len(e.Tasks), "results", len(e.Results), "missing", len(c.tasks)-len(present))
		return
	}
	for _, key := range c.sortedRuns() {
		if !present[key] {
			c.applyMissing(now, key, e)
		}
	}
}

// applyListed records a task that is in the runner's list.
func (c *Core) applyListed(now time.Time, key runKey, listed control.Task, call RenewLease) {
	t := c.tasks[key]
	if t == nil {
		t = &task{start: control.Start{Task: listed.ID, Run: listed.Run}, phase: control.Running, confirmedAt: now, pace: pace{unknown: true}}
		c.tasks[key] = t
		c.reportDue = true
		c.log("task found", "task", key.task.String(), "run", key.run, "token", call.Token, "list", call.Number)
	}
	if t.phase != control.Running || t.uncertain {
		c.log("task confirmed", "task", key.task.String(), "run", key.run, "token", t.token, "list", call.Number)
		t.phase, t.confirmedAt, t.uncertain = control.Running, now, false
		c.reportDue = true
	}
	t.percent, t.checkpoint, t.usage = listed.Percent, listed.Checkpoint, listed.Usage
}

// applyMissing handles a task that is not in the runner's list. A start without an
// answer has failed for good there if the list was made under a higher fencing token than
// the start's, because the runner rejects the start from then on. Its next incarnation
// would still execute it, so that the run must not start again before it expires. A
// running task has ended if the list was asked for after its start was confirmed.
func (c *Core) applyMissing(now time.Time, key runKey, e RenewLeaseResult) {
	t := c.tasks[key]
	switch {
	case t.uncertain && e.Call.Token > t.token:
		t.uncertain = false
		c.log("start fenced", "task", key.task.String(), "run", key.run, "token", t.token, "list", e.Call.Number, "age", now.Sub(t.sentAt))
	case t.phase == control.Running && !t.uncertain && e.Call.Sent.After(t.confirmedAt):
		delete(c.tasks, key)
		c.reportDue = true
		c.log("task missing", "task", key.task.String(), "run", key.run, "token", e.Call.Token,
			"list", e.Call.Number, "age", e.Call.Sent.Sub(t.confirmedAt))
	}
}

// renewLease renews the runner's lease and asks for its list, unless there is no
// need or a renewal is in flight. After a start without an answer it does not wait
// for the one in flight.
func (c *Core) renewLease(now time.Time) {
	callee, ok := c.callee()
	if !ok || c.epoch == 0 || now.Before(c.nextRenewal) {
		return
	}
	needsList := !c.listComplete || c.runnerGone || c.departing || slices.ContainsFunc(slices.Collect(maps.Values(c.tasks)), func(t *task) bool { return t.uncertain })
	urgent := needsList && c.listRequest == 0
	if c.renewing && !urgent {
		return
	}
	acknowledges := c.acked > c.ackForwarded
	justListed := c.answered && now.Equal(c.listedAt)
	if !urgent && len(c.results) > 0 && now.Sub(c.listedAt) < c.config.ListInterval && !(acknowledges && justListed) {
		return
	}
	if !needsList && len(c.tasks) == 0 && !acknowledges {
		return
	}
	wait := c.config.ListWait
	if needsList || len(c.tasks) == 0 || acknowledges && !justListed {
		wait = 0
	}
	until, acked, connection := c.heldUntil, control.ResultID(0), Connection(0)
	if acknowledges && justListed {
		// A runner that has started again counts its results anew. It would drop those up
		// to the acknowledged one before it has listed them, so that it gets an
		// acknowledgement only in the step that handles its list, and over the connection
		// of that list, behind which there is no other process.
		acked, connection = c.acked, c.listConnection
	}
	if now.Sub(c.lastAnswer) > c.config.AnswerTimeout {
		until = 0
	}
	if c.successor != nil || c.restarted {
		// They are for the former incarnation, whose clock and results had other numbers.
		until, acked, connection = 0, 0, 0
	}
	c.requestedUntil = max(c.requestedUntil, until)
	c.renewals++
	c.renewing, c.listRequest = true, c.renewals
	c.effects = append(c.effects, RenewLease{
		Runner: callee, Number: c.renewals, Sent: now, Token: c.nextToken(), Until: until, Acked: acked, Wait: wait, Connection: connection,
	})
}

// unresponsive reports whether the runner has sent neither answers nor heartbeats
// for a while, or no answer since a start that had none. It gets no starts then: each
// start might renew its lease, so that its tasks could never be given up, and may run
// at its next incarnation.
func (c *Core) unresponsive(now time.Time) bool {
	for _, t := range c.tasks {
		if t.uncertain && t.sentAt.After(c.lastAnswer) {
			return true
		}
	}
	return now.Sub(c.lastAnswer) > c.config.AnswerTimeout && now.Sub(c.lastHeartbeat) > c.config.HeartbeatTimeout
}
