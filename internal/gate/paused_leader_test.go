package gate_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/lab"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// TestPauseTakenForOutage guards against starts without a record by a leader that was only paused.
func TestPauseTakenForOutage(t *testing.T) {
	for seed := range uint64(20) {
		r, checker := readyRegion(t, seed, 2, 2)
		deposed, successor := r.Leader(), r.Gates[0]
		if successor == deposed {
			successor = r.Gates[1]
		}
		var reservedAt machine.Node
		r.AddCheck(func(step lab.Step) error {
			for _, effect := range step.Effects {
				send, _ := effect.(machine.Send)
				if _, ok := send.Body.(wire.Reserve); ok && step.Process == deposed && reservedAt == "" {
					reservedAt = send.To
					r.Network.Cut(successor.Node(), reservedAt)
				}
				if commit, ok := effect.(machine.Commit); ok && step.Process == deposed && writesStart(commit) {
					r.Store.Silent = true
					deposed.Pause()
				}
			}
			return nil
		})
		call := r.Callers.Submit(deposed, "key", lab.SpecOf(1, true, time.Minute), 5*time.Minute)
		run(t, r, 2*time.Second)
		if !r.Store.Silent {
			t.Fatalf("seed %d: the leader did not write the start", seed)
		}
		r.Store.Heal()
		runUntil(t, r, time.Minute, func() bool { return r.Leader() == successor })
		run(t, r, time.Second)
		deposed.Resume()
		run(t, r, 30*time.Second)
		if n := checker.Starts(call.Job); n != 1 {
			t.Errorf("seed %d: the job was started %d times, want once", seed, n)
		}
		runUntil(t, r, 3*time.Minute, func() bool { return call.Reply != nil })
		if call.Reply.Record.State != job.StateDone {
			t.Errorf("seed %d: got %+v, want done", seed, call.Reply)
		}
	}
}

// writesStart reports whether a transaction writes the record of a started job.
func writesStart(commit machine.Commit) bool {
	for _, write := range commit.Txn.Writes {
		var record job.Record
		if json.Unmarshal(write.Value, &record) == nil && record.State == job.StateStarted {
			return true
		}
	}
	return false
}
