package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
)

// expireLease gives up the tasks of a runner that does not answer once its lease
// has expired by its own clock. If the runner has no tasks, its heartbeats must be
// missing, too.
func (c *Core) expireLease(now time.Time) {
	if c.runner == nil || c.runnerGone || now.Sub(c.lastAnswer) <= c.config.AnswerTimeout {
		return
	}
	remaining := time.Duration(c.requestedUntil-c.runnerClock) * time.Millisecond
	expired := c.leastElapsed(now) > remaining+c.config.MaxOrdersAge
	if len(c.tasks) == 0 {
		// Nothing runs after a complete list without tasks, however long the lease is.
		expired = (expired || c.listComplete) && now.Sub(c.lastHeartbeat) > c.config.HeartbeatTimeout
	}
	if expired {
		c.log("runner silent", "runner", c.runner.ID.Name, "tasks", len(c.tasks), "age", now.Sub(c.lastAnswer), "until", c.requestedUntil, "clock", c.runnerClock)
		c.dropConfirmed()
	}
}

// stopExpired has all tasks stopped once the hold of the leader's last orders has passed.
// They have ended by then, unless the runner's clock, by which their lease ends, has stood
// still. Unlike that clock, the leader's counts the time that a machine is suspended.
func (c *Core) stopExpired(now time.Time) {
	hold := c.config.HoldTime + c.config.HoldTime/clockDriftDivisor + maxStepGap
	if now.Sub(c.heldSince) <= hold {
		return
	}
	for _, key := range c.sortedRuns() {
		if t := c.tasks[key]; !t.stopWanted {
			t.stopWanted = true
			c.log("hold expired", "task", key.task.String(), "run", key.run, "age", now.Sub(c.heldSince), "held", c.heldUntil, "clock", c.runnerClock)
		}
	}
}

// dropTasks records that nothing runs at the runner any more and that no start takes effect
// there.
func (c *Core) dropTasks() {
	c.tasks = make(map[runKey]*task)
	c.departing, c.listComplete, c.runnerGone, c.reportDue = false, true, true, true
}

// dropConfirmed records that nothing runs at the runner any more, but for starts without an
// answer: its next incarnation may execute them, and then has the longest lease.
func (c *Core) dropConfirmed() {
	late := c.tasks
	maps.DeleteFunc(late, func(_ runKey, t *task) bool { return t.phase == control.Running })
	c.dropTasks()
	c.tasks = late
}

// expireStarts gives up starts without an answer once their runs have ended, wherever they were
// executed.
func (c *Core) expireStarts(now time.Time) {
	var expired []runKey
	for key, t := range c.tasks {
		if t.phase == control.Starting && now.Sub(t.sentAt) > c.longestLease()+c.config.MaxOrdersAge {
			expired = append(expired, key)
		}
	}
	slices.SortFunc(expired, compareRuns)
	for _, key := range expired {
		c.log("start expired", "task", key.task.String(), "run", key.run, "age", now.Sub(c.tasks[key].sentAt))
		delete(c.tasks, key)
		c.refuse(key, "unanswered")
	}
}

// longestLease is the longest time for which a lease may last, by a clock that may be slow.
func (c *Core) longestLease() time.Duration {
	return c.config.MaxLease + c.config.MaxLease/clockDriftDivisor
}
