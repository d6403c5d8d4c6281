package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/gang"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

type (
	// task is a task that the agent has reserved, runs, or whose end the leader
	// has not acknowledged.
	task struct {
		id         wire.TaskID
		share      floor.Allocation
		spec       job.Spec
		bodyDigest job.Digest
		peers      []machine.Node

		// member monitors the task's neighbours in the ring of its gang. It is nil
		// for a single task.
		member *gang.Member[machine.Node]
		phase  wire.Phase

		// result is that of an ended task, reason why a task stopped without an
		// order.
		result *wire.Result
		reason string

		// nextResend is when the end of the task is sent to the leader again, and
		// resendDelay the current delay.
		nextResend  time.Time
		resendDelay time.Duration

		// stopSent says that the runner was told to stop the task within
		// stopGrace, and stopOrdered that the leader wants it.
		stopSent    bool
		stopOrdered bool
		stopGrace   time.Duration

		// nextInquiry is when the table is asked for the task, and inquiryDelay the
		// current delay.
		nextInquiry  time.Time
		inquiryDelay time.Duration
	}

	// tombstone marks a task that must not start any more. ran says that it had
	// been started, at is when it was stopped or forgotten.
	tombstone struct {
		at  time.Time
		ran bool
	}
)

// newTask adds a reserved task.
func (a *Agent) newTask(now time.Time, id wire.TaskID, share floor.Allocation, peers []machine.Node) *task {
	t := &task{id: id, share: share, peers: peers, phase: wire.PhaseReserved}
	if len(peers) > 1 && int(id.Rank) < len(peers) {
		t.member = gang.NewMember(peers, gang.Rank(id.Rank), a.config.Gang...)
	}
	a.tasks[id] = t
	a.resetInquiry(now, t)
	return t
}

// start starts a reserved task: after the leader's order, once another member of
// its gang runs, or when the table shows that its attempt has started.
func (a *Agent) start(now time.Time, t *task) {
	if t.phase != wire.PhaseReserved {
		return
	}
	if a.drainGraceOver(now) {
		a.withdraw(now, t, "the upstream is leaving")
		return
	}
	t.phase = wire.PhaseRunning
	a.emit(RunTask{Task: t.id, Share: t.share, Spec: t.spec, Peers: t.peers})
	if t.member != nil {
		a.applyActions(now, t, t.member.Start(now))
	}
}

// withdraw releases a reservation and notifies its gang and the leader.
func (a *Agent) withdraw(now time.Time, t *task, reason string) {
	a.forget(now, t)
	if t.member != nil {
		a.applyActions(now, t, t.member.Halt())
	}
	a.send(a.leader, wire.UnsolicitedStop{Epoch: a.epoch, Task: t.id, Reason: reason})
}

// stopAtRunner has the runner stop a task. A later call can only shorten the grace
// period.
func (a *Agent) stopAtRunner(t *task, checkpoint bool, grace time.Duration) {
	if t.stopSent && grace >= t.stopGrace {
		return
	}
	t.stopSent, t.stopGrace = true, grace
	a.emit(StopTask{Task: t.id, Checkpoint: checkpoint, Grace: grace})
}

// taskEnded records the result of a task and sends it to the leader. A task that the
// leader has ordered to stop counts as stopped instead.
func (a *Agent) taskEnded(now time.Time, e TaskEnded) {
	t, ok := a.tasks[e.Task]
	if !ok || t.phase != wire.PhaseRunning {
		return
	}
	if t.stopOrdered {
		a.taskStopped(now, TaskStopped{Task: e.Task})
		return
	}
	t.phase = wire.PhaseEnded
	t.result = &e.Result
	if t.member != nil {
		t.member.End()
	}
	a.resetInquiry(now, t)
	a.sendEnded(now, t)
}

// taskStopped answers the leader's order to stop a task, or tells the leader that the
// task has stopped without an order.
func (a *Agent) taskStopped(now time.Time, e TaskStopped) {
	t, ok := a.tasks[e.Task]
	if !ok || t.phase != wire.PhaseRunning {
		return
	}
	if t.stopOrdered {
		a.forget(now, t)
		a.send(a.leader, wire.Stopped{Epoch: a.epoch, Task: t.id, Ran: true})
	} else {
		t.phase = wire.PhaseStopped
		t.reason = cmp.Or(t.reason, e.Reason)
		a.resetInquiry(now, t)
		a.sendUnsolicitedStop(now, t)
	}
	if t.member != nil {
		a.applyActions(now, t, t.member.Halt())
	}
}

func (a *Agent) sendEnded(now time.Time, t *task) {
	a.delayResend(now, t)
	a.send(a.leader, wire.Ended{Epoch: a.epoch, Task: t.id, Result: *t.result})
}

func (a *Agent) sendUnsolicitedStop(now time.Time, t *task) {
	a.delayResend(now, t)
	a.send(a.leader, wire.UnsolicitedStop{Epoch: a.epoch, Task: t.id, Ran: true, Reason: t.reason})
}

func (a *Agent) delayResend(now time.Time, t *task) {
	t.resendDelay = min(max(2*t.resendDelay, a.config.ResendInterval), MaxResendInterval)
	t.nextResend = now.Add(t.resendDelay)
}

// forget removes a task and leaves a tombstone. The runner is to remove its record of a
// task that has ended or stopped.
func (a *Agent) forget(now time.Time, t *task) {
	delete(a.tasks, t.id)
	a.tombstones[t.id] = tombstone{at: now, ran: t.phase != wire.PhaseReserved}
	if t.phase == wire.PhaseEnded || t.phase == wire.PhaseStopped {
		a.emit(ForgetTask{Task: t.id})
	}
}

// sortedTasks returns the tasks in a fixed order.
func sortedTasks(tasks map[wire.TaskID]*task) []*task {
	list := make([]*task, 0, len(tasks))
	for _, t := range tasks {
		list = append(list, t)
	}
	slices.SortFunc(list, func(x, y *task) int {
		return cmp.Or(
			cmp.Compare(x.id.Job, y.id.Job),
			cmp.Compare(x.id.Attempt, y.id.Attempt),
			cmp.Compare(x.id.Rank, y.id.Rank),
			cmp.Compare(x.id.Epoch, y.id.Epoch),
		)
	})
	return list
}
