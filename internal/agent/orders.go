package agent

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// receive handles a message. An order is carried out only if acceptsOrder allows.
func (a *Agent) receive(now time.Time, message machine.Message) {
	switch m := message.Body.(type) {
	case wire.Redirect:
		a.redirect(now, message.From, m)
	case wire.Fence:
		a.fence(now, message.From, m)
	case wire.Reserve:
		if a.acceptsOrder(now, message.From, m.Order) {
			a.reserve(now, m)
		}
	case wire.Run:
		if a.acceptsOrder(now, message.From, m.Order) {
			a.run(now, m)
		}
	case wire.Stop:
		if a.acceptsOrder(now, message.From, m.Order) {
			a.stop(now, m)
		}
	case wire.OutcomeDurable:
		if a.acceptsOrder(now, message.From, m.Order) {
			a.handleOutcomeDurable(now, m)
		}
	case wire.Describe:
		if a.acceptsOrder(now, message.From, m.Order) {
			a.describe(m)
		}
	case wire.Throttle:
		if a.acceptsOrder(now, message.From, m.Order) {
			a.throttle(m)
		}
	case wire.GangHeartbeats:
		a.receiveHeartbeats(now, message.From, m)
	}
}

// redirect announces the agent to the leader that a gate names, unless that is one of
// an older epoch.
func (a *Agent) redirect(now time.Time, from machine.Node, m wire.Redirect) {
	a.revision = max(a.revision, m.Revision)
	if m.Epoch < a.epoch || m.Leader == "" {
		return
	}
	if from == m.Leader {
		a.lastContact = now
	}
	if m.Leader != a.leader && m.Epoch > a.redirectEpoch {
		a.redirectEpoch = m.Epoch
		a.send(m.Leader, a.announcement())
	}
}

// fence accepts a new leader, unless it has an older epoch or older settings or asks
// another incarnation, and sends it the state of all tasks. Older leaders are rejected
// from then on.
func (a *Agent) fence(now time.Time, from machine.Node, m wire.Fence) {
	forOther := m.Incarnation != 0 && m.Incarnation != a.config.Incarnation
	if m.Epoch < a.epoch || m.Revision < a.revision || forOther {
		a.send(from, a.announcement())
		return
	}
	a.epoch = m.Epoch
	a.revision = m.Revision
	a.leader = from
	a.lastContact = now
	holding := wire.HeldTasks{
		Worker:      a.config.Worker,
		Incarnation: a.config.Incarnation,
		Epoch:       a.epoch,
		Draining:    a.draining,
		Fence:       m.Number,
	}
	for _, t := range sortedTasks(a.tasks) {
		holding.Tasks = append(holding.Tasks, wire.TaskState{Task: t.id, Share: t.share, Phase: t.phase, Result: t.result})
	}
	a.send(from, holding)
}

// acceptsOrder reports whether an order comes from the newest leader, under the newest
// settings and for this incarnation of the agent. Otherwise it sends the sender an
// announcement, which shows the agent's epoch, incarnation and revision.
func (a *Agent) acceptsOrder(now time.Time, from machine.Node, order wire.Order) bool {
	if order.Epoch != a.epoch || from != a.leader || order.Incarnation != a.config.Incarnation {
		a.send(from, a.announcement())
		return false
	}
	a.lastContact = now
	if order.Revision < a.revision {
		a.send(from, a.announcement())
		return false
	}
	a.revision = order.Revision
	return true
}

// reserve reserves a share for a task, and answers the leader whether that worked.
func (a *Agent) reserve(now time.Time, m wire.Reserve) {
	reply := wire.Reserved{Epoch: a.epoch, Task: m.Task}
	known, ok := a.tasks[m.Task]
	switch {
	case ok:
		a.resetInquiry(now, known)
	case a.hasTombstone(m.Task):
		reply.Reason = "the task was stopped"
	case a.draining:
		reply.Reason = "the upstream is leaving"
	case !a.isFree(m.Share):
		reply.Reason = "the share is not free"
	default:
		t := a.newTask(now, m.Task, m.Share, m.Peers)
		t.spec = m.Spec
		t.bodyDigest = m.BodyDigest
	}
	a.send(a.leader, reply)
}

// isFree reports whether a share of the worker is free. Tasks that do not run any more
// hold none.
func (a *Agent) isFree(share floor.Allocation) bool {
	worker := a.config.Worker
	slots, cores, memory := 1, share.Cores, share.Memory
	busy := floor.Accelerators(0)
	for _, t := range a.tasks {
		if t.phase == wire.PhaseEnded || t.phase == wire.PhaseStopped {
			continue
		}
		slots++
		cores += t.share.Cores
		memory += t.share.Memory
		busy |= t.share.Accelerators
	}
	all := floor.Accelerators(1)<<worker.Accelerators - 1
	return share.Accelerators&busy == 0 && share.Accelerators&^all == 0 &&
		slots <= worker.Slots && cores <= worker.Cores && memory <= worker.Memory
}

// run starts a task that has a reservation, and answers the leader whether it runs.
func (a *Agent) run(now time.Time, m wire.Run) {
	t, ok := a.tasks[m.Task]
	if !ok {
		stone := a.tombstones[m.Task]
		a.send(a.leader, wire.UnsolicitedStop{Epoch: a.epoch, Task: m.Task, Ran: stone.ran, Reason: "the agent does not have the task"})
		return
	}
	a.resetInquiry(now, t)
	a.start(now, t)
	switch {
	case t.phase == wire.PhaseStopped:
		a.sendUnsolicitedStop(now, t)
	case t.phase != wire.PhaseReserved:
		a.send(a.leader, wire.Running{Epoch: a.epoch, Task: t.id})
	}
}

// stop stops a task, or releases its reservation. A task that the agent does not have
// gets a tombstone, so that a late order cannot start it.
func (a *Agent) stop(now time.Time, m wire.Stop) {
	t, ok := a.tasks[m.Task]
	if !ok {
		stone, known := a.tombstones[m.Task]
		if !known {
			a.tombstones[m.Task] = tombstone{at: now}
		}
		a.send(a.leader, wire.Stopped{Epoch: a.epoch, Task: m.Task, Ran: stone.ran})
		return
	}
	if t.phase == wire.PhaseRunning {
		t.stopOrdered = true
		a.stopAtRunner(t, m.Checkpoint, m.Grace)
		return
	}
	a.forget(now, t)
	a.send(a.leader, wire.Stopped{Epoch: a.epoch, Task: m.Task, Ran: t.phase != wire.PhaseReserved})
}

// describe sends a new leader the specification of a task's job, which has no row
// in the table. The agent has none for a task of a former incarnation.
func (a *Agent) describe(m wire.Describe) {
	if t, ok := a.tasks[m.Task]; ok && t.bodyDigest != "" {
		a.send(a.leader, wire.Described{Epoch: a.epoch, Task: t.id, Spec: t.spec, BodyDigest: t.bodyDigest})
	}
}

// throttle sets the speed of a running task.
func (a *Agent) throttle(m wire.Throttle) {
	if t, ok := a.tasks[m.Task]; ok && t.phase == wire.PhaseRunning {
		a.emit(ThrottleTask{Task: m.Task, Slow: m.Slow})
	}
}

// handleOutcomeDurable forgets a task that has ended or stopped, as the outcome of its
// job is durable.
func (a *Agent) handleOutcomeDurable(now time.Time, m wire.OutcomeDurable) {
	if t, ok := a.tasks[m.Task]; ok && (t.phase == wire.PhaseEnded || t.phase == wire.PhaseStopped) {
		a.forget(now, t)
	}
}
