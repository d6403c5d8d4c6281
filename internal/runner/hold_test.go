package runner_test

import (
	"testing"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/runner"
)

// TestOrdersForUnknownRunner guards against orders that extend a lease which the leader does not count.
func TestOrdersForUnknownRunner(t *testing.T) {
	h := newHarness(t)
	h.heartbeat()
	h.sendOrders(must[runner.Send](h), nil)
	unknown := must[runner.Send](h)
	if unknown.Report.Runner != nil {
		t.Fatalf("report %+v before the list", unknown.Report)
	}
	h.sendList(must[runner.RenewLease](h), control.Task{ID: start(1).Task, Run: 1, Phase: control.Running})
	renewal := must[runner.RenewLease](h)
	known := must[runner.Send](h)
	h.sendOrders(unknown, func(o *control.Orders) { o.Starts = []control.Start{start(1), start(2)} })
	if call, ok := find[runner.StartTask](h); ok {
		t.Errorf("started %+v", call)
	}
	task := control.Task{ID: start(1).Task, Run: 1, Phase: control.Running}
	h.sendList(renewal, task)
	renewal = must[runner.RenewLease](h)
	if renewal.Until != 0 {
		t.Errorf("lease until %d requested", renewal.Until)
	}
	h.sendOrders(known, nil)
	h.sendList(renewal, task)
	if renewal = must[runner.RenewLease](h); renewal.Until == 0 {
		t.Error("no lease requested after orders for the runner")
	}
}
