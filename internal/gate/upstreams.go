package gate

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// announced takes note that an agent is there, and fences one that is new.
func (l *leader) announced(now time.Time, from machine.Node, m wire.Announce) {
	u, ok := l.workers[m.Worker.ID]
	if ok && u.node != from {
		l.lose(now, u)
		ok = false
	}
	if ok && u.incarnation != m.Incarnation {
		l.restarted(u, m.Incarnation)
	}
	if !ok {
		u = &upstream{node: from, worker: m.Worker, incarnation: m.Incarnation}
		l.workers[m.Worker.ID] = u
	}
	u.heard = now
	if !u.fenced || m.Epoch < l.epoch {
		if m.Revision <= l.gate.directory.revision() {
			l.gate.send(from, wire.Fence{Epoch: l.epoch, Revision: l.gate.directory.revision()})
		}
		return
	}
	if m.Leaving && !u.leaving {
		u.leaving = true
		l.policy.DrainWorker(u.worker.ID)
		l.gate.emit(WorkerChanged{Worker: u.worker.ID, Change: WorkerLeaving})
	}
}

// restarted fences an agent anew that has begun another life. Which tasks its
// runner still has is known once it answers.
func (l *leader) restarted(u *upstream, incarnation wire.Incarnation) {
	u.incarnation = incarnation
	u.fenced = false
	u.leaving = false
	l.policy.DrainWorker(u.worker.ID)
}

// holding takes over what a fenced agent holds.
func (l *leader) holding(now time.Time, from machine.Node, m wire.Holding) {
	u, ok := l.workers[m.Worker.ID]
	if !ok || u.node != from || u.incarnation != m.Incarnation || m.Epoch != l.epoch || !l.ready {
		return
	}
	u.heard = now
	if u.fenced {
		return
	}
	u.fenced = true
	u.worker = m.Worker
	l.policy.AddWorker(u.worker)
	l.gate.emit(WorkerChanged{Worker: u.worker.ID, Change: WorkerJoined})
	if m.Leaving {
		u.leaving = true
		l.policy.DrainWorker(u.worker.ID)
	}
	l.reconcile(now, u, m)
}

// reconcile compares what the agent holds with what the jobs say.
func (l *leader) reconcile(now time.Time, u *upstream, m wire.Holding) {
	held := make(map[wire.TaskID]bool, len(m.Tasks))
	for _, t := range m.Tasks {
		held[t.Task] = true
		l.reconcileTask(now, u, t)
	}
	for _, e := range l.entries() {
		if e.attempt == nil {
			continue
		}
		for rank, member := range e.attempt.members {
			if member.share.Worker == u.worker.ID && !held[e.attempt.task(e, rank)] {
				l.loseMember(now, e, member)
				break
			}
		}
	}
}

func (l *leader) reconcileTask(now time.Time, u *upstream, t wire.TaskState) {
	_, member := l.member(u.node, t.Task)
	switch {
	case member == nil && t.Phase == wire.PhaseEnded:
		l.settleStray(u.node, wire.Ended{Task: t.Task})
	case member == nil:
		l.stopStray(u.node, t.Task)
	case t.Phase == wire.PhaseStopped:
		l.halted(now, u.node, wire.Halted{Epoch: l.epoch, Task: t.Task, Ran: true, Reason: "a member was halted"})
	case t.Phase == wire.PhaseEnded:
		l.memberEnded(now, u.node, wire.Ended{Epoch: l.epoch, Task: t.Task, Result: *t.Result})
	case t.Phase == wire.PhaseRunning:
		member.running = true
	}
}

// lose gives an agent up: its worker takes no jobs, and the jobs on it lose a
// member.
func (l *leader) lose(now time.Time, u *upstream) {
	delete(l.workers, u.worker.ID)
	l.gate.emit(WorkerChanged{Worker: u.worker.ID, Change: WorkerLost})
	l.policy.RemoveWorker(u.worker.ID)
	for _, e := range l.entries() {
		if e.attempt == nil {
			continue
		}
		for _, member := range e.attempt.members {
			if member.share.Worker == u.worker.ID && member.result == nil {
				l.loseMember(now, e, member)
				break
			}
		}
	}
}

// floorKnown reports whether every agent has had the time to announce itself.
// Until then no job is refused for want of workers: the gate that asks for it
// asks again.
func (l *leader) floorKnown(now time.Time) bool {
	return now.Sub(l.since) >= l.gate.config.AgentTimeout
}

// loseAbsent gives up the members whose agents have not come back since the
// leader began.
func (l *leader) loseAbsent(now time.Time) {
	for _, e := range l.entries() {
		if e.attempt == nil {
			continue
		}
		for _, member := range e.attempt.members {
			if _, ok := l.workers[member.share.Worker]; !ok && !member.lost && member.result == nil {
				l.loseMember(now, e, member)
				break
			}
		}
	}
}

func (l *leader) loseMember(now time.Time, e *entry, m *member) {
	m.lost = true
	if e.attempt.step == stepStopping {
		l.checkStopped(now, e)
		return
	}
	l.abort(now, e, "worker "+string(m.share.Worker)+" was lost")
}

// at returns the agent at an address.
func (l *leader) at(node machine.Node) *upstream {
	for _, u := range l.workers {
		if u.node == node {
			return u
		}
	}
	return nil
}
