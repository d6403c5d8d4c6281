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

// beginLeave refuses new work from now on. The next tick tells the leader.
func (a *Agent) beginLeave(now time.Time) {
	if a.leaving {
		return
	}
	a.leaving = true
	a.leavingSince = now
	a.nextAnnounce = now
}

// leaveGraceOver reports whether the agent leaves and its reservations may not start
// any more.
func (a *Agent) leaveGraceOver(now time.Time) bool {
	return a.leaving && now.Sub(a.leavingSince) >= a.config.LeaveGrace
}

// recordRunnerStatus records what the runner reports, and tells the leader at once if the
// upstream is leaving.
func (a *Agent) recordRunnerStatus(now time.Time, e RunnerStatus) {
	a.powerDraw = e.PowerDraw
	if e.Leaving && !a.leaving {
		a.beginLeave(now)
		a.tick(now)
	}
}

// checkLeaveDone emits LeaveDone once a leaving agent has no running task, no
// reservation and no result that the leader has not acknowledged.
func (a *Agent) checkLeaveDone() {
	if !a.leaving || a.leaveDoneReported {
		return
	}
	for _, t := range a.tasks {
		if t.phase != wire.PhaseStopped {
			return
		}
	}
	a.leaveDoneReported = true
	a.emit(LeaveDone{})
}
