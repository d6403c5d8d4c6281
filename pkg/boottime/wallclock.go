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
	// offset is the offset in force. candidate is the offset after a step that is
	// not applied yet, and candidateSince the boot time when it was first observed;
	// without such a step candidate differs from offset by at most maxSlew.
	offset, candidate time.Duration
	candidateSince    time.Time
	initialized       bool
}

// Observe records the boot time and the wall-clock time of the same moment. It
// returns the offset to add to a boot time to get the wall-clock time.
func (c *WallClock) Observe(boot, wall time.Time) time.Duration {
	offset := wall.Round(0).Sub(boot)
	switch {
	case !c.initialized, withinSlew(offset, c.offset):
		c.initialized, c.offset, c.candidate = true, offset, offset
		c.candidateSince = boot
	case !withinSlew(offset, c.candidate):
		c.candidate, c.candidateSince = offset, boot
	case boot.Sub(c.candidateSince) >= settleTime:
		c.offset = offset
	}
	return c.offset
}

func withinSlew(a, b time.Duration) bool {
	return (a - b).Abs() <= maxSlew
}
