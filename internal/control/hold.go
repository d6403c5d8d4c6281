package control

import "time"

// maxHoldTime bounds the time that HoldTime returns. It covers a change of leader or a
// table outage of a few seconds, and bounds how long the tasks of a lost worker
// wait for a restart.
const maxHoldTime = 6 * time.Second

// HoldTime returns how long tasks keep running after the leader's last orders
// to their agent. It is shorter than maxLease, the longest lease that a runner
// grants, so that no lease that the agent asks for is cut short.
func HoldTime(maxLease time.Duration) time.Duration {
	return min(maxHoldTime, maxLease*9/10)
}
