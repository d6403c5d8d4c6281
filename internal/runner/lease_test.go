package runner_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/runner"
)

// TestLeaseOfFormerAgent guards against tasks given up while a lease of the former agent process lasts.
func TestLeaseOfFormerAgent(t *testing.T) {
	h := newHarness(t)
	h.heartbeat()
	h.sendOrders(must[runner.Send](h), nil)
	h.sendList(must[runner.RenewLease](h), control.Task{ID: start(1).Task, Run: 1, Phase: control.Running})
	listed := h.now
	for range 400 {
		for _, effect := range h.effects {
			switch e := effect.(type) {
			case runner.RenewLease:
				h.step(runner.RenewLeaseResult{Call: e, Answer: runner.NoAnswer})
			case runner.Send:
				if !e.Report.RunnerGone {
					continue
				}
				if age := h.now.Sub(listed); age < 6*time.Second {
					t.Errorf("task given up %s after the list", age)
				}
				return
			}
		}
		h.wait(50 * time.Millisecond)
	}
	t.Error("the task was not given up")
}
