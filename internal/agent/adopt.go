package agent

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/wire"
)

// adopt takes over the tasks that a former life of the agent started. They are
// not started again: their results are delivered and their gangs are watched.
func (a *Agent) adopt(now time.Time, tasks []RunnerTask) {
	for _, r := range tasks {
		t := a.newTask(now, r.Task, r.Share, r.Peers)
		t.phase = wire.PhaseRunning
		a.epoch = max(a.epoch, r.Task.Epoch)
		a.emit(FollowTask{Task: r.Task, Peers: r.Peers})
		if t.member != nil {
			a.carry(now, t, t.member.Start(now))
		}
	}
}

// beginLeave refuses new work from now on, and tells the leader at once.
func (a *Agent) beginLeave(now time.Time) {
	if a.leaving {
		return
	}
	a.leaving = true
	a.leave = now
	a.announce = now
}

// closed reports whether nothing may start any more.
func (a *Agent) closed(now time.Time) bool {
	return a.leaving && now.Sub(a.leave) >= a.config.LeaveGrace
}

func (a *Agent) usage(now time.Time, e Usage) {
	a.draw = e.Draw
	if e.Leaving && !a.leaving {
		a.beginLeave(now)
		a.tick(now)
	}
}

// checkLeft reports the end of a leaving agent: nothing runs and no result waits
// to be settled.
func (a *Agent) checkLeft() {
	if !a.leaving || a.left {
		return
	}
	for _, t := range a.tasks {
		if t.phase != wire.PhaseStopped {
			return
		}
	}
	a.left = true
	a.emit(Left{})
}
