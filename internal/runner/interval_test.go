package runner_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/runner"
)

// TestListsWhileUnacknowledged has a leader that does not acknowledge a result for 5 s,
// while another task runs. The runner answers each call at once then, and the agent must not call it in a loop.
func TestListsWhileUnacknowledged(t *testing.T) {
	h := newHarness(t, runner.WithIntervals(50*time.Millisecond, 100*time.Millisecond))
	h.startFirst()
	result := control.Result{ID: 1, Task: start(1).Task, Run: 1, Outcome: control.Done}
	other := control.Task{ID: start(1).Task, Run: 1, Phase: control.Running}
	other.ID.Index = 1
	calls := 0
	for end := h.now.Add(5 * time.Second); h.now.Before(end); {
		if renewal, ok := find[runner.RenewLease](h); ok {
			calls++
			h.now = h.now.Add(time.Millisecond)
			h.step(runner.RenewLeaseResult{Call: renewal, Answer: runner.Accepted, Clock: renewal.Until, Tasks: []control.Task{other}, Results: []control.Result{result}})
			continue
		}
		wait := 100 * time.Millisecond
		if next := h.core.NextStep(); next.After(h.now) {
			wait = min(wait, next.Sub(h.now))
		}
		h.wait(wait)
	}
	if calls < 40 || calls > 51 {
		t.Errorf("%d calls in 5 s, want 10 a second", calls)
	}
}

// TestReportsOfManyStarts confirms eight starts one after the other. The agent must tell
// the leader all of it, and soon, but not with a report for each.
func TestReportsOfManyStarts(t *testing.T) {
	h := newHarness(t, runner.WithIntervals(50*time.Millisecond, 100*time.Millisecond))
	send := h.ready()
	h.sendOrders(send, func(o *control.Orders) {
		for i := range 8 {
			s := start(1)
			s.Task.Index = i
			o.Starts = append(o.Starts, s)
		}
	})
	var calls []runner.StartTask
	reports := 0
	last := control.Report{}
	collect := func() {
		for _, effect := range h.effects {
			switch e := effect.(type) {
			case runner.StartTask:
				calls = append(calls, e)
			case runner.Send:
				reports++
				last = e.Report
			}
		}
	}
	collect()
	for _, call := range calls {
		h.now = h.now.Add(time.Millisecond)
		h.step(runner.StartResult{Call: call, Answer: runner.Accepted})
		collect()
	}
	h.wait(50 * time.Millisecond)
	collect()
	running := 0
	for _, task := range last.Tasks {
		if task.Phase == control.Running {
			running++
		}
	}
	if len(calls) != 8 || running != 8 || reports > 2 {
		t.Errorf("%d reports for %d starts, the last with %d running tasks; want at most 2, with all", reports, len(calls), running)
	}
}
