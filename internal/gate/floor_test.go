package gate_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// TestFloorNotKnownYet submits a gang to a new leader of which one worker has
// shown up. The gang is not refused before all workers have had the time to show
// up, and is refused as never afterwards.
func TestFloorNotKnownYet(t *testing.T) {
	s := newSite(t, 1)
	gang := gate.Submit{
		Request: 1, ID: job.NewID("team", "gang"), Token: accountToken(),
		Spec: job.Spec{Account: "team", Class: "batch", Shape: floor.Shape{Workers: 2, Cores: 1}.Normal()},
	}
	s.step(gang)
	if len(s.replies) != 0 {
		t.Fatalf("refused at once: %+v", s.replies)
	}
	for range 200 {
		s.now = s.now.Add(gate.DefaultTick)
		s.step(machine.Tick{})
		s.heartbeats()
	}
	gang.Request, gang.ID = 2, job.NewID("team", "again")
	s.step(gang)
	last := s.replies[len(s.replies)-1]
	if last.Record.State != job.StateRefused || !last.Record.Never || last.Record.Ran != job.NotRun {
		t.Errorf("got %+v after %v", last, 200*gate.DefaultTick)
	}
	if gate.DefaultAgentTimeout > 50*time.Second {
		t.Error("the floor is not known within the test's time")
	}
}
