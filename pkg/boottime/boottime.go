// Package boottime reads a clock that never jumps and that goes on while the
// machine is suspended, unlike Go's monotonic clock. What must end after some
// time, such as a right to lead, is measured by it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, as a time since the epoch.
// Such times are compared with each other only. If the clock can't be read, the
// time of day stands in.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now().Round(0)
	}
	return time.Unix(t.Sec, t.Nsec)
}
