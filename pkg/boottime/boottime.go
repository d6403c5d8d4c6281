// Package boottime reads the machine's boot-time clock (CLOCK_BOOTTIME). It is
// never set back or forward, and unlike Go's monotonic clock it also advances while
// the machine is suspended. Use it for leases and other time limits that must hold
// even if the machine is suspended meanwhile.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, as a time.Time that is that long
// after the Unix epoch. Compare it only with other results of Now. If the boot-time
// clock cannot be read, Now returns the wall-clock time.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now().Round(0)
	}
	return time.Unix(t.Sec, t.Nsec)
}
