package gate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// stray is a task that an agent holds and that belongs to no live attempt. It is
// stopped until the agent says that it does not run.
type stray struct {
	worker floor.WorkerID
	resend time.Time
}

// takeStray decides what becomes of a task of no live attempt.
func (l *leader) takeStray(u *upstream, t wire.TaskState) {
	if e, ok := l.jobs.Get(t.Task.Job); ok && t.Phase != wire.PhaseReserved && !e.record.State.Final() {
		e.record.Begun = true
	}
	if t.Task.Epoch < l.epoch && (t.Phase == wire.PhaseRunning || t.Phase == wire.PhaseEnded) {
		l.find(u, t)
		return
	}
	if t.Phase == wire.PhaseEnded && t.Result != nil {
		l.endedStray(u.node, wire.Ended{Task: t.Task, Result: *t.Result})
		return
	}
	l.strayTask(u, t.Task)
}

// endedStray lets an agent forget a result that is of no use: its job has ended
// durably, or runs in another attempt.
func (l *leader) endedStray(from machine.Node, m wire.Ended) {
	u := l.at(from)
	if u == nil || l.foundEnded(m) {
		return
	}
	e, ok := l.jobs.Get(m.Task.Job)
	_, past := l.past.known[m.Task.Job]
	switch {
	case past, ok && e.record.State.Final() && e.durable:
		l.sendSettled(u, m.Task)
	case ok && e.record.State.Final():
	case ok, l.past.whole:
		l.strayTask(u, m.Task)
	}
}

func (l *leader) sendSettled(u *upstream, id wire.TaskID) {
	l.gate.send(u.node, wire.Settled{Order: l.orderFor(u), Task: id})
}

// strayAll makes strays of all members of an attempt.
func (l *leader) strayAll(e *entry, a *attempt) {
	for rank, m := range a.members {
		if u, ok := l.workers[m.share.Worker]; ok {
			l.strayTask(u, a.task(e, rank))
		}
	}
}

func (l *leader) strayTask(u *upstream, id wire.TaskID) {
	if _, ok := l.strays[id]; !ok {
		l.strays[id] = &stray{worker: u.worker.ID}
	}
}

// tickStrays repeats the orders to stop strays.
func (l *leader) tickStrays(now time.Time) {
	ids := make([]wire.TaskID, 0, len(l.strays))
	for id, s := range l.strays {
		if !now.Before(s.resend) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, compareTasks)
	for _, id := range ids {
		s := l.strays[id]
		u, ok := l.workers[s.worker]
		if !ok {
			delete(l.strays, id)
			continue
		}
		s.resend = now.Add(l.gate.config.Resend)
		l.gate.send(u.node, wire.Stop{Order: l.orderFor(u), Task: id})
	}
}

func (l *leader) dropStrays(u *upstream) {
	for id, s := range l.strays {
		if s.worker == u.worker.ID {
			delete(l.strays, id)
		}
	}
	for id, tasks := range l.found {
		maps.DeleteFunc(tasks, func(_ wire.TaskID, f *found) bool { return f.worker == u.worker.ID })
		if len(tasks) == 0 {
			delete(l.found, id)
		}
	}
}

func compareTasks(x, y wire.TaskID) int {
	return cmp.Or(
		cmp.Compare(x.Job, y.Job),
		cmp.Compare(x.Epoch, y.Epoch),
		cmp.Compare(x.Attempt, y.Attempt),
		cmp.Compare(x.Rank, y.Rank),
	)
}
