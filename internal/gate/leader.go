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
	scanLimit = 500
)

type (
	// leader schedules one region under one epoch.
	leader struct {
		gate     *Gate
		epoch    lease.Epoch
		policy   *tracked
		writer   *writer
		past     *past
		ready    bool
		scanned  table.Key
		scanning bool
		since    time.Time
		lost     time.Time
		workers  map[floor.WorkerID]*upstream
		members  *members
		replaced map[agentLife]bool
		jobs     *roster[job.ID, *entry]
		strays   map[wire.TaskID]*stray
		found    map[job.ID]map[wire.TaskID]*found
	}

	// entry is a job as its leader knows it.
	entry struct {
		record   job.Record
		version  table.Version
		saved    func(now time.Time)
		watchers []machine.Node
		attempt  *attempt

		// durable says that the table has the record as it stands, accepted that
		// it has some record of the job, and queued that the record is to be
		// written.
		durable  bool
		accepted bool
		queued   bool

		// issued says that a write of the job is under way, and doubt that one may
		// take effect that was not confirmed.
		issued bool
		doubt  bool

		// waits says that a caller waits for the end, volatile that the job may
		// start without a durable record, admitted that the policy was asked, and
		// dropped that the job is forgotten.
		waits    bool
		volatile bool
		admitted bool
		dropped  bool
		asked    time.Time
		deadline time.Time

		// confirm is when a gate asked for the job last.
		confirm time.Time

		// parked says that the policy does not know of the job until a time.
		parked bool
		until  time.Time
		tried  job.Attempt
		aborts int
		ended  time.Time
	}
)

func newLeader(g *Gate, epoch lease.Epoch) *leader {
	l := &leader{
		gate:     g,
		epoch:    epoch,
		policy:   &tracked{Policy: g.config.Policy()},
		workers:  make(map[floor.WorkerID]*upstream),
		members:  newMembers(),
		replaced: make(map[agentLife]bool),
		jobs:     newRoster[job.ID, *entry](),
		strays:   make(map[wire.TaskID]*stray),
		found:    make(map[job.ID]map[wire.TaskID]*found),
	}
	l.writer = newWriter(l)
	l.past = newPast(l)
	return l
}

// recover reads all live jobs of the region.
func (l *leader) recover(now time.Time) {
	l.since = now
	l.gate.directory.apply(l.policy)
	l.scan()
}

func (l *leader) scan() {
	prefix := liveKey(l.gate.config.Region, "")
	l.scanning = true
	l.gate.store.Scan(prefix, l.scanned, scanLimit, func(result machine.Stored) {
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
			l.scanned = result.Rows[scanLimit-1].Key
			l.scan()
			return
		}
		l.ready = true
	})
}

func (l *leader) restore(now time.Time, row table.Row) {
	var record job.Record
	if json.Unmarshal(row.Value, &record) != nil {
		return
	}
	e := &entry{record: record, version: row.Version, durable: true, accepted: true, admitted: true}
	l.jobs.Put(record.ID, e)
	if record.State == job.StateQueued && record.Spec.Idempotent {
		e.parked = true
		e.until = now.Add(adoptDelay)
		return
	}
	l.policy.Restore(now, described(record), record.Placement)
	if record.State == job.StateStarted {
		e.attempt = newAttempt(record.Attempt, record.Epoch, record.Placement, stepRunning)
		e.record.Begun = true
	}
}

// report tells the watchers of a job its state once that is durable. The end of a
// job that ran whole is told without, since its agents keep the result.
func (l *leader) report(e *entry) {
	status := wire.Status{Known: true, Record: e.record, Volatile: !e.durable}
	status.Record.Spec.Input = nil
	if !e.durable && !l.tellable(e) {
		return
	}
	for _, node := range e.watchers {
		l.gate.send(node, status)
	}
}

// tellable reports whether callers may be told of a record that is not durable:
// the store is away, and the job is done or was refused before any write.
func (l *leader) tellable(e *entry) bool {
	if !l.writer.stalled(l.gate.now) {
		return false
	}
	if e.record.State == job.StateDone {
		return true
	}
	return e.record.State == job.StateRefused && !e.accepted && !e.doubt && l.heardSince(e.confirm)
}

func (l *leader) receive(now time.Time, message machine.Message) {
	if !l.ready {
		return
	}
	switch m := message.Body.(type) {
	case wire.Watch:
		l.watched(message.From, m)
	case wire.Inspect:
		l.inspect(now, message.From, m)
	case wire.Cancel:
		l.cancel(now, message.From, m)
	case wire.Holding:
		l.holding(now, message.From, m)
	case wire.Reserved:
		l.reserved(now, message.From, m)
	case wire.Running:
		l.running(now, message.From, m)
	case wire.Stopped:
		l.stopped(now, message.From, m)
	case wire.Ended:
		l.memberEnded(now, message.From, m)
	case wire.Described:
		l.described(now, message.From, m)
	case wire.Kept:
		l.kept(now, m)
	case wire.Halted:
		l.halted(now, message.From, m)
	}
}

// tick repeats what was not answered and finds out who is lost.
func (l *leader) tick(now time.Time) {
	if !l.ready {
		if !l.scanning && l.writer.retry.Ready(now, operationScan) {
			l.scan()
		}
		return
	}
	l.past.tick(now)
	l.tickWorkers(now)
	l.tickStrays(now)
	l.tickFound(now)
	stalled := l.writer.stalled(now)
	for e := range l.jobs.All() {
		l.tickEntry(now, e, stalled)
	}
}

func (l *leader) tickEntry(now time.Time, e *entry, stalled bool) {
	if stalled && !e.durable {
		l.bypass(now, e)
	}
	switch {
	case e.record.State.Final():
		if e.durable && now.Sub(e.ended) > l.gate.config.Remember {
			l.jobs.Delete(e.record.ID)
		}
	case e.attempt != nil:
		l.tickAttempt(now, e)
	case !e.admitted && !stalled:
		l.admit(now, e)
	case e.admitted && e.parked:
		l.unpark(now, e)
	case !e.accepted && !e.issued && !e.doubt && !e.volatile && !now.Before(e.deadline):
		l.drop(now, e)
	}
}

// act carries out what the policy decides, and writes what has changed.
func (l *leader) act(now time.Time) {
	if !l.ready {
		return
	}
	for l.policy.due(now) && !l.gate.departure.leaving {
		l.policy.changed = false
		decisions := l.policy.Decide(now)
		for _, decision := range decisions {
			l.carry(now, decision)
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

func (l *leader) carry(now time.Time, decision scheduler.Decision) {
	switch d := decision.(type) {
	case scheduler.Start:
		l.start(now, l.job(d.Job), d.Placement)
	case scheduler.Reclaim:
		l.reclaim(now, l.job(d.Job), d)
	case scheduler.Throttle:
		l.throttle(now, l.job(d.Job), d.Slow)
	}
}

// job returns a job that the policy knows.
func (l *leader) job(id job.ID) *entry {
	e, _ := l.jobs.Get(id)
	return e
}

// idle reports whether nothing is lost if this gate ceases to lead.
func (l *leader) idle() bool {
	return l.writer.idle()
}

func (l *leader) list() []*upstream {
	list := make([]*upstream, 0, len(l.workers))
	for _, u := range l.workers {
		list = append(list, u)
	}
	slices.SortFunc(list, func(x, y *upstream) int { return cmp.Compare(x.worker.ID, y.worker.ID) })
	return list
}

func (e *entry) watch(node machine.Node) {
	if !slices.Contains(e.watchers, node) {
		e.watchers = append(e.watchers, node)
	}
}

func described(record job.Record) scheduler.Job {
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
