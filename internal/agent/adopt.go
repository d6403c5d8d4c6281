package agent

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/wire"
)

// adopt takes over the tasks that a former incarnation of the agent started. They are
// not started again, but their results are delivered and their gangs monitored.
func (a *Agent) adopt(now time.Time, tasks []RunnerTask) {
	for _, r := range tasks {
		t := a.newTask(now, r.Task, r.Share, r.Peers)
		t.phase = wire.PhaseRunning
		a.epoch = max(a.epoch, r.Task.Epoch)
		a.emit(FollowTask{Task: r.Task, Peers: r.Peers})
		if t.member != nil {
			a.applyActions(now, t, t.member.Start(now))
		}
	}
}

// beginDrain refuses new work from now on. The next tick tells the leader.
func (a *Agent) beginDrain(now time.Time) {
	if a.draining {
		return
	}
	a.draining = true
	a.drainingSince = now
	a.nextAnnounce = now
}

// drainGraceOver reports whether the agent drains and its reservations may not start
// any more.
func (a *Agent) drainGraceOver(now time.Time) bool {
	return a.draining && now.Sub(a.drainingSince) >= a.config.DrainGrace
}

// recordRunnerStatus records what the runner reports, and tells the leader at once if the
// upstream is draining.
func (a *Agent) recordRunnerStatus(now time.Time, e RunnerStatus) {
	a.powerDraw = e.PowerDraw
	if e.Draining && !a.draining {
		a.beginDrain(now)
		a.tick(now)
	}
}

// checkDrainDone emits DrainDone once a draining agent has no running task, no
// reservation and no result that the leader has not acknowledged.
func (a *Agent) checkDrainDone() {
	if !a.draining || a.drainDoneReported {
		return
	}
	for _, t := range a.tasks {
		if t.phase != wire.PhaseStopped {
			return
		}
	}
	a.drainDoneReported = true
	a.emit(DrainDone{})
}
