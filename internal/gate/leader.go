package gate

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// scanLimit is the number of rows that one scan of the table returns.
	scanLimit = 500
)

type (
	// leader schedules the jobs of one region under one lease epoch.
	//
	// At the start it scans the table for live jobs and fences the agents,
	// which report the tasks that they hold. ready is set once the scan is
	// complete; until then all messages are ignored, and senders repeat them.
	// From then on the policy decides which jobs start or are reclaimed, the
	// writer makes the records durable, and the attempt of each job carries out
	// its start and stop.
	//
	// scanAfter is the key after which the scan goes on, startedAt when the
	// leader began, and lastLost when it last gave up an agent. upstreams holds
	// the fenced agents with their workers, and replaced the incarnations that
	// were superseded and are not fenced again. lastFence is the number of the
	// last fence, answeredFences holds the last one that each worker's agent has
	// answered. orphans are the tasks to be stopped that belong to no live attempt;
	// unrecorded are the tasks of former leaders that may belong to an attempt of
	// which the table has no record.
	leader struct {
		gate           *Gate
		epoch          lease.Epoch
		policy         *trackedPolicy
		writer         *writer
		endedJobs      *endedJobIndex
		ready          bool
		scanAfter      table.Key
		scanning       bool
		startedAt      time.Time
		lastLost       time.Time
		upstreams      map[floor.WorkerID]*upstream
		detector       *agentDetector
		replaced       map[agentIncarnation]bool
		lastFence      wire.FenceNumber
		answeredFences map[floor.WorkerID]wire.FenceNumber
		jobs           *orderedMap[job.ID, *jobEntry]
		orphans        map[wire.TaskID]*orphanedTask
		unrecorded     map[job.ID]map[wire.TaskID]*unrecordedTask
	}

	// jobEntry is the leader's state of a job. record is the record as it is to
	// be stored, and version the version of the job's row in the table.
	// onDurable is called once the record as it stands is durable, watchers are
	// the gates to notify of the outcome, and attempt is the live attempt, if
	// any.
	jobEntry struct {
		record    job.Record
		version   table.Version
		onDurable func(now time.Time)
		watchers  []machine.Node
		attempt   *attempt

		// durable reports that the table has the record as it stands, accepted
		// that it has some record of the job, and writeQueued that the record
		// waits to be written.
		durable     bool
		accepted    bool
		writeQueued bool

		// writeIssued reports that a write of the job was issued and was not
		// certainly rejected. writeUncertain reports that the result of a write
		// was unknown at some time, so that it may take effect late; it is
		// never reset.
		writeIssued    bool
		writeUncertain bool

		// callerWaits reports that a caller waits for the outcome, volatile
		// that the job may start without a durable record, admitted that the
		// policy was asked for admission, and dropped that the job was removed
		// before it was accepted. lastSent is when the leader last sent the
		// watchers an outcome that is not durable, or a request to permit a
		// start without a durable record. At the deadline, the gate gives up a
		// job that is not accepted.
		callerWaits bool
		volatile    bool
		admitted    bool
		dropped     bool
		lastSent    time.Time
		deadline    time.Time

		// lastRequested is when a gate last submitted the job while its record
		// was not durable.
		lastRequested time.Time

		// withheld reports that the policy does not know the job, as during a
		// back-off, at least until the time withheldUntil. lastAttempt is the
		// highest attempt number used, abortedStarts counts the attempts in a
		// row that were aborted before any member ran.
		withheld      bool
		withheldUntil time.Time
		lastAttempt   job.Attempt
		abortedStarts int
		endedAt       time.Time
	}
)

func newLeader(g *Gate, epoch lease.Epoch) *leader {
	l := &leader{
		gate:           g,
		epoch:          epoch,
		policy:         &trackedPolicy{Policy: g.config.Policy()},
		upstreams:      make(map[floor.WorkerID]*upstream),
		detector:       newDetector(),
		replaced:       make(map[agentIncarnation]bool),
		answeredFences: make(map[floor.WorkerID]wire.FenceNumber),
		jobs:           newOrderedMap[job.ID, *jobEntry](),
		orphans:        make(map[wire.TaskID]*orphanedTask),
		unrecorded:     make(map[job.ID]map[wire.TaskID]*unrecordedTask),
	}
	l.writer = newWriter(l)
	l.endedJobs = newEndedJobIndex(l)
	return l
}

// recover applies the settings to the policy and begins to read all live jobs
// of the region.
func (l *leader) recover(now time.Time) {
	l.startedAt = now
	l.gate.settings.apply(l.policy)
	l.scan()
}

// scan reads the next rows of live jobs, and sets ready after the last.
func (l *leader) scan() {
	prefix := liveKey(l.gate.config.Region, "")
	l.scanning = true
	l.gate.store.Scan(prefix, l.scanAfter, scanLimit, func(result machine.StoreResult) {
		l.scanning = false
		if l.gate.leader != l {
			return
		}
		if result.Err != nil {
			l.writer.retry.Failed(l.gate.now, operationScan)
			return
		}
		l.writer.retry.Succeeded(operationScan)
		for _, row := range result.Rows {
			l.restore(l.gate.now, row)
		}
		if len(result.Rows) == scanLimit {
			l.scanAfter = result.Rows[scanLimit-1].Key
			l.scan()
			return
		}
		l.ready = true
	})
}

// restore takes over a job from its row. A started job keeps its attempt. An
// idempotent job that the table has as queued is withheld for the adoptionWait,
// since agents may report that it runs.
func (l *leader) restore(now time.Time, row table.Row) {
	var record job.Record
	if json.Unmarshal(row.Value, &record) != nil {
		return
	}
	e := &jobEntry{record: record, version: row.Version, durable: true, accepted: true, admitted: true}
	l.jobs.Put(record.ID, e)
	if record.State == job.StateQueued && record.Spec.Idempotent {
		e.withheld = true
		e.withheldUntil = now.Add(adoptionWait)
		return
	}
	l.policy.Restore(now, policyJob(record), record.Placement)
	if record.State == job.StateStarted {
		e.attempt = newAttempt(record.Attempt, record.Epoch, record.Placement, stepRunning)
		e.record.Begun = true
	}
}

// notifyWatchers sends the watchers the state of a job, if the record is
// durable or may be reported before it is.
func (l *leader) notifyWatchers(e *jobEntry) {
	status := wire.Status{Known: true, Record: e.record, Volatile: !e.durable}
	status.Record.Spec.Input = nil
	if !e.durable && !l.mayReportVolatile(e) {
		return
	}
	for _, node := range e.watchers {
		l.gate.send(node, status)
	}
}

// mayReportVolatile reports whether callers may be sent a record that is not
// durable. The table must be unavailable. Then a completed job may be reported,
// since its agents keep the result; so may a refusal before any write, if no
// other leader can have started the job.
func (l *leader) mayReportVolatile(e *jobEntry) bool {
	if !l.writer.tableUnavailable(l.gate.now) {
		return false
	}
	if e.record.State == job.StateDone {
		return true
	}
	return e.record.State == job.StateRefused && !e.accepted && !e.writeUncertain && l.allHeardSince(e.lastRequested)
}

// receive handles a message from a gate or an agent.
func (l *leader) receive(now time.Time, message machine.Message) {
	if !l.ready {
		return
	}
	switch m := message.Body.(type) {
	case wire.Watch:
		l.handleWatch(message.From, m)
	case wire.Inspect:
		l.handleInspect(now, message.From, m)
	case wire.Cancel:
		l.handleCancel(now, message.From, m)
	case wire.HeldTasks:
		l.handleHeldTasks(now, message.From, m)
	case wire.Reserved:
		l.handleReserved(now, message.From, m)
	case wire.Running:
		l.handleRunning(now, message.From, m)
	case wire.Stopped:
		l.handleStopped(now, message.From, m)
	case wire.Ended:
		l.handleEnded(now, message.From, m)
	case wire.Described:
		l.handleDescribed(now, message.From, m)
	case wire.AcknowledgedOutcomes:
		l.handleAcknowledged(now, m)
	case wire.UnsolicitedStop:
		l.handleUnsolicitedStop(now, message.From, m)
	}
}

// tick resends unanswered messages, detects lost agents, and goes on with jobs
// whose time has come.
func (l *leader) tick(now time.Time) {
	if !l.ready {
		if !l.scanning && l.writer.retry.Ready(now, operationScan) {
			l.scan()
		}
		return
	}
	l.endedJobs.tick(now)
	l.tickWorkers(now)
	l.tickOrphans(now)
	l.tickUnrecorded(now)
	unavailable := l.writer.tableUnavailable(now)
	for e := range l.jobs.All() {
		l.tickJob(now, e, unavailable)
	}
}

// tickJob handles the time-outs and the resends of one job.
func (l *leader) tickJob(now time.Time, e *jobEntry, unavailable bool) {
	if unavailable && !e.durable {
		l.handleTableOutage(now, e)
	}
	switch {
	case e.record.State.Final():
		if e.durable && now.Sub(e.endedAt) > l.gate.config.EndedJobTTL {
			l.jobs.Delete(e.record.ID)
		}
	case e.attempt != nil:
		l.tickAttempt(now, e)
	case !e.admitted && !unavailable:
		l.admit(now, e)
	case e.admitted && e.withheld:
		l.returnToPolicy(now, e)
	case !e.accepted && !e.writeIssued && !e.writeUncertain && !e.volatile && !now.Before(e.deadline):
		l.drop(now, e)
	}
}

// runPolicy carries out the policy's decisions until it makes no more, and
// writes the records that have changed. It runs after every event.
func (l *leader) runPolicy(now time.Time) {
	if !l.ready {
		return
	}
	for l.policy.due(now) && !l.gate.shutdown.begun {
		l.policy.changed = false
		decisions := l.policy.Decide(now)
		for _, decision := range decisions {
			l.carryOut(now, decision)
		}
		if len(decisions) == 0 {
			break
		}
	}
	if wake := l.policy.Wake(); wake.After(now) {
		l.gate.emit(machine.Wake{At: wake})
	}
	l.writer.flush(now)
}

// carryOut carries out one decision of the policy.
func (l *leader) carryOut(now time.Time, decision scheduler.Decision) {
	switch d := decision.(type) {
	case scheduler.Start:
		l.start(now, l.job(d.Job), d.Placement)
	case scheduler.Reclaim:
		l.reclaim(now, l.job(d.Job), d)
	case scheduler.Throttle:
		l.throttle(now, l.job(d.Job), d.Slow)
	}
}

// job returns the entry of a job, or nil if the leader has none.
func (l *leader) job(id job.ID) *jobEntry {
	e, _ := l.jobs.Get(id)
	return e
}

// idle reports whether all records are written, so that the gate can resign
// without losing any.
func (l *leader) idle() bool {
	return l.writer.idle()
}

// sortedUpstreams returns the fenced agents by worker ID, so that runs are
// reproducible.
func (l *leader) sortedUpstreams() []*upstream {
	list := make([]*upstream, 0, len(l.upstreams))
	for _, u := range l.upstreams {
		list = append(list, u)
	}
	slices.SortFunc(list, func(x, y *upstream) int { return cmp.Compare(x.worker.ID, y.worker.ID) })
	return list
}

func (e *jobEntry) addWatcher(node machine.Node) {
	if !slices.Contains(e.watchers, node) {
		e.watchers = append(e.watchers, node)
	}
}

// policyJob returns a job as the policy needs it.
func policyJob(record job.Record) scheduler.Job {
	return scheduler.Job{
		ID:         record.ID,
		Account:    record.Spec.Account,
		Class:      record.Spec.Class,
		Shape:      record.Spec.Shape,
		Checkpoint: record.Spec.Checkpoint,
		Idempotent: record.Spec.Idempotent,
		Expected:   record.Spec.Expected,
		Submitted:  record.Submitted,
	}
}
