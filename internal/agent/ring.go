package agent

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/gang"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// applyActions carries out the actions that the state machine of a task's gang member
// returned.
func (a *Agent) applyActions(now time.Time, t *task, actions gang.Actions[machine.Node]) {
	for _, s := range actions.Sends {
		a.queuePulse(t, s)
	}
	if actions.Start {
		a.start(now, t)
	}
	if actions.Stop {
		a.stopBrokenGang(now, t)
	}
}

// queuePulse queues a pulse, the heartbeat to one other member of a task's gang.
func (a *Agent) queuePulse(t *task, s gang.Send[machine.Node]) {
	to := t.id
	to.Rank = job.Rank(slices.Index(t.peers, s.To))
	a.queuedPulses[s.To] = append(a.queuedPulses[s.To], wire.Pulse{
		Task:  to,
		From:  job.Rank(s.Beat.From),
		State: s.Beat.State,
		Ask:   s.Beat.Ask,
		Lost:  job.Rank(s.Beat.Lost),
	})
}

// sendQueuedPulses sends the pulses that were queued in a step, in one message to
// each peer.
func (a *Agent) sendQueuedPulses() {
	for _, node := range slices.Sorted(maps.Keys(a.queuedPulses)) {
		a.send(node, wire.Beat{Pulses: a.queuedPulses[node]})
	}
	clear(a.queuedPulses)
}

// stopBrokenGang stops a task, or releases a reservation, whose gang has lost a
// member. It does not shorten the grace period of a stop that the leader has
// ordered.
func (a *Agent) stopBrokenGang(now time.Time, t *task) {
	switch {
	case a.tasks[t.id] != t || t.stopSent:
	case t.phase == wire.PhaseReserved:
		a.forget(now, t)
	case t.phase == wire.PhaseRunning:
		lost, _ := t.member.Broken()
		t.reason = fmt.Sprintf("member %d of the gang was lost", lost)
		a.stopAtRunner(t, false, 0)
	}
}

// beat passes the pulses of a peer on to the gang members that they are for.
func (a *Agent) beat(now time.Time, from machine.Node, m wire.Beat) {
	for _, pulse := range m.Pulses {
		t, ok := a.tasks[pulse.Task]
		if !ok {
			a.answerUnknownTask(from, pulse)
			continue
		}
		if t.member == nil {
			continue
		}
		a.applyActions(now, t, t.member.Receive(now, gang.Beat{
			From:  gang.Rank(pulse.From),
			State: pulse.State,
			Ask:   pulse.Ask,
			Lost:  gang.Rank(pulse.Lost),
		}))
	}
}

// answerUnknownTask tells the sender of a pulse that the agent does not have the
// task that it is for, so that its gang is broken. A sender that is only reserved
// gets no answer, since the reservation here may still come, unless the task has a
// tombstone.
func (a *Agent) answerUnknownTask(from machine.Node, pulse wire.Pulse) {
	if pulse.State == gang.Halted || (pulse.State == gang.Reserved && !a.hasTombstone(pulse.Task)) {
		return
	}
	to := pulse.Task
	to.Rank = pulse.From
	a.queuedPulses[from] = append(a.queuedPulses[from], wire.Pulse{
		Task:  to,
		From:  pulse.Task.Rank,
		State: gang.Halted,
		Lost:  pulse.Task.Rank,
	})
}

// hasTombstone reports whether a task was stopped or forgotten: it must not start.
func (a *Agent) hasTombstone(id wire.TaskID) bool {
	_, ok := a.tombstones[id]
	return ok
}
