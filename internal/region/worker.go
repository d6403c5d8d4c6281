package region

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/interference"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/table"
)

type (
	// worker is an agent and its runner, as the leader knows them.
	worker struct {
		id control.AgentID

		// incarnations are the agent's incarnations in the order in which this leader
		// first heard from them. joined is the number of the one whose report was
		// applied last, from 1. fences are the fences that they were granted.
		incarnations []control.Incarnation
		joined       int
		fences       []uint16
		reportSeq    uint64

		// heardAt is when the last report was applied, or the worker added.
		heardAt   time.Time
		ordersSeq control.OrdersSeq
		runner    *control.Runner

		// listComplete and runnerGone are Complete and RunnerGone of the last report
		// about the runner.
		listComplete bool
		runnerGone   bool

		// row tells later leaders that the agent may run tasks. No task starts on
		// the worker before the row is in the table. The row is removed when no
		// task can be running there any more.
		row trackedRow

		// writingRow says that a write of the row may be in flight, and keepingRow
		// that this write stores the row rather than removing it.
		writingRow, keepingRow bool

		// awaitingReport says that an earlier leader knew the agent and that it has
		// not listed its tasks to this leader yet. It may be running any task until
		// its hold has expired.
		awaitingReport bool

		// holdExpiry is when the hold of every task on the worker has expired,
		// unless the agent is sent new orders before.
		holdExpiry time.Time

		// leaseExpiry is until when tasks on the worker may run on after their hold.
		leaseExpiry time.Time
		lost        bool

		// applied are the last orders that the agent's present incarnation has applied.
		// unapplied counts the reports since then that did not say so of further orders, of
		// which the first arrived at unappliedSince and the last after the orders counted.
		// unproven says that the agent was lost and has not applied any orders since.
		applied, counted control.OrdersSeq
		unapplied        int
		unappliedSince   time.Time
		unproven         bool

		// startsAbandoned says that there may be placements that are abandoned or former.
		startsAbandoned bool

		// runnerUnknown says that the agent doesn't know its runner, so that it
		// can't renew the leases of the tasks there.
		runnerUnknown bool
		placements    map[work.TaskID]*placement

		// lastApplied is the last result that was applied, lastAcknowledged the
		// last one that is durable.
		lastApplied, lastAcknowledged control.ResultID
		pendingResults                []pendingResult

		// ordersPending says that there are orders that have not been sent to the
		// agent.
		ordersPending bool

		// startsLeft says that the last orders left out starts, so that there are new orders
		// once the agent reports what became of the others.
		startsLeft bool

		// failureStreak is the number of failures since a task last succeeded on
		// the worker. No task starts there before coolDownUntil.
		failureStreak int
		coolDownUntil time.Time

		// pacer decides how far what fills here is slowed down. It is nil unless that fills
		// beside a task that serves.
		pacer *interference.Pacer

		// coldUntil is until when runs that start on a new runner may be slow.
		coldUntil time.Time
	}

	// placement is a run of a task that uses capacity of a worker, or may be using
	// it. reported says that the agent has reported the run, confirmed that the runner has
	// accepted or listed it, orphaned that the run is to be stopped because its task is
	// not placed there.
	placement struct {
		run       work.Run
		request   work.Resources
		reported  bool
		confirmed bool

		// startExpiry is when the run has ended if it was never confirmed, or the zero
		// time if no start of it was ordered or reported. abandoned says that the agent was
		// lost before it was confirmed, former that the agent's process was replaced, so
		// that what the present one says of the run means nothing unless it lists it.
		startExpiry       time.Time
		abandoned, former bool

		// sentSeq is the sequence number of the first orders to the agent's present
		// incarnation that contained the start. It is 0 if there are none.
		sentSeq  control.OrdersSeq
		orphaned bool

		// withdrawn says that the run is to stop only since its start was not reported
		// before its data centre was evacuated.
		withdrawn bool
	}

	// pendingResult is a result that is not durable yet. It becomes
	// durable with the change of its job that has the number change, or at once if
	// job is nil, since the job is not known.
	pendingResult struct {
		id     control.ResultID
		job    *job
		change uint64
	}
)

// sortedWorkers returns the workers in the order of their names.
func (c *Core) sortedWorkers() []*worker {
	workers := make([]*worker, 0, len(c.workers))
	for _, w := range c.workers {
		workers = append(workers, w)
	}
	slices.SortFunc(workers, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	return workers
}

// markOrdersPending records that there are orders that must be sent to the worker's
// agent.
func (w *worker) markOrdersPending() {
	w.ordersPending = true
}

// onStartSettled records that a start has been confirmed, or will not be.
func (w *worker) onStartSettled() {
	if w.startsLeft {
		w.markOrdersPending()
	}
}

// newWorker adds a worker whose hold starts now.
func (c *Core) newWorker(now time.Time, id control.AgentID) *worker {
	w := &worker{id: id, heardAt: now, placements: make(map[work.TaskID]*placement), holdExpiry: now.Add(c.holdTimeout())}
	w.row.key = AgentPrefix + table.Key(id)
	c.workers[id] = w
	return w
}

// hasRow reports whether the table has the agent's row.
func (w *worker) hasRow() bool {
	return w.row.version != table.Absent
}

// mayRun reports whether a task may run on the worker, so that its row must be
// in the table. Nothing is ordered to start on a worker that is draining or whose
// runner is gone, so that its row can be removed when it has no tasks left. A start
// that was ordered before may still be on its way.
func (w *worker) mayRun() bool {
	if w.awaitingReport {
		return true
	}
	closed := w.lost || w.runnerGone || w.runner != nil && w.runner.Draining
	return !closed || len(w.placements) > 0
}

// Report applies an agent's report. It returns false if it ignores the report: one
// that is not newer than the last one applied of the same incarnation, one of an earlier
// incarnation, or one under another epoch. An agent that obeys a former leader may still
// accept its starts after the report. It learns of this epoch from the answer, and
// reports again.
//
// Incarnations are in the order in which this leader first heard from them: to report
// under this epoch, an incarnation must have had an answer of this leader, which so
// heard from it before any later incarnation was started.
func (c *Core) Report(now time.Time, r control.Report) bool {
	w, ok := c.workers[r.Agent]
	if !ok {
		w = c.newWorker(now, r.Agent)
	}
	number, first := w.hear(r.Incarnation)
	switch {
	case r.Epoch != c.epoch:
		if first {
			c.logReport(now, "agent heard", w, r, "")
		}
		return false
	case number < w.joined:
		c.logReport(now, "report ignored", w, r, "of an earlier incarnation")
		return false
	case number == w.joined && r.Seq <= w.reportSeq:
		if r.Seq < w.reportSeq {
			c.logReport(now, "report ignored", w, r, "older than one applied")
		}
		return false
	case number > w.joined:
		c.logReport(now, "agent joined", w, r, "")
		w.startIncarnation(number)
	}
	w.grantFence(number, r.Fence)
	w.reportSeq, w.heardAt = r.Seq, now
	if w.runnerUnknown && r.Runner != nil || w.runnerGone && !r.RunnerGone {
		w.markOrdersPending()
	}
	w.runnerUnknown = r.Runner == nil
	if expiry := now.Add(r.Lease); r.Lease > 0 && expiry.After(w.leaseExpiry) {
		w.leaseExpiry = expiry
	}
	c.noteApplied(now, w, r)
	if w.lost && !w.runnerUnknown && !r.RunnerGone {
		w.lost, w.unapplied = false, 0
		w.markOrdersPending()
		c.log(LogEntry{Event: "worker back", Worker: w.id})
	}
	c.reconcile(now, w, r)
	return true
}

// noteApplied records which orders the agent has applied.
func (c *Core) noteApplied(now time.Time, w *worker, r control.Report) {
	if r.Applied > w.applied && w.unproven {
		w.unproven = false
		c.replan = true
	}
	if r.Applied > w.applied || r.Complete && !w.listComplete {
		w.applied, w.unapplied = r.Applied, 0
		return
	}
	w.countUnapplied(now)
}

// countUnapplied counts a report that does not say that the last orders were applied, if none
// that followed them has been counted. The answers themselves don't count: they may have gone to
// reports that the agent no longer waited for, or been lost during a cut.
func (w *worker) countUnapplied(now time.Time) {
	if w.ordersSeq <= max(w.applied, w.counted) {
		return
	}
	if w.unapplied == 0 {
		w.unappliedSince = now
	}
	w.counted = w.ordersSeq
	w.unapplied++
}

// appliesNothing reports whether the agent has applied none of many orders for so long
// that its tasks are given up: it does not renew their leases.
func (w *worker) appliesNothing(now time.Time) bool {
	return w.unapplied >= maxUnapplied && now.Sub(w.unappliedSince) > orderTimeout
}

// hear returns the number of an incarnation of the agent, and whether this leader
// hears from it for the first time.
func (w *worker) hear(incarnation control.Incarnation) (number int, first bool) {
	if i := slices.Index(w.incarnations, incarnation); i >= 0 {
		return i + 1, false
	}
	fence := uint16(0)
	if len(w.fences) > 0 {
		fence = w.fences[len(w.fences)-1]
	}
	w.incarnations = append(w.incarnations, incarnation)
	w.fences = append(w.fences, min(fence, math.MaxUint16-1)+1)
	return len(w.incarnations), true
}

// grantFence grants the fence that the agent's newest incarnation asks for. Those of earlier ones
// stay below the next one's.
func (w *worker) grantFence(number int, asked uint16) {
	if number == len(w.fences) && asked > w.fences[number-1] {
		w.fences[number-1] = asked
	}
}

// logReport logs what a report led to, with the time since the epoch began.
func (c *Core) logReport(now time.Time, event string, w *worker, r control.Report, outcome string) {
	c.log(LogEntry{
		Event: event, Worker: w.id, Outcome: outcome, EpochAge: now.Sub(c.began), Count: len(r.Tasks),
		ReportEpoch: r.Epoch, ReportSeq: r.Seq, Incarnation: r.Incarnation,
	})
}

// startIncarnation records that the agent was started again. The new process has
// received no orders.
func (w *worker) startIncarnation(number int) {
	w.joined = number
	w.listComplete = false
	w.ordersSeq, w.applied, w.counted, w.unapplied = 0, 0, 0, 0
	for _, p := range w.placements {
		p.sentSeq = 0
		if !p.confirmed && (p.reported || p.abandoned) {
			p.former, w.startsAbandoned = true, true
		}
	}
	w.markOrdersPending()
}

// reconcile brings the leader's state in line with the report.
func (c *Core) reconcile(now time.Time, w *worker, r control.Report) {
	if r.Runner == nil {
		return
	}
	if w.runner == nil || w.runner.ID != r.Runner.ID {
		c.replaceRunner(now, w, r)
	}
	if w.runner == nil || w.runner.Draining != r.Runner.Draining || w.runnerGone != r.RunnerGone {
		c.replan = true
	}
	runner := *r.Runner
	w.runner = &runner
	w.runnerGone = r.RunnerGone
	for _, e := range r.Results {
		c.applyResult(now, w, e)
	}
	for _, refusal := range r.Refusals {
		c.applyRefusal(now, w, refusal)
	}
	if w.listComplete != r.Complete {
		w.listComplete = r.Complete
		c.replan = true
	}
	if !r.RunnerGone {
		w.confirm(r.Tasks)
	}
	if r.Complete {
		c.reconcileTasks(now, w, r)
	}
	if w.runner.Draining && !w.runnerGone {
		c.evacuate(now, w)
	}
}

// replaceRunner handles the first runner of an agent, or another incarnation of its
// runner: the tasks of the former one no longer run.
func (c *Core) replaceRunner(now time.Time, w *worker, r control.Report) {
	if w.runner != nil {
		c.log(LogEntry{Event: "runner replaced", Worker: w.id, Runner: r.Runner.ID, Count: len(w.placements)})
		c.removeAllRuns(now, w)
	}
	w.lastApplied, w.lastAcknowledged, w.pendingResults = 0, 0, nil
	w.failureStreak, w.coolDownUntil = 0, time.Time{}
	w.pacer = nil
	if w.runner != nil || now.Sub(c.began) > coldTime {
		w.coldUntil = now.Add(coldTime)
	}
	c.replan = true
}

// taskIDs returns the tasks placed on the worker, in a fixed order.
func (w *worker) taskIDs() []work.TaskID {
	ids := make([]work.TaskID, 0, len(w.placements))
	for id := range w.placements {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareTasks)
	return ids
}

// compareTasks orders tasks by job, occurrence, step and index.
func compareTasks(a, b work.TaskID) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index),
	)
}
