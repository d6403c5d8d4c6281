package gate

import (
	"maps"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// adoptDelay is the time for which a new leader keeps idempotent jobs waiting
// that the table has as queued: a former leader may have started them without a
// durable record, and the agents that hold them tell.
const adoptDelay = 6 * time.Second

// found is a task of a former leader's attempt that the table does not know. It
// is kept until all members of the attempt are found, or given up.
type found struct {
	worker floor.WorkerID
	state  wire.TaskState
	since  time.Time
	asked  time.Time
}

// find keeps a task that may belong to an attempt of a former leader.
func (l *leader) find(u *upstream, t wire.TaskState) {
	tasks, ok := l.found[t.Task.Job]
	if !ok {
		tasks = make(map[wire.TaskID]*found)
		l.found[t.Task.Job] = tasks
	}
	tasks[t.Task] = &found{worker: u.worker.ID, state: t, since: l.gate.now}
}

// foundEnded takes the result of a task that is kept. It returns false if none
// is.
func (l *leader) foundEnded(m wire.Ended) bool {
	f, ok := l.found[m.Task.Job][m.Task]
	if ok {
		f.state.Phase = wire.PhaseEnded
		f.state.Result = &m.Result
	}
	return ok
}

func (l *leader) tickFound(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(l.found)) {
		l.judge(now, id, l.found[id])
	}
}

// judge decides what becomes of the tasks that were found of a job.
func (l *leader) judge(now time.Time, id job.ID, tasks map[wire.TaskID]*found) {
	e, known := l.jobs.Get(id)
	_, past := l.past.known[id]
	switch {
	case past, known && e.record.State.Final() && e.durable:
		l.letGo(id, tasks, true)
	case known && e.record.State.Final():
	case known && (e.attempt != nil || !e.record.Spec.Idempotent):
		l.letGo(id, tasks, false)
	case known && l.resume(now, e, tasks):
		delete(l.found, id)
	case !known && l.past.whole:
		l.ask(now, tasks)
	}
	for _, f := range tasks {
		if now.Sub(f.since) > l.gate.config.AgentTimeout {
			l.letGo(id, tasks, false)
			return
		}
	}
}

// letGo stops tasks of no use, or lets their agents forget them if the job has
// ended durably.
func (l *leader) letGo(id job.ID, tasks map[wire.TaskID]*found, settled bool) {
	delete(l.found, id)
	for _, task := range slices.SortedFunc(maps.Keys(tasks), compareTasks) {
		f := tasks[task]
		u, ok := l.workers[f.worker]
		switch {
		case !ok:
		case settled && f.state.Phase == wire.PhaseEnded:
			l.sendSettled(u, task)
		default:
			l.strayTask(u, task)
		}
	}
}

// resume takes over the newest attempt of which all members were found.
func (l *leader) resume(now time.Time, e *entry, tasks map[wire.TaskID]*found) bool {
	e.record.Begun = true
	ids := slices.SortedFunc(maps.Keys(tasks), compareTasks)
	size := e.record.Spec.Shape.Workers
	for i := len(ids) - size; i >= 0; i-- {
		group := ids[i : i+size]
		first, last := group[0], group[size-1]
		whole := first.Epoch == last.Epoch && first.Attempt == last.Attempt && first.Rank == 0 && int(last.Rank) == size-1
		if !whole {
			continue
		}
		l.continueAttempt(now, e, group, tasks)
		for _, id := range slices.Concat(ids[:i], ids[i+size:]) {
			if u, ok := l.workers[tasks[id].worker]; ok {
				l.strayTask(u, id)
			}
		}
		return true
	}
	return false
}

func (l *leader) continueAttempt(now time.Time, e *entry, group []wire.TaskID, tasks map[wire.TaskID]*found) {
	var placement floor.Placement
	for _, id := range group {
		placement = append(placement, tasks[id].state.Share)
	}
	a := newAttempt(group[0].Attempt, group[0].Epoch, placement, stepRunning)
	for rank, id := range group {
		a.members[rank].result = tasks[id].state.Result
		a.members[rank].reserved = true
	}
	l.park(now, e, now)
	e.parked = false
	l.policy.Restore(now, described(e.record), placement)
	e.attempt = a
	e.tried = max(e.tried, a.number)
	e.record.State = job.StateStarted
	e.record.Attempt = a.number
	e.record.Epoch = a.epoch
	e.record.Placement = placement
	e.record.Started = now
	l.save(e)
	l.sendRuns(now, e)
	l.checkResults(now, e)
}

// ask asks an agent for the job of a task.
func (l *leader) ask(now time.Time, tasks map[wire.TaskID]*found) {
	for _, id := range slices.SortedFunc(maps.Keys(tasks), compareTasks) {
		f := tasks[id]
		u, ok := l.workers[f.worker]
		if !ok || now.Sub(f.asked) < l.gate.config.Resend {
			continue
		}
		f.asked = now
		l.gate.send(u.node, wire.Describe{Order: l.orderFor(u), Task: id})
		return
	}
}

// described takes a job over that only agents know of.
func (l *leader) described(now time.Time, from machine.Node, m wire.Described) {
	_, wanted := l.found[m.Task.Job]
	_, known := l.jobs.Get(m.Task.Job)
	if !wanted || known || l.at(from) == nil || !m.Spec.Idempotent {
		return
	}
	e := &entry{
		record: job.Record{
			ID:        m.Task.Job,
			Spec:      m.Spec,
			Body:      m.Body,
			State:     job.StateQueued,
			Begun:     true,
			Submitted: now,
		},
		admitted: true,
		parked:   true,
		until:    now.Add(adoptDelay),
	}
	l.jobs.Put(e.record.ID, e)
	l.save(e)
	l.judge(now, e.record.ID, l.found[e.record.ID])
}
