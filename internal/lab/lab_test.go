package lab_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/lab"
)

// runScenario runs jobs in a region with lost messages and lost store responses, and
// returns a text of the step, message and operation counts and of all replies.
func runScenario(t *testing.T, seed uint64) string {
	t.Helper()
	r := lab.NewRegion(seed, 3, 6)
	r.Network.LossProbability, r.Network.DuplicateProbability = 0.05, 0.05
	r.Store.LossProbability = 0.05
	if err := r.Run(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		r.Callers.Submit(r.Gates[i%3], fmt.Sprint(i), lab.SpecOf(1+i%2, true, time.Second), time.Minute)
	}
	if err := r.Run(time.Minute); err != nil {
		t.Fatal(err)
	}
	summary := fmt.Sprint(r.Steps(), r.Messages(), r.Store.Operations())
	for _, c := range r.Callers.Calls {
		if c.Reply == nil || c.Reply.Record.State != job.StateDone {
			t.Errorf("seed %d: call %d got %+v", seed, c.Request, c.Reply)
			continue
		}
		summary += fmt.Sprint(" ", c.RepliedAt, string(c.Reply.Record.Answer.Data))
	}
	return summary
}

// TestRepeats checks that a run is deterministic: equal for the same seed and
// different for another.
func TestRepeats(t *testing.T) {
	first, second, other := runScenario(t, 1), runScenario(t, 1), runScenario(t, 2)
	if first != second {
		t.Errorf("two runs with one seed differ:\n%s\n%s", first, second)
	}
	if first == other {
		t.Error("two seeds gave the same run")
	}
}
