package boottime

import "time"

const (
	// maxSlew is the largest change of the offset that is applied at once.
	// Gradual clock corrections stay below it.
	maxSlew = 50 * time.Millisecond

	// settleTime is how long a step of the wall clock must persist before it is
	// applied. A clock that was set wrongly is usually corrected within seconds.
	settleTime = 30 * time.Second
)

// WallClock converts boot times to wall-clock times. It applies a step of the wall clock
// only after the step has persisted, so that a step that is soon undone has no
// effect. The zero value is ready to use. It is not safe for concurrent use.
type WallClock struct {
	offset, step time.Duration
	stepSince    time.Time
	initialized  bool
}

// Observe records the boot time and the wall-clock time of the same moment. It
// returns the offset to add to a boot time to get the wall-clock time.
func (d *WallClock) Observe(boot, wall time.Time) time.Duration {
	offset := wall.Round(0).Sub(boot)
	switch {
	case !d.initialized, withinSlew(offset, d.offset):
		d.initialized, d.offset, d.step = true, offset, offset
		d.stepSince = boot
	case !withinSlew(offset, d.step):
		d.step, d.stepSince = offset, boot
	case boot.Sub(d.stepSince) >= settleTime:
		d.offset = offset
	}
	return d.offset
}

func withinSlew(a, b time.Duration) bool {
	return (a - b).Abs() <= maxSlew
}
