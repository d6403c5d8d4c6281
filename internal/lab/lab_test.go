package lab_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/lab"
)

// story runs a region under faults and returns what happened.
func story(t *testing.T, seed uint64) string {
	t.Helper()
	r := lab.NewRegion(seed, 3, 6)
	r.Network.Loss, r.Network.Duplicate = 0.05, 0.05
	r.Store.Lost = 0.05
	if err := r.Run(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		r.Callers.Submit(r.Gates[i%3], fmt.Sprint(i), lab.SpecOf(1+i%2, true, time.Second), time.Minute)
	}
	if err := r.Run(time.Minute); err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprint(r.Steps(), r.Messages(), r.Store.Asked())
	for _, c := range r.Callers.Calls {
		if c.Reply == nil || c.Reply.Record.State != job.StateDone {
			t.Errorf("seed %d: call %d got %+v", seed, c.Request, c.Reply)
			continue
		}
		text += fmt.Sprint(" ", c.Told, string(c.Reply.Record.Answer.Data))
	}
	return text
}

// TestRepeats checks that a run repeats under its seed and differs under
// another.
func TestRepeats(t *testing.T) {
	first, second, other := story(t, 1), story(t, 1), story(t, 2)
	if first != second {
		t.Errorf("two runs under one seed:\n%s\n%s", first, second)
	}
	if first == other {
		t.Error("two seeds gave one run")
	}
}
