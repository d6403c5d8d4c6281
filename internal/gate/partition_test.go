package gate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/lab"
)

// TestDataCentreCutOff cuts six of a data centre's nine agents off from all
// gates for a minute, four times gate.DefaultAgentTimeout, while their jobs
// run. The leader must take this for a network fault and not for the failure of
// six machines: it must not start the jobs again, and all are done once the
// network is healed.
func TestDataCentreCutOff(t *testing.T) {
	r := lab.NewRegion(7, 2, 9)
	checker := lab.NewChecker(r)
	if err := r.Run(30 * time.Second); err != nil {
		t.Fatal(err)
	}
	var calls []*lab.Call
	for i := range 9 {
		spec := lab.SpecOf(1, false, 40*time.Second)
		spec.Shape.Accelerators = 8
		calls = append(calls, r.Callers.Submit(r.Gates[0], fmt.Sprint(i), spec, 5*time.Minute))
	}
	if err := r.Run(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	for _, runner := range r.Runners[:6] {
		for _, g := range r.Gates {
			r.Network.Cut(g.Node(), runner.Process.Node())
			r.Network.Cut(runner.Process.Node(), g.Node())
		}
	}
	if err := r.Run(time.Minute); err != nil {
		t.Fatal(err)
	}
	r.Network.Heal()
	if err := r.Run(time.Minute); err != nil {
		t.Fatal(err)
	}
	for i, call := range calls {
		if call.Reply == nil || call.Reply.Record.State != job.StateDone {
			t.Errorf("job %d: got %+v", i, call.Reply)
		}
		if starts := checker.Starts(call.Job); starts != 1 {
			t.Errorf("job %d was started %d times", i, starts)
		}
	}
}
