package runner

import "time"

const (
	// clockDriftDivisor says that a runner's clock may be slow by one part in this many.
	clockDriftDivisor = 50

	// maxStepGap is the longest time between two steps for which the agent counts as
	// running: a few of its ticks. The machine may have been suspended for a longer
	// one, and the runner's clock does not count that time.
	maxStepGap = 300 * time.Millisecond
)

// noteGap records the time since the last step as one in which the runner's clock may have
// stood still, if it is too long for an agent that runs.
func (c *Core) noteGap(now time.Time) {
	gap := now.Sub(c.steppedAt)
	if !c.steppedAt.IsZero() && gap > maxStepGap {
		c.suspended += gap
		c.log("agent paused", "age", gap, "clock", c.runnerClock)
	}
	c.steppedAt = now
}

// readClock records a reading of the runner's clock that was asked for at the time sent,
// or the zero time if it was not asked for, and has arrived. An answer that was delayed
// may say less than what is known already. A reading below what the clock was taken to
// show when it was asked for corrects the estimate.
func (c *Core) readClock(now, sent time.Time, reading Clock) {
	estimated := c.runnerNow(now)
	if tooHigh := !sent.IsZero() && reading < c.runnerNow(sent); tooHigh {
		c.log("clock corrected", "clock", reading, "estimated", estimated, "age", now.Sub(c.runnerClockAt))
	} else if reading < estimated {
		return
	}
	c.runnerClock, c.runnerClockAt, c.suspended = reading, now, 0
}

// runnerNow returns a lower bound of what the runner's clock shows at a time, so that
// no lease is asked for that ends later than the leader allows: its last reading and the
// least that it has counted since.
func (c *Core) runnerNow(at time.Time) Clock {
	return c.runnerClock + Clock(c.leastElapsed(at)/time.Millisecond)
}

// leastElapsed returns the least that the runner's clock has counted from its last
// reading to a time. It is negative for a time before the reading.
func (c *Core) leastElapsed(at time.Time) time.Duration {
	elapsed := at.Sub(c.runnerClockAt)
	if elapsed <= 0 {
		return elapsed
	}
	elapsed = max(elapsed-c.suspended, 0)
	return elapsed - elapsed/clockDriftDivisor
}
