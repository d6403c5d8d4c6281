package gate

import (
	"cmp"
	"encoding/json"
	"errors"
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
		gate    *Gate
		epoch   lease.Epoch
		policy  scheduler.Policy
		ready   bool
		since   time.Time
		workers map[floor.WorkerID]*upstream
		jobs    map[job.ID]*entry
	}

	// upstream is an agent as its leader knows it.
	upstream struct {
		node        machine.Node
		worker      floor.Worker
		incarnation wire.Incarnation
		fenced      bool
		leaving     bool
		heard       time.Time
	}

	// entry is a job as its leader knows it.
	entry struct {
		record   job.Record
		version  table.Version
		durable  bool
		writing  bool
		retry    time.Time
		saved    func(now time.Time)
		watchers []machine.Node
		attempt  *attempt
		ended    time.Time
	}
)

func newLeader(g *Gate, epoch lease.Epoch) *leader {
	return &leader{
		gate:    g,
		epoch:   epoch,
		policy:  g.config.Policy(),
		workers: make(map[floor.WorkerID]*upstream),
		jobs:    make(map[job.ID]*entry),
	}
}

// recover reads all live jobs of the region.
func (l *leader) recover(now time.Time) {
	l.since = now
	l.gate.directory.apply(l.policy)
	l.scan(now, "")
}

func (l *leader) scan(now time.Time, after table.Key) {
	prefix := liveKey(l.gate.config.Region, "")
	l.gate.store.Scan(prefix, after, scanLimit, func(result machine.Stored) {
		if l.gate.leader != l {
			return
		}
		if result.Err != nil {
			l.scan(now, after)
			return
		}
		for _, row := range result.Rows {
			l.restore(now, row)
		}
		if len(result.Rows) == scanLimit {
			l.scan(now, result.Rows[scanLimit-1].Key)
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
	e := &entry{record: record, version: row.Version, durable: true}
	l.jobs[record.ID] = e
	l.policy.Restore(now, described(record), record.Placement)
	if record.State == job.StateStarted {
		e.attempt = newAttempt(record.Attempt, record.Epoch, record.Placement, stepRunning)
	}
}

// submit accepts a job or refuses it, and tells the gate that asks.
func (l *leader) submit(now time.Time, from machine.Node, m wire.Submit) {
	if !l.ready {
		return
	}
	if e, ok := l.jobs[m.ID]; ok {
		e.watch(from)
		l.report(e)
		return
	}
	if !l.gate.directory.admits(now, m.Revision) {
		return
	}
	e := &entry{record: job.Record{
		ID:        m.ID,
		Spec:      m.Spec,
		Body:      m.Body,
		State:     job.StateQueued,
		Submitted: now,
	}}
	var refused *scheduler.RefusedError
	err := l.policy.Admit(now, described(e.record))
	if errors.As(err, &refused) && refused.Never && !l.floorKnown(now) {
		return
	}
	e.watch(from)
	l.jobs[m.ID] = e
	if refused != nil {
		e.record.State = job.StateRefused
		e.record.Ran = job.NotRun
		e.record.Reason = refused.Reason
		e.record.Never = refused.Never
		e.record.Ended = now
		e.ended = now
		l.gate.observeEnd(e.record)
	}
	l.save(now, e)
}

// report tells the watchers of a job its state once that is durable.
func (l *leader) report(e *entry) {
	if !e.durable {
		return
	}
	for _, node := range e.watchers {
		l.gate.send(node, wire.Status{Known: true, Record: e.record})
	}
}

func (l *leader) receive(now time.Time, message machine.Message) {
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
	case wire.Halted:
		l.halted(now, message.From, m)
	}
}

func (l *leader) watched(from machine.Node, m wire.Watch) {
	if !l.ready {
		return
	}
	for _, id := range m.Jobs {
		e, ok := l.jobs[id]
		if !ok {
			l.gate.send(from, wire.Status{Record: job.Record{ID: id}})
			continue
		}
		e.watch(from)
		l.report(e)
	}
}

func (l *leader) cancel(now time.Time, from machine.Node, m wire.Cancel) {
	if !l.ready {
		return
	}
	e, ok := l.jobs[m.ID]
	if !ok || e.record.Spec.Account != m.Account {
		l.gate.send(from, wire.Status{Record: job.Record{ID: m.ID}})
		return
	}
	e.watch(from)
	switch {
	case e.record.State.Final():
		l.report(e)
	case e.attempt != nil:
		e.attempt.cancel = true
		l.abort(now, e, "cancelled by its caller")
	default:
		l.finish(now, e, job.StateCancelled, job.NotRun, "cancelled by its caller")
	}
}

// tick repeats what was not answered and finds out who is lost.
func (l *leader) tick(now time.Time) {
	if !l.ready {
		return
	}
	for _, u := range l.list() {
		if now.Sub(u.heard) > l.gate.config.AgentTimeout {
			l.lose(now, u)
		}
	}
	if now.Sub(l.since) > l.gate.config.AgentTimeout {
		l.loseAbsent(now)
	}
	for _, e := range l.entries() {
		l.tickEntry(now, e)
	}
}

func (l *leader) tickEntry(now time.Time, e *entry) {
	switch {
	case !e.durable && !e.writing && !now.Before(e.retry):
		l.save(now, e)
	case e.attempt != nil:
		l.tickAttempt(now, e)
	case e.durable && !e.ended.IsZero() && now.Sub(e.ended) > l.gate.config.Remember:
		delete(l.jobs, e.record.ID)
	}
}

// decide carries out what the policy decides.
func (l *leader) decide(now time.Time) {
	if !l.ready {
		return
	}
	for _, decision := range l.policy.Decide(now) {
		switch d := decision.(type) {
		case scheduler.Start:
			l.start(now, l.jobs[d.Job], d.Placement)
		case scheduler.Reclaim:
			l.abort(now, l.jobs[d.Job], "reclaimed")
		}
	}
}

func (l *leader) list() []*upstream {
	list := make([]*upstream, 0, len(l.workers))
	for _, u := range l.workers {
		list = append(list, u)
	}
	slices.SortFunc(list, func(x, y *upstream) int { return cmp.Compare(x.worker.ID, y.worker.ID) })
	return list
}

func (l *leader) entries() []*entry {
	list := make([]*entry, 0, len(l.jobs))
	for _, e := range l.jobs {
		list = append(list, e)
	}
	slices.SortFunc(list, func(x, y *entry) int { return cmp.Compare(x.record.ID, y.record.ID) })
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
