package upstream

import (
	"context"
	"time"

	"github.com/lovageroad/lovageroad/internal/agent"
	"github.com/lovageroad/lovageroad/internal/wire"
)

// stop stops a task and posts agent.TaskStopped once the task certainly no longer
// runs: when the runner confirms it, or when the task's lease has expired at a runner
// that does not answer. That takes at most the sum of the grace, CallTimeout, the
// lease and LeaseMargin.
func (d *Driver) stop(e agent.StopTask) {
	d.mu.Lock()
	f, ok := d.followed[e.Task]
	d.mu.Unlock()
	lease := DefaultLease
	if ok {
		lease = f.lease
	}
	if e.Grace <= 0 || !d.stopWithinGrace(e) {
		if ok {
			f.cancel()
		}
		d.force(e.Task, lease)
	}
	d.post(d.ctx, agent.TaskStopped{Task: e.Task, Reason: "stopped"})
}

// stopWithinGrace asks the runner to stop a task within its grace, and reports
// whether the runner confirmed it. The task's lease is still renewed meanwhile.
func (d *Driver) stopWithinGrace(e agent.StopTask) bool {
	end := time.Now().Add(e.Grace + CallTimeout)
	ctx, cancel := context.WithDeadline(d.ctx, end)
	defer cancel()
	for ctx.Err() == nil {
		grace := max(0, time.Until(end)-CallTimeout)
		report, err := d.client.Stop(ctx, TaskName(e.Task), e.Checkpoint, grace)
		if refused(err) || (err == nil && report.State != StateRunning) {
			return true
		}
		pause(ctx, DefaultRetry)
	}
	return false
}

// force stops a task whose lease is no longer renewed. It returns when the runner
// confirms that the task has stopped, or when the lease and LeaseMargin have passed.
func (d *Driver) force(id wire.TaskID, lease time.Duration) {
	leaseCtx, cancel := context.WithTimeout(d.ctx, lease+LeaseMargin)
	defer cancel()
	for leaseCtx.Err() == nil {
		ctx, done := context.WithTimeout(leaseCtx, CallTimeout)
		report, err := d.client.Stop(ctx, TaskName(id), false, 0)
		done()
		if refused(err) || (err == nil && report.State != StateRunning) {
			return
		}
		pause(leaseCtx, DefaultRetry)
	}
}

// throttle sets a task's speed. It retries until the runner answers, the task ends or
// the agent asks for another speed.
func (d *Driver) throttle(e agent.ThrottleTask) {
	d.mu.Lock()
	f, ok := d.followed[e.Task]
	if ok {
		f.slow = e.Slow
	}
	d.mu.Unlock()
	for ok && d.ctx.Err() == nil {
		ctx, done := context.WithTimeout(d.ctx, CallTimeout)
		err := d.client.Throttle(ctx, TaskName(e.Task), e.Slow)
		done()
		if err == nil || refused(err) {
			return
		}
		pause(d.ctx, DefaultRetry)
		d.mu.Lock()
		ok = d.followed[e.Task] == f && f.slow == e.Slow
		d.mu.Unlock()
	}
}

// forget asks the runner to forget an ended task. If that fails, the next incarnation
// of the agent finds the task in the runner's list and reports its result again.
func (d *Driver) forget(id wire.TaskID) {
	ctx, done := context.WithTimeout(d.ctx, CallTimeout)
	defer done()
	if _, err := d.client.Stop(ctx, TaskName(id), false, 0); err != nil {
		return
	}
}
