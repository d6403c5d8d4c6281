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

// adoptionWait is the time for which a new leader withholds idempotent jobs
// that the table has as queued: a former leader may have started them without a
// durable record. In this time the agents report the tasks that they hold.
const adoptionWait = 6 * time.Second

// unrecordedTask is a task of a former leader's attempt of which the table has
// no record. It is kept until all members of the attempt are reported, or until
// the AgentTimeout has passed.
type unrecordedTask struct {
	worker  floor.WorkerID
	state   wire.TaskState
	foundAt time.Time
	askedAt time.Time
}

// addUnrecorded keeps a task that may belong to an attempt of a former leader.
func (l *leader) addUnrecorded(u *upstream, t wire.TaskState) {
	tasks, ok := l.unrecorded[t.Task.Job]
	if !ok {
		tasks = make(map[wire.TaskID]*unrecordedTask)
		l.unrecorded[t.Task.Job] = tasks
	}
	tasks[t.Task] = &unrecordedTask{worker: u.worker.ID, state: t, foundAt: l.gate.now}
	if e, ok := l.jobs.Get(t.Task.Job); ok {
		l.withholdUnrecorded(l.gate.now, e)
	}
}

// withholdUnrecorded keeps a job from a start while it has unrecorded tasks, with
// which it may go on or have ended.
func (l *leader) withholdUnrecorded(now time.Time, e *jobEntry) {
	_, held := l.unrecorded[e.record.ID]
	if held && e.admitted && e.attempt == nil && !e.record.State.Final() {
		l.withhold(now, e, now.Add(adoptionWait))
	}
}

// setUnrecordedResult sets the result of an unrecorded task. It returns false
// if there is no such task.
func (l *leader) setUnrecordedResult(m wire.Ended) bool {
	t, ok := l.unrecorded[m.Task.Job][m.Task]
	if ok {
		t.state.Phase = wire.PhaseEnded
		t.state.Result = &m.Result
	}
	return ok
}

// tickUnrecorded resolves the unrecorded tasks of all jobs.
func (l *leader) tickUnrecorded(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(l.unrecorded)) {
		l.resolveUnrecorded(now, id, l.unrecorded[id])
	}
}

// resolveUnrecorded decides what is done with the unrecorded tasks of a job:
// they are resumed as an attempt, stopped, or acknowledged, or the agents are
// asked for a job that the leader does not know.
func (l *leader) resolveUnrecorded(now time.Time, id job.ID, tasks map[wire.TaskID]*unrecordedTask) {
	e, known := l.jobs.Get(id)
	_, ended := l.endedJobs.byID[id]
	switch {
	case ended, known && e.record.State.Final() && e.durable:
		l.discardUnrecorded(id, tasks, true)
	case known && e.record.State.Final():
	case known && (e.attempt != nil || !e.record.Spec.Idempotent):
		l.discardUnrecorded(id, tasks, false)
	case known && l.resumeAttempt(now, e, tasks):
		delete(l.unrecorded, id)
	case !known && l.endedJobs.complete:
		l.requestDescription(now, tasks)
	}
	for _, t := range tasks {
		if now.Sub(t.foundAt) > l.gate.config.AgentTimeout {
			l.discardUnrecorded(id, tasks, false)
			return
		}
	}
}

// discardUnrecorded stops the unrecorded tasks of a job or, with durable set
// because its outcome is durable, acknowledges their results.
func (l *leader) discardUnrecorded(id job.ID, tasks map[wire.TaskID]*unrecordedTask, durable bool) {
	delete(l.unrecorded, id)
	for _, task := range slices.SortedFunc(maps.Keys(tasks), compareTasks) {
		t := tasks[task]
		u, ok := l.upstreams[t.worker]
		switch {
		case !ok:
		case durable && t.state.Phase == wire.PhaseEnded:
			l.sendOutcomeDurable(u, task)
		default:
			l.addOrphan(u, task)
		}
	}
}

// resumeAttempt adopts the newest attempt of which all members were reported,
// and stops the tasks of others. It returns false if no attempt is complete.
func (l *leader) resumeAttempt(now time.Time, e *jobEntry, tasks map[wire.TaskID]*unrecordedTask) bool {
	e.record.Begun = true
	ids := slices.SortedFunc(maps.Keys(tasks), compareTasks)
	size := e.record.Spec.Shape.Workers
	for i := len(ids) - size; i >= 0; i-- {
		group := ids[i : i+size]
		first, last := group[0], group[size-1]
		complete := first.Epoch == last.Epoch && first.Attempt == last.Attempt && first.Rank == 0 && int(last.Rank) == size-1
		if !complete {
			continue
		}
		l.adoptAttempt(now, e, group, tasks)
		for _, id := range slices.Concat(ids[:i], ids[i+size:]) {
			if u, ok := l.upstreams[tasks[id].worker]; ok {
				l.addOrphan(u, id)
			}
		}
		return true
	}
	return false
}

// adoptAttempt makes reported tasks the running attempt of a job, and writes
// its record.
func (l *leader) adoptAttempt(now time.Time, e *jobEntry, group []wire.TaskID, tasks map[wire.TaskID]*unrecordedTask) {
	var placement floor.Placement
	for _, id := range group {
		placement = append(placement, tasks[id].state.Share)
	}
	a := newAttempt(group[0].Attempt, group[0].Epoch, placement, stepRunning)
	for rank, id := range group {
		a.members[rank].result = tasks[id].state.Result
		a.members[rank].reserved = true
	}
	l.withhold(now, e, now)
	e.withheld = false
	l.policy.Restore(now, policyJob(e.record), placement)
	e.attempt = a
	e.lastAttempt = max(e.lastAttempt, a.number)
	e.record.State = job.StateStarted
	e.record.Attempt = a.number
	e.record.Epoch = a.epoch
	e.record.Placement = placement
	e.record.Started = now
	l.save(e)
	l.sendRuns(now, e)
	l.checkResults(now, e)
}

// requestDescription asks one agent at a time for the specification of a job
// that the leader does not know.
func (l *leader) requestDescription(now time.Time, tasks map[wire.TaskID]*unrecordedTask) {
	for _, id := range slices.SortedFunc(maps.Keys(tasks), compareTasks) {
		t := tasks[id]
		u, ok := l.upstreams[t.worker]
		if !ok || now.Sub(t.askedAt) < l.gate.config.ResendInterval {
			continue
		}
		t.askedAt = now
		l.gate.send(u.node, wire.Describe{Order: l.orderFor(u), Task: id})
		return
	}
}

// handleDescribed adds an idempotent job that only agents know of.
func (l *leader) handleDescribed(now time.Time, from machine.Node, m wire.Described) {
	_, wanted := l.unrecorded[m.Task.Job]
	_, known := l.jobs.Get(m.Task.Job)
	if !wanted || known || l.upstreamAt(from) == nil || !m.Spec.Idempotent {
		return
	}
	e := &jobEntry{
		record: job.Record{
			ID:         m.Task.Job,
			Spec:       m.Spec,
			BodyDigest: m.BodyDigest,
			State:      job.StateQueued,
			Begun:      true,
			Submitted:  now,
		},
		admitted:      true,
		withheld:      true,
		withheldUntil: now.Add(adoptionWait),
	}
	l.jobs.Put(e.record.ID, e)
	l.save(e)
	l.resolveUnrecorded(now, e.record.ID, l.unrecorded[e.record.ID])
}
