package gate

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// contactMargin is the time after a request from which on any message that
// arrives from an agent was certainly sent after the request.
const contactMargin = 500 * time.Millisecond

// upstream is the leader's state of an agent and its worker. unansweredSince is
// set while an order has no answer. Three causes exclude its worker from new
// work: draining (the agent has announced that it leaves), reserveTimedOut (it
// did not answer a reservation) and unusable (the detector considers it
// suspect, or suppresses it).
type upstream struct {
	node            machine.Node
	worker          floor.Worker
	incarnation     wire.Incarnation
	draining        bool
	reserveTimedOut bool
	unusable        bool
	powerDraw       floor.Watts
	lastHeard       time.Time
	unansweredSince time.Time
	nextProbe       time.Time
}

// agentIncarnation is one process lifetime of a worker's agent.
type agentIncarnation struct {
	worker      floor.WorkerID
	incarnation wire.Incarnation
}

func incarnationOf(worker floor.WorkerID, incarnation wire.Incarnation) agentIncarnation {
	return agentIncarnation{worker: worker, incarnation: incarnation}
}

// handleAnnounce records an announcement. It returns whether the agent is
// fenced already; a new one is sent a Fence. An agent that announces itself
// before the leader is ready, or that has newer settings than the leader, gets
// no answer and announces itself again.
func (l *leader) handleAnnounce(now time.Time, from machine.Node, m wire.Announce) bool {
	u, ok := l.upstreams[m.Worker.ID]
	if !ok || u.node != from || u.incarnation != m.Incarnation || m.Epoch < l.epoch {
		fenceable := l.ready && m.Revision <= l.gate.settings.revision()
		if fenceable && !l.replaced[incarnationOf(m.Worker.ID, m.Incarnation)] {
			l.sendFence(from, m.Incarnation)
		}
		return false
	}
	l.recordContact(now, u)
	if m.PowerDraw != u.powerDraw {
		u.powerDraw = m.PowerDraw
		l.policy.ReportDraw(now, u.worker.ID, m.PowerDraw)
	}
	if m.Draining {
		l.markDraining(now, u)
	}
	return true
}

// sendFence fences an incarnation of an agent and asks which tasks it holds.
func (l *leader) sendFence(to machine.Node, incarnation wire.Incarnation) {
	l.lastFence++
	l.gate.send(to, wire.Fence{Epoch: l.epoch, Revision: l.gate.settings.revision(), Number: l.lastFence, Incarnation: incarnation})
}

// markDraining excludes a draining agent from new work, and aborts the attempts
// on it that have not begun to run.
func (l *leader) markDraining(now time.Time, u *upstream) {
	if u.draining {
		return
	}
	u.draining = true
	l.policy.DrainWorker(u.worker.ID)
	l.gate.emit(WorkerChanged{Worker: u.worker.ID, Change: WorkerDraining})
	for e := range l.jobs.All() {
		if e.attempt == nil || (e.attempt.step != stepReserving && e.attempt.step != stepCommitting) {
			continue
		}
		for _, m := range e.attempt.members {
			if m.share.Worker == u.worker.ID {
				l.abort(now, e, "worker "+string(u.worker.ID)+" is draining")
				break
			}
		}
	}
}

// handleHeldTasks takes over a fenced agent and the tasks that it holds. A new
// incarnation at the same address may still hold the tasks of the former one,
// since the runner outlives its agent. So the former one is given up as lost
// only if the address has changed. An answer to an earlier fence than the last
// one answered was delayed: it may be of a former incarnation.
func (l *leader) handleHeldTasks(now time.Time, from machine.Node, m wire.HeldTasks) {
	if m.Epoch != l.epoch || l.replaced[incarnationOf(m.Worker.ID, m.Incarnation)] {
		return
	}
	u, ok := l.upstreams[m.Worker.ID]
	if ok && u.node == from && u.incarnation == m.Incarnation {
		l.recordContact(now, u)
		return
	}
	if m.Fence != 0 && m.Fence <= l.answeredFences[m.Worker.ID] {
		return
	}
	l.answeredFences[m.Worker.ID] = m.Fence
	if ok {
		l.replaced[incarnationOf(u.worker.ID, u.incarnation)] = true
	}
	if ok && u.node != from {
		l.lose(now, u)
	}
	u = &upstream{node: from, worker: m.Worker, incarnation: m.Incarnation, lastHeard: now}
	l.upstreams[m.Worker.ID] = u
	l.detector.Join(now, m.Worker.ID, m.Worker.DataCentre)
	l.detector.Admit(now, m.Worker.ID)
	l.forgetAgentTasks(u)
	l.policy.AddWorker(u.worker)
	l.gate.emit(WorkerChanged{Worker: u.worker.ID, Change: WorkerJoined})
	if m.Draining {
		l.markDraining(now, u)
	}
	l.reconcile(now, u, m)
}

// reconcile compares the tasks that an agent reports with those that the leader
// expects there.
func (l *leader) reconcile(now time.Time, u *upstream, m wire.HeldTasks) {
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
			if member.share.Worker == u.worker.ID && e.attempt.awaits(member) && !held[e.attempt.task(e, rank)] {
				l.loseMember(now, e, member)
				break
			}
		}
	}
}

// reconcileTask applies the reported state of one task.
func (l *leader) reconcileTask(now time.Time, u *upstream, t wire.TaskState) {
	e, member := l.member(u.node, t.Task)
	switch {
	case member == nil:
		l.handleUnexpectedTask(u, t)
	case t.Phase == wire.PhaseStopped:
		l.handleUnsolicitedStop(now, u.node, wire.UnsolicitedStop{Epoch: l.epoch, Task: t.Task, Ran: true, Reason: "a member was stopped without an order"})
	case t.Phase == wire.PhaseEnded && t.Result != nil:
		l.handleEnded(now, u.node, wire.Ended{Epoch: l.epoch, Task: t.Task, Result: *t.Result})
	case e.attempt.step == stepStopping:
		l.addOrphan(u, t.Task)
	case t.Phase == wire.PhaseRunning:
		member.reserved, member.running = true, true
	}
}

// tickWorkers gives up agents that are dead, or that leave orders unanswered
// for the AgentTimeout although their heartbeats arrive.
func (l *leader) tickWorkers(now time.Time) {
	timeout := l.gate.config.AgentTimeout
	l.checkAgents(now)
	for _, u := range l.sortedUpstreams() {
		if !u.unusable && !u.unansweredSince.IsZero() && now.Sub(u.unansweredSince) > timeout {
			l.lose(now, u)
		}
	}
	if now.Sub(l.startedAt) > timeout {
		l.loseAbsent(now)
	}
}

// allHeardSince reports whether every agent has been in contact with this
// leader since a time, so that no other leader can have started anything on
// them before. An agent that was lost after the lease was last confirmed may
// follow another leader already.
func (l *leader) allHeardSince(when time.Time) bool {
	if l.lastLost.After(l.gate.elector.Confirmed()) {
		return false
	}
	for _, u := range l.upstreams {
		if u.lastHeard.Sub(when) < contactMargin {
			return false
		}
	}
	return true
}

// recordAnswer records that an agent answers orders, and readmits one that did
// not answer a reservation.
func (l *leader) recordAnswer(from machine.Node) {
	u := l.upstreamAt(from)
	if u == nil {
		return
	}
	u.unansweredSince = time.Time{}
	if u.reserveTimedOut {
		u.reserveTimedOut = false
		if !u.draining && !u.unusable {
			l.policy.AddWorker(u.worker)
		}
	}
}

// excludeTimedOut excludes the agents that did not answer a reservation from
// new work until they answer.
func (l *leader) excludeTimedOut(e *jobEntry) {
	for _, m := range e.attempt.members {
		if u, ok := l.upstreams[m.share.Worker]; ok && !m.reserved && !u.reserveTimedOut {
			u.reserveTimedOut = true
			l.policy.DrainWorker(u.worker.ID)
		}
	}
}

// lose gives an agent up: its worker gets no work, and the jobs on it lose a
// member.
func (l *leader) lose(now time.Time, u *upstream) {
	delete(l.upstreams, u.worker.ID)
	l.lastLost = now
	l.forgetAgentTasks(u)
	l.gate.emit(WorkerChanged{Worker: u.worker.ID, Change: WorkerLost})
	l.policy.RemoveWorker(u.worker.ID)
	for e := range l.jobs.All() {
		if e.attempt == nil {
			continue
		}
		for _, member := range e.attempt.members {
			if member.share.Worker == u.worker.ID && e.attempt.awaits(member) {
				l.loseMember(now, e, member)
				break
			}
		}
	}
}

// floorKnown reports whether every agent has had the time to announce itself to
// this leader. Until then no job is refused for lack of workers; its gate asks
// again.
func (l *leader) floorKnown(now time.Time) bool {
	return now.Sub(l.startedAt) >= l.gate.config.AgentTimeout
}

// loseAbsent gives up the members whose agents have not announced themselves to
// this leader.
func (l *leader) loseAbsent(now time.Time) {
	for e := range l.jobs.All() {
		if e.attempt == nil {
			continue
		}
		for _, member := range e.attempt.members {
			if _, ok := l.upstreams[member.share.Worker]; !ok && e.attempt.awaits(member) {
				l.loseMember(now, e, member)
				break
			}
		}
	}
}

// awaits reports whether an attempt still waits for a result, or for the
// confirmation of a stop, from a member.
func (a *attempt) awaits(m *member) bool {
	if a.step == stepStopping {
		return !m.stopped && !m.lost
	}
	return m.result == nil && !m.lost
}

// loseMember records that a member's agent was given up or does not hold the
// task any more, and aborts the attempt.
func (l *leader) loseMember(now time.Time, e *jobEntry, m *member) {
	m.lost = true
	if e.attempt.step == stepStopping {
		l.checkStopped(now, e)
		return
	}
	l.abort(now, e, "worker "+string(m.share.Worker)+" was lost")
}

// upstreamAt returns the agent at an address, or nil.
func (l *leader) upstreamAt(node machine.Node) *upstream {
	for _, u := range l.upstreams {
		if u.node == node {
			return u
		}
	}
	return nil
}
