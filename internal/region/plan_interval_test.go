package region_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/region"
)

// TestPlanInterval submits a job within the plan interval of another. The leader must not
// plan again for it before the interval has passed, and must not forget it.
func TestPlanInterval(t *testing.T) {
	h := newHarness(t)
	h.lead(2, region.WithPlanInterval(40*time.Millisecond))
	h.join("a")
	h.join("b")
	ordered := 0
	h.core.SetLog(func(e region.LogEntry) {
		if e.Event == "task ordered" {
			ordered++
		}
	})
	check := func(wait time.Duration, want int) {
		t.Helper()
		h.now = h.now.Add(wait)
		h.core.Tick(h.now)
		if ordered != want {
			t.Errorf("%d tasks ordered, want %d", ordered, want)
		}
	}
	h.submit(gpuJob("j1", 1, 8))
	check(time.Second, 1)
	h.submit(gpuJob("j2", 1, 8))
	check(10*time.Millisecond, 1)
	check(20*time.Millisecond, 1)
	check(10*time.Millisecond, 2)
}
