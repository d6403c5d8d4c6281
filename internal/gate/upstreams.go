package gate

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// confirmDelay is the time after a request from which on an announcement was
// certainly sent after it.
const confirmDelay = 500 * time.Millisecond

// upstream is an agent as its leader knows it. It is asked since a time while an
// order has no answer, and suspect if that made a start fail.
type upstream struct {
	node        machine.Node
	worker      floor.Worker
	incarnation wire.Incarnation
	leaving     bool
	suspect     bool
	doubted     bool
	draw        floor.Watts
	heard       time.Time
	asked       time.Time
	probe       time.Time
}

// agentLife is one life of the agent of a worker.
type agentLife struct {
	worker      floor.WorkerID
	incarnation wire.Incarnation
}

func lifeOf(worker floor.WorkerID, incarnation wire.Incarnation) agentLife {
	return agentLife{worker: worker, incarnation: incarnation}
}

// announced takes note that an agent is there, and fences one that is new. It
// returns whether the agent is fenced already. One that comes before the leader
// is ready gets no answer and asks again.
func (l *leader) announced(now time.Time, from machine.Node, m wire.Announce) bool {
	u, ok := l.workers[m.Worker.ID]
	if !ok || u.node != from || u.incarnation != m.Incarnation || m.Epoch < l.epoch {
		if l.ready && !l.replaced[lifeOf(m.Worker.ID, m.Incarnation)] {
			l.gate.send(from, wire.Fence{Epoch: l.epoch, Revision: l.gate.directory.revision()})
		}
		return false
	}
	l.hear(now, u)
	if m.Draw != u.draw {
		u.draw = m.Draw
		l.policy.Report(now, u.worker.ID, m.Draw)
	}
	if m.Leaving {
		l.leave(now, u)
	}
	return true
}

// leave keeps an upstream that is leaving from new work, also from work that has
// not begun yet.
func (l *leader) leave(now time.Time, u *upstream) {
	if u.leaving {
		return
	}
	u.leaving = true
	l.policy.DrainWorker(u.worker.ID)
	l.gate.emit(WorkerChanged{Worker: u.worker.ID, Change: WorkerLeaving})
	for e := range l.jobs.All() {
		if e.attempt == nil || (e.attempt.step != stepReserving && e.attempt.step != stepDeciding) {
			continue
		}
		for _, m := range e.attempt.members {
			if m.share.Worker == u.worker.ID {
				l.abort(now, e, "worker "+string(u.worker.ID)+" is leaving")
				break
			}
		}
	}
}

// holding takes over what a fenced agent holds. One that has begun another life
// at its place may still hold the tasks of its runner.
func (l *leader) holding(now time.Time, from machine.Node, m wire.Holding) {
	if m.Epoch != l.epoch || l.replaced[lifeOf(m.Worker.ID, m.Incarnation)] {
		return
	}
	u, ok := l.workers[m.Worker.ID]
	if ok && u.node == from && u.incarnation == m.Incarnation {
		l.hear(now, u)
		return
	}
	if ok {
		l.replaced[lifeOf(u.worker.ID, u.incarnation)] = true
	}
	if ok && u.node != from {
		l.lose(now, u)
	}
	u = &upstream{node: from, worker: m.Worker, incarnation: m.Incarnation, heard: now}
	l.workers[m.Worker.ID] = u
	l.members.Join(now, m.Worker.ID, m.Worker.DataCentre)
	l.members.Admit(now, m.Worker.ID)
	l.dropStrays(u)
	l.policy.AddWorker(u.worker)
	l.gate.emit(WorkerChanged{Worker: u.worker.ID, Change: WorkerJoined})
	if m.Leaving {
		l.leave(now, u)
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
	for e := range l.jobs.All() {
		if e.attempt == nil {
			continue
		}
		for rank, member := range e.attempt.members {
			if member.share.Worker == u.worker.ID && e.attempt.needs(member) && !held[e.attempt.task(e, rank)] {
				l.loseMember(now, e, member)
				break
			}
		}
	}
}

func (l *leader) reconcileTask(now time.Time, u *upstream, t wire.TaskState) {
	e, member := l.member(u.node, t.Task)
	switch {
	case member == nil:
		l.takeStray(u, t)
	case t.Phase == wire.PhaseStopped:
		l.halted(now, u.node, wire.Halted{Epoch: l.epoch, Task: t.Task, Ran: true, Reason: "a member was halted"})
	case t.Phase == wire.PhaseEnded && t.Result != nil:
		l.memberEnded(now, u.node, wire.Ended{Epoch: l.epoch, Task: t.Task, Result: *t.Result})
	case e.attempt.step == stepStopping:
		l.strayTask(u, t.Task)
	case t.Phase == wire.PhaseRunning:
		member.reserved, member.running = true, true
	}
}

// tickWorkers gives up agents that are dead, or that leave orders without
// answers though their messages arrive.
func (l *leader) tickWorkers(now time.Time) {
	timeout := l.gate.config.AgentTimeout
	l.watchMembers(now)
	for _, u := range l.list() {
		if !u.doubted && !u.asked.IsZero() && now.Sub(u.asked) > timeout {
			l.lose(now, u)
		}
	}
	if now.Sub(l.since) > timeout {
		l.loseAbsent(now)
	}
}

// heardSince reports whether every agent has followed this leader since a time:
// so no other leader has started anything on them before. An agent that was lost
// after the lease was last confirmed may follow another.
func (l *leader) heardSince(when time.Time) bool {
	if l.lost.After(l.gate.elector.Confirmed()) {
		return false
	}
	for _, u := range l.workers {
		if u.heard.Sub(when) < confirmDelay {
			return false
		}
	}
	return true
}

// answered takes note that an agent gets the leader's messages.
func (l *leader) answered(from machine.Node) {
	u := l.at(from)
	if u == nil {
		return
	}
	u.asked = time.Time{}
	if u.suspect {
		u.suspect = false
		if !u.leaving && !u.doubted {
			l.policy.AddWorker(u.worker)
		}
	}
}

// suspect keeps the agents that did not answer a reservation from new work until
// they answer.
func (l *leader) suspect(e *entry) {
	for _, m := range e.attempt.members {
		if u, ok := l.workers[m.share.Worker]; ok && !m.reserved && !u.suspect {
			u.suspect = true
			l.policy.DrainWorker(u.worker.ID)
		}
	}
}

// lose gives an agent up: its worker takes no jobs, and the jobs on it lose a
// member.
func (l *leader) lose(now time.Time, u *upstream) {
	delete(l.workers, u.worker.ID)
	l.lost = now
	l.dropStrays(u)
	l.gate.emit(WorkerChanged{Worker: u.worker.ID, Change: WorkerLost})
	l.policy.RemoveWorker(u.worker.ID)
	for e := range l.jobs.All() {
		if e.attempt == nil {
			continue
		}
		for _, member := range e.attempt.members {
			if member.share.Worker == u.worker.ID && e.attempt.needs(member) {
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
	for e := range l.jobs.All() {
		if e.attempt == nil {
			continue
		}
		for _, member := range e.attempt.members {
			if _, ok := l.workers[member.share.Worker]; !ok && e.attempt.needs(member) {
				l.loseMember(now, e, member)
				break
			}
		}
	}
}

// needs reports whether an attempt still waits for something of a member.
func (a *attempt) needs(m *member) bool {
	if a.step == stepStopping {
		return !m.stopped && !m.lost
	}
	return m.result == nil && !m.lost
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
