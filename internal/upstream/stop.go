package upstream

import (
	"context"
	"time"

	"github.com/lovageroad/lovageroad/internal/agent"
	"github.com/lovageroad/lovageroad/internal/wire"
)

// stop stops a task and reports it stopped once it cannot run any more: when the
// runner says so, or when the task's lease has passed at a runner that does not
// answer. That takes at most the grace, CallTimeout, the lease and LeaseMargin.
func (d *Driver) stop(e agent.StopTask) {
	d.mu.Lock()
	f, ok := d.followed[e.Task]
	d.mu.Unlock()
	lease := DefaultLease
	if ok {
		lease = f.lease
	}
	if e.Grace <= 0 || !d.stopWithin(e) {
		if ok {
			f.cancel()
		}
		d.force(e.Task, lease)
	}
	d.post(d.ctx, agent.TaskStopped{Task: e.Task, Reason: "stopped"})
}

// stopWithin asks the runner to stop a task within its grace, while its lease is
// renewed, and reports whether it did.
func (d *Driver) stopWithin(e agent.StopTask) bool {
	end := time.Now().Add(e.Grace + CallTimeout)
	ctx, cancel := context.WithDeadline(d.ctx, end)
	defer cancel()
	for ctx.Err() == nil {
		grace := max(0, time.Until(end)-CallTimeout)
		report, err := d.client.Stop(ctx, Name(e.Task), e.Checkpoint, grace)
		if refused(err) || (err == nil && report.State != StateRunning) {
			return true
		}
		pause(ctx, DefaultRetry)
	}
	return false
}

// force stops a task whose lease is not renewed any more. It returns when the
// runner says that the task has stopped, or when the lease has passed.
func (d *Driver) force(id wire.TaskID, lease time.Duration) {
	lapsed, cancel := context.WithTimeout(d.ctx, lease+LeaseMargin)
	defer cancel()
	for lapsed.Err() == nil {
		ctx, done := context.WithTimeout(lapsed, CallTimeout)
		report, err := d.client.Stop(ctx, Name(id), false, 0)
		done()
		if refused(err) || (err == nil && report.State != StateRunning) {
			return
		}
		pause(lapsed, DefaultRetry)
	}
}

// throttle sets a task's speed, unless the task ends or is told otherwise first.
func (d *Driver) throttle(e agent.ThrottleTask) {
	d.mu.Lock()
	f, ok := d.followed[e.Task]
	if ok {
		f.slow = e.Slow
	}
	d.mu.Unlock()
	for ok && d.ctx.Err() == nil {
		ctx, done := context.WithTimeout(d.ctx, CallTimeout)
		err := d.client.Throttle(ctx, Name(e.Task), e.Slow)
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

// forget lets the runner forget a task that does not run. Should that fail, a
// later life of the agent finds the task and learns of its end again.
func (d *Driver) forget(id wire.TaskID) {
	ctx, done := context.WithTimeout(d.ctx, CallTimeout)
	defer done()
	if _, err := d.client.Stop(ctx, Name(id), false, 0); err != nil {
		return
	}
}
