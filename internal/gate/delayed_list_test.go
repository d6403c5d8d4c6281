package gate_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/lab"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// TestDelayedListOfFormerAgent guards against a predecessor's list that replaces its successor's.
func TestDelayedListOfFormerAgent(t *testing.T) {
	for seed := range uint64(20) {
		r := lab.NewRegion(seed, 2, 2)
		checker := lab.NewChecker(r)
		process := r.Runners[0].Process
		var delayed machine.Message
		r.AddCheck(func(step lab.Step) error {
			for _, effect := range step.Effects {
				send, _ := effect.(machine.Send)
				if held, ok := send.Body.(wire.HeldTasks); ok && step.Process == process && held.Incarnation == 1 {
					delayed = machine.Message{From: process.Node(), Body: held}
					r.Network.Cut(process.Node(), send.To)
				}
			}
			return nil
		})
		runUntil(t, r, 30*time.Second, func() bool { return delayed.Body != nil })
		process.Restart()
		r.Network.Heal()
		run(t, r, 20*time.Second)
		call := r.Callers.Submit(r.Gates[0], "gang", lab.SpecOf(2, true, time.Minute), 5*time.Minute)
		runUntil(t, r, 10*time.Second, func() bool { return runningTasks(r) == 2 })
		r.Leader().Post(delayed)
		runUntil(t, r, 2*time.Minute, func() bool { return call.Reply != nil })
		if n := checker.Starts(call.Job); n != 1 {
			t.Errorf("seed %d: the job was started %d times, want once", seed, n)
		}
		again := r.Callers.Submit(r.Gates[0], "again", lab.SpecOf(2, true, time.Second), 5*time.Minute)
		runUntil(t, r, 10*time.Second, func() bool { return again.Reply != nil })
	}
}
