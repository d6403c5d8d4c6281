package control

import "time"

// maxHold bounds the time that Hold returns. It covers a change of leader or a
// table outage of a few seconds, and bounds how long the tasks of a lost worker
// wait for a restart.
const maxHold = 6 * time.Second

// Hold returns the hold: how long tasks keep running after the leader's last orders
// to their agent. It is shorter than maxLease, the longest lease that a runner
// grants, so that no lease that the agent asks for is cut short.
func Hold(maxLease time.Duration) time.Duration {
	return min(maxHold, maxLease*9/10)
}
