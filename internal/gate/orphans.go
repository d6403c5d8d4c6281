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

// orphanedTask is a task at an agent that belongs to no live attempt. The agent
// is ordered to stop it until it confirms that.
type orphanedTask struct {
	worker   floor.WorkerID
	resendAt time.Time
}

// handleUnexpectedTask decides what is done with a reported task that belongs
// to no live attempt.
func (l *leader) handleUnexpectedTask(u *upstream, t wire.TaskState) {
	if e, ok := l.jobs.Get(t.Task.Job); ok && t.Phase != wire.PhaseReserved && !e.record.State.Final() {
		e.record.Begun = true
	}
	if t.Task.Epoch < l.epoch && (t.Phase == wire.PhaseRunning || t.Phase == wire.PhaseEnded) {
		l.addUnrecorded(u, t)
		return
	}
	if t.Phase == wire.PhaseEnded && t.Result != nil {
		l.handleUnexpectedResult(u.node, wire.Ended{Task: t.Task, Result: *t.Result})
		return
	}
	l.addOrphan(u, t.Task)
}

// handleUnexpectedResult lets an agent discard a result that is not needed: its
// job has a durable outcome or runs in another attempt. A result is kept while
// its job may still need it.
func (l *leader) handleUnexpectedResult(from machine.Node, m wire.Ended) {
	u := l.upstreamAt(from)
	if u == nil || l.setUnrecordedResult(m) {
		return
	}
	e, ok := l.jobs.Get(m.Task.Job)
	_, ended := l.endedJobs.byID[m.Task.Job]
	switch {
	case ended, ok && e.record.State.Final() && e.durable:
		l.sendOutcomeDurable(u, m.Task)
	case ok && e.record.State.Final():
	case ok, l.endedJobs.complete:
		l.addOrphan(u, m.Task)
	}
}

// sendOutcomeDurable lets an agent discard a task whose job has a durable outcome.
func (l *leader) sendOutcomeDurable(u *upstream, id wire.TaskID) {
	l.gate.send(u.node, wire.OutcomeDurable{Order: l.orderFor(u), Task: id})
}

// addOrphans makes all members of an attempt orphans.
func (l *leader) addOrphans(e *jobEntry, a *attempt) {
	for rank, m := range a.members {
		if u, ok := l.upstreams[m.share.Worker]; ok {
			l.addOrphan(u, a.task(e, rank))
		}
	}
}

// addOrphan makes a task an orphan, which tickOrphans stops.
func (l *leader) addOrphan(u *upstream, id wire.TaskID) {
	if _, ok := l.orphans[id]; !ok {
		l.orphans[id] = &orphanedTask{worker: u.worker.ID}
	}
}

// tickOrphans sends the orders to stop orphaned tasks.
func (l *leader) tickOrphans(now time.Time) {
	ids := make([]wire.TaskID, 0, len(l.orphans))
	for id, o := range l.orphans {
		if !now.Before(o.resendAt) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, compareTasks)
	for _, id := range ids {
		o := l.orphans[id]
		u, ok := l.upstreams[o.worker]
		if !ok {
			delete(l.orphans, id)
			continue
		}
		o.resendAt = now.Add(l.gate.config.ResendInterval)
		l.gate.send(u.node, wire.Stop{Order: l.orderFor(u), Task: id})
	}
}

// forgetAgentTasks removes the orphaned and unrecorded tasks of an agent that
// is lost or reports all its tasks anew.
func (l *leader) forgetAgentTasks(u *upstream) {
	for id, o := range l.orphans {
		if o.worker == u.worker.ID {
			delete(l.orphans, id)
		}
	}
	for id, tasks := range l.unrecorded {
		maps.DeleteFunc(tasks, func(_ wire.TaskID, t *unrecordedTask) bool { return t.worker == u.worker.ID })
		if len(tasks) == 0 {
			delete(l.unrecorded, id)
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
