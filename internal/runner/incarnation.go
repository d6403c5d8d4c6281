package runner

import (
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
)

// onHeartbeat records a heartbeat of the runner. Late ones and those of former
// incarnations are ignored. A runner that is known to have been started again may have an
// earlier start time than before, if its wall clock was set back.
func (c *Core) onHeartbeat(now time.Time, e Heartbeat) {
	switch id := e.Runner.ID; {
	case c.successor != nil && c.successor.Runner.ID == id:
		if e.Seq > c.successor.Seq {
			c.successor, c.lastHeartbeat = &e, now
		}
	case c.successor != nil && id.Incarnation < c.successor.Runner.ID.Incarnation:
	case c.runner != nil && c.runner.ID == id:
		c.updateRunner(now, e)
	case c.runner != nil && id.Incarnation < c.runner.ID.Incarnation && !c.restarted:
	default:
		c.beginSuccession(now, e)
	}
}

// updateRunner records a heartbeat of the runner that is known already.
func (c *Core) updateRunner(now time.Time, e Heartbeat) {
	if e.Seq <= c.heartbeatSeq {
		return
	}
	if c.runner.Draining != e.Runner.Draining {
		c.reportDue = true
		c.log("runner drains", "runner", e.Runner.ID.Name, "remaining", e.Runner.Remaining)
	}
	runner := e.Runner
	c.runner = &runner
	c.heartbeatSeq, c.lastHeartbeat, c.departing = e.Seq, now, false
	c.readClock(now, time.Time{}, e.Clock)
}

// beginSuccession handles the first heartbeat of an incarnation. A start that was meant
// for a former incarnation of the same name may have reached this one, or still may.
// So the former one is reported until this one has listed its tasks under a fencing
// token that is higher than those of all starts before.
func (c *Core) beginSuccession(now time.Time, e Heartbeat) {
	c.log("runner found", "runner", e.Runner.ID.Name, "born", e.Runner.ID.Incarnation, "draining", e.Runner.Draining, "tasks", len(c.tasks))
	c.successor = &e
	c.lastHeartbeat = now
	c.raiseToken()
	c.requestNewList()
	c.nextRenewal = time.Time{}
}

// completeSuccession replaces the runner by its successor, which has answered.
func (c *Core) completeSuccession(now time.Time, clock Clock) {
	next := c.successor
	c.resetRunner()
	c.runner, c.heartbeatSeq = &next.Runner, next.Seq
	c.runnerClock, c.runnerClockAt, c.suspended = clock, now, 0
	// A former process of the agent may have asked for a lease just before. So may a call that
	// was meant for the former incarnation: by the clock of this one, which has begun anew, its
	// lease has no end, and the runner grants the longest one.
	c.requestedUntil = clock + Clock(c.config.MaxLease/time.Millisecond)
	c.strayLease = now.Add(c.longestLease())
	c.log("longest lease assumed", "runner", next.Runner.ID.Name, "born", next.Runner.ID.Incarnation, "clock", clock, "until", c.requestedUntil)
}

// requestNewList says that the tasks are not known until a list has arrived that is
// requested from now on.
func (c *Core) requestNewList() {
	c.listComplete, c.renewing, c.listRequest = false, false, 0
}

// onOtherRunner records that the runner is not the one that listens at its address, so
// that it runs nothing and starts nothing any more.
func (c *Core) onOtherRunner(now time.Time, call RenewLease) {
	c.lastAnswer, c.nextRenewal = now, now.Add(renewalRetry)
	if !c.runnerGone {
		c.log("runner is another", "runner", call.Runner.Name, "born", call.Runner.Incarnation, "tasks", len(c.tasks), "list", call.Number)
	}
	if c.successor != nil {
		// The heartbeat was late. The runner that was known before may still be there.
		c.successor = nil
		c.requestNewList()
		return
	}
	c.dropTasks()
}

// onOtherIncarnation records that the runner was started again under its name, and that
// nothing of the former incarnation runs any more once the present one has listed none of
// its tasks under a fencing token that is higher than those of all starts before. The
// agent waits for the new incarnation's heartbeat.
func (c *Core) onOtherIncarnation(now time.Time, e RenewLeaseResult) {
	c.lastAnswer, c.nextRenewal, c.restarted = now, now.Add(renewalRetry), true
	if c.runnerGone && c.successor == nil {
		return
	}
	if c.listComplete || c.successor != nil {
		c.log("runner started again", "runner", e.Call.Runner.Name, "born", e.Call.Runner.Incarnation, "tasks", len(c.tasks), "list", e.Call.Number)
		c.reportDue = true
		c.raiseToken()
	}
	c.successor = nil
	c.requestNewList()
	if e.Call.Token == c.nextToken() && !e.Partial && !c.listsRun(e) {
		c.log("runner ended", "runner", e.Call.Runner.Name, "born", e.Call.Runner.Incarnation, "tasks", len(c.tasks), "list", e.Call.Number)
		c.dropTasks()
	}
}

// listsRun reports whether a list contains a run that the agent has or was ordered to start, or
// its result.
func (c *Core) listsRun(list RenewLeaseResult) bool {
	known := func(key runKey) bool { return c.tasks[key] != nil || c.skipped[key] }
	return slices.ContainsFunc(list.Tasks, func(t control.Task) bool { return known(runKey{t.ID, t.Run}) }) ||
		slices.ContainsFunc(list.Results, func(r control.Result) bool { return known(runKey{r.Task, r.Run}) })
}

// onGone handles the departure of a runner. A departure that was delayed may be that of
// a former incarnation, and a runner whose departure is not acknowledged goes on for
// seconds. So the runner's address is asked: it is gone if nobody listens there.
func (c *Core) onGone(e Gone) {
	if c.successor != nil || c.runner == nil || c.runnerGone || c.runner.ID.Name != e.ID.Name {
		return
	}
	if e.ID.Incarnation != 0 && e.ID.Incarnation != c.runner.ID.Incarnation {
		return
	}
	c.log("runner left", "runner", e.ID.Name, "born", e.ID.Incarnation, "tasks", len(c.tasks))
	c.departing, c.answered = true, false
	c.listRequest, c.nextRenewal = 0, time.Time{}
}

// onUnreachable records that nobody listens at the runner's address.
func (c *Core) onUnreachable(now time.Time, call RenewLease) {
	c.nextRenewal = now.Add(renewalRetry)
	if c.departing && c.successor == nil && call.Number == c.renewals {
		c.log("runner ended", "runner", call.Runner.Name, "born", call.Runner.Incarnation, "tasks", len(c.tasks), "list", call.Number)
		c.dropConfirmed()
	}
}

// onNotListening records that no process listens at the runner's address. Nothing runs
// at a runner that has ended. It has, if it announced its end for an earlier time, or if
// nobody has listened for endConfirmation.
func (c *Core) onNotListening(now time.Time, call RenewLease) {
	if c.refusedSince.IsZero() {
		c.refusedSince = now
	}
	c.onUnreachable(now, call)
	if c.runnerGone || c.runner == nil || c.successor != nil || call.Number != c.renewals {
		return
	}
	announced := c.runner.Draining && !now.Before(c.lastHeartbeat.Add(c.runner.Remaining))
	if announced || now.Sub(c.refusedSince) >= endConfirmation {
		c.log("runner ended", "runner", call.Runner.Name, "born", call.Runner.Incarnation, "tasks", len(c.tasks), "list", call.Number,
			"announced", announced, "refused", now.Sub(c.refusedSince))
		c.dropConfirmed()
	}
}

// callee returns the incarnation that renewals go to: the successor, if there is one.
// It returns false if no incarnation is known.
func (c *Core) callee() (control.RunnerID, bool) {
	switch {
	case c.successor != nil:
		return c.successor.Runner.ID, true
	case c.runner != nil:
		return c.runner.ID, true
	}
	return control.RunnerID{}, false
}
