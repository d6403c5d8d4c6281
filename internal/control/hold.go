package control

import "time"

// maxHold is the longest hold: it outlasts a takeover, or a table that is away for
// a few seconds, and bounds the wait for a lost worker.
const maxHold = 6 * time.Second

// Hold returns how long what runs outlives the leader's last word to an agent, if a
// runner gives leases up to the longest: less than that, so that the runner never
// cuts one short.
func Hold(longest time.Duration) time.Duration {
	return min(maxHold, longest*9/10)
}
