package boottime_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/pkg/boottime"
)

// TestWallClock checks that small changes of the wall clock apply at once, that a step
// that is undone has no effect, and that one that persists is applied.
func TestWallClock(t *testing.T) {
	const offset = 1000 * time.Hour
	boot := time.Unix(100, 0)
	var clock boottime.WallClock
	observe := func(after, step time.Duration) time.Duration {
		at := boot.Add(after)
		return clock.Observe(at, at.Add(offset+step)) - offset
	}
	for _, c := range []struct {
		after, step, want time.Duration
	}{
		{0, 0, 0},
		{time.Second, 20 * time.Millisecond, 20 * time.Millisecond},
		{2 * time.Second, 2400 * time.Millisecond, 20 * time.Millisecond},
		{8 * time.Second, 2400 * time.Millisecond, 20 * time.Millisecond},
		{9 * time.Second, 0, 0},
		{10 * time.Second, -5 * time.Second, 0},
		{39 * time.Second, -5 * time.Second, 0},
		{41 * time.Second, -5 * time.Second, -5 * time.Second},
	} {
		if got := observe(c.after, c.step); got != c.want {
			t.Errorf("after %v with a step of %v: offset by %v, want %v", c.after, c.step, got, c.want)
		}
	}
}
