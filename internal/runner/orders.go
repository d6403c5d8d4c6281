package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// stopRetry is the time after which a stop is repeated if the task still
	// runs.
	stopRetry = 700 * time.Millisecond

	// startValidity is how long after it was sent a start may still take effect.
	// The lease that it requests ends then, so that the lease of a task that
	// starts seconds late has already expired.
	startValidity = 1500 * time.Millisecond

	// gateRetry is the back-off before the next report while the agent searches for
	// the leader, and after a report that failed or was redirected.
	gateRetry = 150 * time.Millisecond

	// failedLeaderCooldown is how long redirects to a leader that did not answer
	// are ignored: as long as the other gates may take to detect its failure.
	failedLeaderCooldown = 3 * time.Second

	// maxReports is the limit of reports in flight. maxSearchReports is the limit
	// while the agent searches for the leader and has nothing new to report.
	maxReports       = 4
	maxSearchReports = 3

	// reportsPerHold limits how long answers may be delayed: at least that many fit
	// into Config.HoldTime, which each of them renews.
	reportsPerHold = 3

	// endConfirmation is how long nobody must listen at a runner's address before the
	// runner has ended, unless it has announced that: more than one renewalRetry.
	endConfirmation = 400 * time.Millisecond

	// renewalRetry is the back-off before the next lease renewal after one that
	// failed.
	renewalRetry = 200 * time.Millisecond
)

// onReportAnswered handles a gate's answer to a report, or its failure. Orders are
// applied only once, in order, and if they are not older than Config.MaxOrdersAge:
// another gate may lead by then.
func (c *Core) onReportAnswered(now time.Time, e SendResult) {
	c.inFlight--
	c.inFlightTo[e.Call.To]--
	if e.Err != nil {
		c.onReportFailed(now, e.Call)
		return
	}
	c.AddGates(e.Orders.Gates)
	if !e.Orders.Leads {
		c.followRedirect(now, e)
		return
	}
	if e.Orders.Epoch < c.epoch || now.Sub(e.Call.Sent) > c.config.MaxOrdersAge {
		return
	}
	if e.Orders.Epoch > c.epoch {
		c.log("leader found", "epoch", e.Orders.Epoch, "leader", e.Call.To, "before", c.epoch)
		c.epoch, c.fence, c.applied, c.unansweredStarts = e.Orders.Epoch, 0, 0, 0
		c.reportDue = true
	}
	c.adoptFence(e.Orders.Fence)
	if e.Orders.ReportWait > 0 {
		c.reportWait = min(e.Orders.ReportWait, c.config.HoldTime/reportsPerHold)
	}
	c.leader, c.nextReport, c.ledAt = e.Call.To, time.Time{}, now
	if e.Orders.Seq <= c.applied {
		return
	}
	if c.runner == nil || e.Orders.Runner != c.runner.ID {
		return
	}
	if c.runnerGone {
		for _, start := range e.Orders.Starts {
			c.skipped[runKey{start.Task, start.Run}] = true
		}
		return
	}
	if e.Call.Report.Runner == nil {
		// The leader does not extend its hold for a report without a runner.
		return
	}
	if c.listComplete {
		// Orders whose starts are not carried out must not be reported as
		// applied: the leader would conclude that those runs have ended.
		c.applied = e.Orders.Seq
	}
	c.applyOrders(now, e)
}

// onReportFailed turns to another gate after one that did not answer.
func (c *Core) onReportFailed(now time.Time, call Send) {
	if call.To == c.leader {
		c.leader = ""
		c.failedLeader, c.failedAt = call.To, now
		// Perhaps only the connection failed: the search begins with the same gate.
		c.nextGate = max(slices.Index(c.gates, call.To), 0)
		c.log("leader lost", "leader", call.To, "epoch", c.epoch)
	}
	c.reportDue = true
	c.nextReport = now.Add(gateRetry)
}

// followRedirect turns to the leader that another gate names, unless that is of an
// older epoch or has just failed to answer.
func (c *Core) followRedirect(now time.Time, e SendResult) {
	stale := e.Orders.Leader == c.failedLeader && e.Orders.Epoch <= c.epoch && now.Sub(c.failedAt) < failedLeaderCooldown
	if e.Orders.Epoch >= c.epoch && e.Orders.Leader != "" && e.Orders.Leader != e.Call.To && !stale {
		c.leader = e.Orders.Leader
	} else if c.leader == e.Call.To {
		c.leader = ""
	}
	c.reportDue = true
	c.nextReport = now.Add(gateRetry)
}

// applyOrders carries out a leader's orders.
func (c *Core) applyOrders(now time.Time, e SendResult) {
	c.heldUntil = max(c.heldUntil, c.runnerNow(e.Call.Sent)+Clock(c.config.HoldTime/time.Millisecond))
	if e.Call.Sent.After(c.heldSince) {
		c.heldSince = e.Call.Sent
	}
	c.acked = max(c.acked, e.Orders.Acked)
	for n := range c.results {
		if n <= c.acked {
			delete(c.results, n)
		}
	}
	c.evacuated, c.reportUsage = e.Orders.Evacuated, e.Orders.ReportUsage
	clear(c.skipped)
	ordered := make(map[runKey]bool)
	for _, stop := range e.Orders.Stops {
		ordered[runKey{stop.Task, stop.Run}] = true
		c.applyStop(stop)
	}
	for _, start := range e.Orders.Starts {
		key := runKey{start.Task, start.Run}
		ordered[key] = true
		c.applyStart(now, key, start)
	}
	c.applyPaces(e.Orders.Paces)
	// A refusal is reported until the leader no longer orders the run.
	maps.DeleteFunc(c.refusals, func(key runKey, _ string) bool { return !ordered[key] })
}

// applyStop has a run stopped. A run that the agent does not have is refused, so that
// a late start order has no effect.
func (c *Core) applyStop(stop control.Stop) {
	key := runKey{stop.Task, stop.Run}
	if t := c.tasks[key]; t != nil {
		if !t.stopWanted {
			c.log("stop ordered", "task", key.task.String(), "run", key.run, "running", t.phase == control.Running, "orders", c.applied)
		}
		t.stopWanted = true
		return
	}
	if c.listComplete && !c.hasEnded(key) {
		c.refuse(key, "stopped")
	}
}

// hasEnded reports whether a result of a run waits to be acknowledged.
func (c *Core) hasEnded(key runKey) bool {
	for _, e := range c.results {
		if e.Task == key.task && e.Run == key.run {
			return true
		}
	}
	return false
}

// applyStart starts a run that the agent does not have yet.
func (c *Core) applyStart(now time.Time, key runKey, start control.Start) {
	_, refused := c.refusals[key]
	if refused || c.tasks[key] != nil || c.hasEnded(key) {
		return
	}
	if !c.listComplete {
		c.skipped[key] = true
		return
	}
	if reason := c.startBarrier(now); reason != "" {
		c.refuse(key, reason)
		return
	}
	t := &task{start: start, phase: control.Starting}
	c.tasks[key] = t
	c.sendStart(now, t)
}

// refuseSkipped refuses the starts that were not carried out before the runner was gone. Its
// leader would wait for these runs until the hold has passed.
func (c *Core) refuseSkipped() {
	if !c.runnerGone {
		return
	}
	for _, key := range slices.SortedFunc(maps.Keys(c.skipped), compareRuns) {
		if c.tasks[key] == nil && !c.hasEnded(key) {
			c.refuse(key, "runner gone")
		}
	}
	clear(c.skipped)
}

// sendStart tells the runner to start a task.
func (c *Core) sendStart(now time.Time, t *task) {
	t.token, t.sentAt = c.nextToken(), now
	until := min(c.heldUntil, c.runnerNow(now)+Clock(startValidity/time.Millisecond))
	c.requestedUntil = max(c.requestedUntil, until)
	c.log("start sent", "task", t.start.Task.String(), "run", t.start.Run, "token", t.token, "until", until,
		"clock", c.runnerNow(now), "held", c.heldUntil, "orders", c.applied)
	c.effects = append(c.effects, StartTask{Runner: c.runner.ID, Start: t.start, Token: t.token, Until: until})
}

// onStartResult handles the runner's answer to a start.
func (c *Core) onStartResult(now time.Time, e StartResult) {
	key := runKey{e.Call.Start.Task, e.Call.Start.Run}
	t := c.tasks[key]
	if t == nil || t.token != e.Call.Token || c.runner == nil || c.runner.ID != e.Call.Runner {
		return
	}
	c.recordContact(now, e.Answer)
	fellBack := e.Clock != nil && *e.Clock < c.runnerNow(t.sentAt)
	if fellBack {
		c.log("clock fell back", "task", key.task.String(), "run", key.run, "clock", *e.Clock, "estimated", c.runnerNow(t.sentAt), "answer", e.Answer)
	}
	if e.Answer == Accepted && fellBack {
		// The next incarnation may have the run, with the longest lease. Its list tells.
		c.awaitList(t)
		return
	}
	switch e.Answer {
	case Accepted:
		t.phase, t.confirmedAt = control.Running, now
		c.reportDue = true
		c.log("task confirmed", "task", key.task.String(), "run", key.run, "token", t.token, "list", 0)
	case Fenced:
		if t.token < c.nextToken() && !t.stopWanted && c.listComplete && !c.evacuated {
			c.sendStart(now, t)
			return
		}
		delete(c.tasks, key)
		c.refuse(key, "fenced")
	case Refused, Unreachable, NotListening:
		delete(c.tasks, key)
		c.refuse(key, e.Reason)
	default:
		c.awaitList(t)
	}
}

// awaitList records that only a list made under a higher token than the start's shows whether
// the task runs.
func (c *Core) awaitList(t *task) {
	t.uncertain = true
	c.raiseToken()
	c.listRequest = 0
	c.log("start unanswered", "task", t.start.Task.String(), "run", t.start.Run, "token", c.nextToken())
}

// onStopResult handles the runner's answer to a stop. A stop without an answer is
// sent again at once.
func (c *Core) onStopResult(now time.Time, e StopResult) {
	t := c.tasks[runKey{e.Call.Stop.Task, e.Call.Stop.Run}]
	c.recordContact(now, e.Answer)
	if e.Answer == NoAnswer && t != nil {
		t.stopSentAt = time.Time{}
	}
}

// recordContact records the time of an answer of the runner, whatever it says.
func (c *Core) recordContact(now time.Time, answer Answer) {
	if answer != NoAnswer && answer != Unreachable && answer != NotListening {
		c.lastAnswer = now
	}
}

// runDue sends the calls to the runner and the report that are due, gives up the tasks of
// a runner whose lease has expired, and looks for gates.
func (c *Core) runDue(now time.Time) {
	c.findGates(now)
	c.stopExpired(now)
	c.sendStops(now)
	c.sendPaces(now)
	c.renewLease(now)
	c.expireLease(now)
	c.expireStarts(now)
	c.refuseSkipped()
	c.sendReport(now)
}

// sendStops tells the runner to stop the tasks that are to stop, again and again until
// they are no longer listed.
func (c *Core) sendStops(now time.Time) {
	if c.runner == nil || c.runnerGone {
		return
	}
	for _, key := range c.sortedRuns() {
		t := c.tasks[key]
		if !t.stopWanted || t.phase != control.Running || now.Sub(t.stopSentAt) < stopRetry {
			continue
		}
		t.stopSentAt = now
		c.effects = append(c.effects, StopTask{
			Runner: c.runner.ID, Stop: control.Stop{Task: key.task, Run: key.run}, Token: c.nextToken(),
		})
	}
}

// sendReport reports to the leader: at once if something has changed, and again when
// the last report is answered. Without a leader it reports to one gate after the
// other.
func (c *Core) sendReport(now time.Time) {
	if c.inFlight > 0 && now.Sub(c.reportedAt) < c.config.ReportInterval {
		return
	}
	searching := c.leader == "" && c.inFlight < maxSearchReports
	if now.Before(c.nextReport) || c.inFlight > 0 && !c.reportDue && !searching || c.inFlight >= maxReports {
		return
	}
	to := c.leader
	if to == "" {
		if len(c.gates) == 0 {
			return
		}
		to = c.nextSearchGate()
		c.nextReport = now.Add(gateRetry)
		if to == "" {
			return
		}
	}
	c.reportDue = false
	c.inFlight++
	c.inFlightTo[to]++
	c.seq++
	c.reportedAt = now
	c.effects = append(c.effects, Send{To: to, Report: c.buildReport(now), Sent: now})
}

// nextSearchGate returns the next gate to ask for the leader, one without a report in
// flight, or "" if there is none.
func (c *Core) nextSearchGate() machine.Node {
	for range c.gates {
		to := c.gates[c.nextGate%len(c.gates)]
		c.nextGate++
		if c.inFlightTo[to] == 0 {
			return to
		}
	}
	return ""
}

// buildReport returns a report of the agent's whole state.
func (c *Core) buildReport(now time.Time) control.Report {
	r := control.Report{
		Agent: c.id, Incarnation: c.incarnation, Seq: c.seq, Epoch: c.epoch, Applied: c.applied,
		Complete: c.listComplete, RunnerGone: c.runnerGone, Wait: c.reportWait, Fence: c.neededFence(),
	}
	if c.runner != nil {
		runner := *c.runner
		r.Runner = &runner
		r.Lease = max(c.strayLease.Sub(now), 0)
	}
	for _, key := range c.sortedRuns() {
		t := c.tasks[key]
		listed := control.Task{
			ID: key.task, Run: key.run, Phase: t.phase, Checkpoint: t.checkpoint, Percent: t.percent, Reduction: t.pace.applied,
		}
		if c.reportUsage {
			listed.Usage = t.usage
		}
		r.Tasks = append(r.Tasks, listed)
	}
	for _, n := range slices.Sorted(maps.Keys(c.results)) {
		r.Results = append(r.Results, c.results[n])
	}
	for _, key := range slices.SortedFunc(maps.Keys(c.refusals), compareRuns) {
		r.Refusals = append(r.Refusals, control.Refusal{Task: key.task, Run: key.run, Reason: c.refusals[key]})
	}
	return r
}
