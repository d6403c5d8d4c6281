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
	task struct {
		id      wire.TaskID
		share   floor.Share
		spec    job.Spec
		body    job.Digest
		peers   []machine.Node
		member  *gang.Member[machine.Node]
		phase   wire.Phase
		result  *wire.Result
		reason  string
		resend  time.Time
		backoff time.Duration
		stop    bool
		ordered bool
		grace   time.Duration
		inquiry time.Time
		wait    time.Duration
	}

	// tombstone keeps a task from being started once it was stopped.
	tombstone struct {
		at  time.Time
		ran bool
	}
)

func (a *Agent) newTask(now time.Time, id wire.TaskID, share floor.Share, peers []machine.Node) *task {
	t := &task{id: id, share: share, peers: peers, phase: wire.PhaseReserved}
	if len(peers) > 1 && int(id.Rank) < len(peers) {
		t.member = gang.NewMember(peers, gang.Rank(id.Rank), a.config.Gang...)
	}
	a.tasks[id] = t
	a.heardOf(now, t)
	return t
}

// begin starts a task whose gang has started.
func (a *Agent) begin(now time.Time, t *task) {
	if t.phase != wire.PhaseReserved {
		return
	}
	if a.closed(now) {
		a.withdraw(now, t, "the upstream is leaving")
		return
	}
	t.phase = wire.PhaseRunning
	a.emit(RunTask{Task: t.id, Share: t.share, Spec: t.spec, Peers: t.peers})
	if t.member != nil {
		a.carry(now, t, t.member.Start(now))
	}
}

// withdraw releases a reservation and tells its gang and the leader.
func (a *Agent) withdraw(now time.Time, t *task, reason string) {
	a.forget(now, t)
	if t.member != nil {
		a.carry(now, t, t.member.Halt())
	}
	a.send(a.leader, wire.Halted{Epoch: a.epoch, Task: t.id, Reason: reason})
}

// stopRunner stops a task at the runner. A later call shortens the grace.
func (a *Agent) stopRunner(t *task, checkpoint bool, grace time.Duration) {
	if t.stop && grace >= t.grace {
		return
	}
	t.stop, t.grace = true, grace
	a.emit(StopTask{Task: t.id, Checkpoint: checkpoint, Grace: grace})
}

func (a *Agent) taskEnded(now time.Time, e TaskEnded) {
	t, ok := a.tasks[e.Task]
	if !ok || t.phase != wire.PhaseRunning {
		return
	}
	if t.ordered {
		a.taskStopped(now, TaskStopped{Task: e.Task})
		return
	}
	t.phase = wire.PhaseEnded
	t.result = &e.Result
	if t.member != nil {
		t.member.End()
	}
	a.heardOf(now, t)
	a.sendEnded(now, t)
}

func (a *Agent) taskStopped(now time.Time, e TaskStopped) {
	t, ok := a.tasks[e.Task]
	if !ok || t.phase != wire.PhaseRunning {
		return
	}
	if t.ordered {
		a.forget(now, t)
		a.send(a.leader, wire.Stopped{Epoch: a.epoch, Task: t.id, Ran: true})
	} else {
		t.phase = wire.PhaseStopped
		t.reason = cmp.Or(t.reason, e.Reason)
		a.heardOf(now, t)
		a.sendHalted(now, t)
	}
	if t.member != nil {
		a.carry(now, t, t.member.Halt())
	}
}

func (a *Agent) sendEnded(now time.Time, t *task) {
	a.delayResend(now, t)
	a.send(a.leader, wire.Ended{Epoch: a.epoch, Task: t.id, Result: *t.result})
}

func (a *Agent) sendHalted(now time.Time, t *task) {
	a.delayResend(now, t)
	a.send(a.leader, wire.Halted{Epoch: a.epoch, Task: t.id, Ran: true, Reason: t.reason})
}

func (a *Agent) delayResend(now time.Time, t *task) {
	t.backoff = min(max(2*t.backoff, a.config.Resend), MaxResend)
	t.resend = now.Add(t.backoff)
}

func (a *Agent) forget(now time.Time, t *task) {
	delete(a.tasks, t.id)
	a.stopped[t.id] = tombstone{at: now, ran: t.phase != wire.PhaseReserved}
	if t.phase == wire.PhaseEnded || t.phase == wire.PhaseStopped {
		a.emit(ForgetTask{Task: t.id})
	}
}

// sorted returns the tasks in a fixed order.
func sorted(tasks map[wire.TaskID]*task) []*task {
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
