package runner_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/runner"
)

// TestAcknowledgeOnce guards against an acknowledgement that reaches results of the next incarnation.
func TestAcknowledgeOnce(t *testing.T) {
	h := newHarness(t)
	call := h.startFirst()
	renewal := must[runner.RenewLease](h)
	h.step(runner.StartResult{Call: call, Answer: runner.Accepted})
	result := control.Result{ID: 57, Task: start(1).Task, Run: 1, Outcome: control.Done}
	h.step(runner.RenewLeaseResult{Call: renewal, Answer: runner.Accepted, Clock: 5000, Results: []control.Result{result}})
	h.sendOrders(must[runner.Send](h), func(o *control.Orders) {
		o.Acked = 57
		o.Starts = []control.Start{start(2)}
	})
	acknowledge := must[runner.RenewLease](h)
	second := must[runner.StartTask](h)
	h.step(runner.StartResult{Call: second, Answer: runner.Accepted})
	h.step(runner.RenewLeaseResult{Call: acknowledge, Answer: runner.NoAnswer})
	h.wait(time.Second)
	repeated := must[runner.RenewLease](h)
	if acknowledge.Acked != 57 || repeated.Acked != 57 {
		t.Errorf("acknowledged %d, %d, want 57 until there is an answer", acknowledge.Acked, repeated.Acked)
	}
	h.sendList(repeated, control.Task{ID: second.Start.Task, Run: 2, Phase: control.Running})
	if next := must[runner.RenewLease](h); next.Acked != 0 {
		t.Errorf("acknowledged %d once more", next.Acked)
	}
}
