package gate_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// TestFloorNotKnownYet submits a gang of two workers to a new leader that knows
// one worker. A new leader must not refuse a gang as too large for the floor
// before all agents have had the time to announce themselves. Afterwards it
// refuses the gang as one that can never start.
func TestFloorNotKnownYet(t *testing.T) {
	s := newSimulation(t, 1)
	gang := gate.Submit{
		Request: 1, ID: job.NewID("team", "gang"), Token: accountTokenHash(),
		Spec: job.Spec{Account: "team", Class: "batch", Shape: floor.Shape{Workers: 2, Cores: 1}.WithDefaults()},
	}
	s.step(gang)
	if len(s.replies) != 0 {
		t.Fatalf("refused before all agents could announce themselves: %+v", s.replies)
	}
	for range 200 {
		s.now = s.now.Add(gate.DefaultTickInterval)
		s.step(machine.Tick{})
		s.sendHeartbeats()
	}
	gang.Request, gang.ID = 2, job.NewID("team", "again")
	s.step(gang)
	last := s.replies[len(s.replies)-1]
	if last.Record.State != job.StateRefused || !last.Record.Permanent || last.Record.Ran != job.NotRun {
		t.Errorf("got %+v after %v, want a refusal as one that can never start", last, 200*gate.DefaultTickInterval)
	}
	if gate.DefaultAgentTimeout > 50*time.Second {
		t.Error("DefaultAgentTimeout exceeds the 50 s that the test waits for announcements")
	}
}
