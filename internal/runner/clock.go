package runner

import "time"

// clockDriftDivisor says that a runner's clock may be slow by one part in this many.
const clockDriftDivisor = 50

// readClock records a reading of the runner's clock that has arrived. An answer that
// was delayed may say less than what is known already.
func (c *Core) readClock(now time.Time, reading Clock) {
	if reading >= c.runnerNow(now) {
		c.runnerClock, c.runnerClockAt = reading, now
	}
}

// runnerNow returns a lower bound of what the runner's clock shows at a time, so that
// no lease is asked for that ends later than the leader allows: its last reading and the
// least that it has counted since.
func (c *Core) runnerNow(at time.Time) Clock {
	elapsed := at.Sub(c.runnerClockAt)
	if elapsed > 0 {
		elapsed -= elapsed / clockDriftDivisor
	}
	return c.runnerClock + Clock(elapsed/time.Millisecond)
}
