package boottime

import "time"

const (
	// slew is the largest difference that is taken over at once: clocks that are
	// corrected gradually stay below it.
	slew = 50 * time.Millisecond

	// settle is how long a step of the time of day must last before it is
	// believed: clocks that are set wrong are set right again within seconds.
	settle = 30 * time.Second
)

// Day tells the time of day from the boot time. A step of the machine's clock is
// taken over only when it has lasted, so that one that is undone changes
// nothing. The zero value is ready to use. It is not safe for use by several
// goroutines.
type Day struct {
	offset, step time.Duration
	stepped      time.Time
	known        bool
}

// Observe takes note of the boot time and the time of day at one moment, and
// returns what is to be added to a boot time to get the time of day.
func (d *Day) Observe(boot, day time.Time) time.Duration {
	offset := day.Round(0).Sub(boot)
	switch {
	case !d.known, near(offset, d.offset):
		d.known, d.offset, d.step = true, offset, offset
		d.stepped = boot
	case !near(offset, d.step):
		d.step, d.stepped = offset, boot
	case boot.Sub(d.stepped) >= settle:
		d.offset = offset
	}
	return d.offset
}

func near(a, b time.Duration) bool {
	return (a - b).Abs() <= slew
}
