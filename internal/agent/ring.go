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
		a.queueHeartbeat(t, s)
	}
	if actions.Start {
		a.start(now, t)
	}
	if actions.Stop {
		a.stopBrokenGang(now, t)
	}
}

// queueHeartbeat queues a heartbeat to one other member of a task's gang.
func (a *Agent) queueHeartbeat(t *task, s gang.Send[machine.Node]) {
	to := t.id
	to.Rank = job.Rank(slices.Index(t.peers, s.To))
	a.queuedHeartbeats[s.To] = append(a.queuedHeartbeats[s.To], wire.GangHeartbeat{
		Task:           to,
		From:           job.Rank(s.Heartbeat.From),
		State:          s.Heartbeat.State,
		ReplyRequested: s.Heartbeat.ReplyRequested,
		FailedRank:     job.Rank(s.Heartbeat.FailedRank),
	})
}

// sendQueuedHeartbeats sends the heartbeats that were queued in a step, in one
// message to each peer.
func (a *Agent) sendQueuedHeartbeats() {
	for _, node := range slices.Sorted(maps.Keys(a.queuedHeartbeats)) {
		a.send(node, wire.GangHeartbeats{Heartbeats: a.queuedHeartbeats[node]})
	}
	clear(a.queuedHeartbeats)
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

// receiveHeartbeats passes the heartbeats of a peer on to the gang members that
// they are for.
func (a *Agent) receiveHeartbeats(now time.Time, from machine.Node, m wire.GangHeartbeats) {
	for _, heartbeat := range m.Heartbeats {
		t, ok := a.tasks[heartbeat.Task]
		if !ok {
			a.answerUnknownTask(from, heartbeat)
			continue
		}
		if t.member == nil {
			continue
		}
		a.applyActions(now, t, t.member.Receive(now, gang.Heartbeat{
			From:           gang.Rank(heartbeat.From),
			State:          heartbeat.State,
			ReplyRequested: heartbeat.ReplyRequested,
			FailedRank:     gang.Rank(heartbeat.FailedRank),
		}))
	}
}

// answerUnknownTask tells the sender of a heartbeat that the agent does not have the
// task that it is for, so that its gang is broken. A sender that is only reserved
// gets no answer, since the reservation here may still come, unless the task has a
// tombstone.
func (a *Agent) answerUnknownTask(from machine.Node, heartbeat wire.GangHeartbeat) {
	if heartbeat.State == gang.Halted || (heartbeat.State == gang.Reserved && !a.hasTombstone(heartbeat.Task)) {
		return
	}
	to := heartbeat.Task
	to.Rank = heartbeat.From
	a.queuedHeartbeats[from] = append(a.queuedHeartbeats[from], wire.GangHeartbeat{
		Task:       to,
		From:       heartbeat.Task.Rank,
		State:      gang.Halted,
		FailedRank: heartbeat.Task.Rank,
	})
}

// hasTombstone reports whether a task was stopped or forgotten: it must not start.
func (a *Agent) hasTombstone(id wire.TaskID) bool {
	_, ok := a.tombstones[id]
	return ok
}
