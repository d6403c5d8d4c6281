package region

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/work"
)

const (
	// runsPerEpoch is the distance between the first run numbers of successive
	// epochs, so that the runs of a task that a leader orders have higher numbers
	// than those of all earlier leaders. No leader orders more runs of a task than
	// that: it leaves the task waiting, and a new epoch must begin. Leaders of the former
	// release have the same distance, and do not read it from any row.
	runsPerEpoch = 1000

	// setbacksPerStep is the number of setbacks of a task after which its back-off grows by
	// another Config.RefusalBackoff, so that the runs of an epoch last for half an hour at least:
	// a task that no runner takes, or that fails for ever, must not end one epoch after the other.
	setbacksPerStep = 50

	// steadyRun is how long after its order a run must be listed for the setbacks before it to
	// count no longer: ten times the longest back-off.
	steadyRun = time.Minute
)

// nextRun returns the number of the next run of a task. It is above all runs that
// earlier leaders ordered.
func (c *Core) nextRun(t *task) work.Run {
	return max(t.run, work.Run(c.epoch-1)*runsPerEpoch) + 1
}

// hasRun reports whether a task that may start now has a run left in this epoch.
func (c *Core) hasRun(id work.TaskID, t *task) bool {
	if c.nextRun(t) <= work.Run(c.epoch)*runsPerEpoch {
		return true
	}
	if !c.runsUsedUp {
		c.runsUsedUp = true
		c.log(LogEntry{Event: "runs of the epoch used up", Task: id, Run: t.run})
	}
	return false
}

// RunsUsedUp reports whether a task waits that has no run left in this epoch, so that this
// leader must make way for one with a later epoch.
func (c *Core) RunsUsedUp() bool { return c.runsUsedUp }

// noteSetback records that a start was refused or a long-running task failed, and returns by how
// much the back-off grows.
func (c *Core) noteSetback(t *task) time.Duration {
	t.setbacks++
	return c.config.RefusalBackoff * time.Duration(t.setbacks/setbacksPerStep)
}

// noteListed forgets the setbacks of a task that has run for a while.
func (t *task) noteListed(now time.Time) {
	if now.Sub(t.orderedAt) >= steadyRun {
		t.setbacks = 0
	}
}
