package runner

import "time"

// refuse reports to the leader that a run will never start.
func (c *Core) refuse(key runKey, reason string) {
	if _, ok := c.refusals[key]; ok {
		return
	}
	c.refusals[key] = reason
	c.reportDue = true
	c.log("start refused", "task", key.task.String(), "run", key.run, "reason", reason)
}

// startBarrier returns why no task must be started at the runner, or "" if one may be.
func (c *Core) startBarrier(now time.Time) string {
	switch {
	case c.runner.Draining:
		return "draining"
	case c.evacuated:
		return "data centre evacuated"
	case c.unresponsive(now):
		return "runner silent"
	}
	return ""
}
