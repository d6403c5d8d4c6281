package runner_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/runner"
)

// sendPartialList answers a renewal with a list that lacks rows.
func (h *harness) sendPartialList(renewal runner.RenewLease, results ...control.Result) {
	h.step(runner.RenewLeaseResult{Call: renewal, Answer: runner.Accepted, Clock: 5000, Results: results, Partial: true})
}

// TestPartialListEndsNoTask guards against tasks that count as ended since a list lacks rows.
func TestPartialListEndsNoTask(t *testing.T) {
	for _, answer := range []runner.Answer{runner.Accepted, runner.NoAnswer} {
		h := newHarness(t)
		call := h.startFirst()
		renewal := must[runner.RenewLease](h)
		h.step(runner.StartResult{Call: call, Answer: answer})
		if urgent, ok := find[runner.RenewLease](h); ok {
			renewal = urgent
		}
		for range 3 {
			h.sendPartialList(renewal)
			h.checkHeld("partial list")
			h.wait(time.Second)
			h.checkHeld("wait")
			renewal = must[runner.RenewLease](h)
		}
		h.sendList(renewal)
		h.wait(time.Millisecond)
		if answer == runner.NoAnswer {
			h.checkHeld("whole list")
			continue
		}
		for _, effect := range h.effects {
			if send, ok := effect.(runner.Send); ok && len(send.Report.Tasks) != 0 {
				t.Errorf("answer %d: tasks %v after the whole list", answer, send.Report.Tasks)
			}
		}
	}
}

// TestPartialFirstList guards against a first list that lacks rows and counts as complete.
func TestPartialFirstList(t *testing.T) {
	h := newHarness(t)
	h.heartbeat()
	h.sendOrders(must[runner.Send](h), nil)
	h.sendPartialList(must[runner.RenewLease](h), control.Result{ID: 1, Task: start(1).Task, Run: 1, Outcome: control.Done})
	send := must[runner.Send](h)
	if report := send.Report; report.Complete || report.Runner == nil || len(report.Results) != 1 {
		t.Errorf("report %+v", report)
	}
	h.sendOrders(send, func(o *control.Orders) { o.Acked = 1 })
	h.wait(time.Second)
	h.sendPartialList(must[runner.RenewLease](h))
	renewal := must[runner.RenewLease](h)
	if renewal.Acked != 1 || renewal.Until == 0 {
		t.Errorf("renewal %+v", renewal)
	}
	h.sendList(renewal)
	if report := must[runner.Send](h).Report; !report.Complete {
		t.Errorf("report %+v after the whole list", report)
	}
}
