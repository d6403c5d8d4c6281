package region_test

import (
	"slices"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/work"
)

// TestEvacuate has a runner announce that it leaves in 1.6 s. The tasks that can't end
// until then must be stopped at once, with all members of their gangs on other workers,
// so that they run elsewhere before the worker is lost. Those that can end must go on.
func TestEvacuate(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.join("b")
	gang := gpuJob("gang", 2, 6)
	gang.Steps[0].Gang = true
	h.submit(gang)
	h.submit(gpuJob("nearly", 1, 2))
	tasksOf := make(map[control.AgentID][]control.Task)
	for _, id := range []control.AgentID{"a", "b"} {
		for _, s := range h.report(id, nil).Starts {
			percent := 20
			if s.Task.Job == "nearly" {
				percent = 90
			}
			tasksOf[id] = append(tasksOf[id], control.Task{ID: s.Task, Run: s.Run, Phase: control.Running, Percent: percent})
		}
	}
	report := func(id control.AgentID, draining bool) (stopped []work.JobID) {
		orders := h.report(id, func(r *control.Report) {
			r.Tasks = tasksOf[id]
			r.Runner.Draining = draining
			r.Runner.Remaining = 1600 * time.Millisecond
		})
		for _, s := range orders.Stops {
			stopped = append(stopped, s.Task.Job)
		}
		return stopped
	}
	h.now = h.now.Add(time.Second)
	for _, id := range []control.AgentID{"a", "b"} {
		if stopped := report(id, false); len(stopped) > 0 {
			t.Fatalf("%v stopped at %s before the announcement", stopped, id)
		}
	}
	leaving, other := control.AgentID("a"), control.AgentID("b")
	if !slices.ContainsFunc(tasksOf["a"], func(t control.Task) bool { return t.ID.Job == "nearly" }) {
		leaving, other = other, leaving
	}
	if stopped := report(leaving, true); !slices.Equal(stopped, []work.JobID{"gang"}) {
		t.Errorf("%v stopped at the leaving worker, want the gang's member alone", stopped)
	}
	if stopped := report(other, false); !slices.Equal(stopped, []work.JobID{"gang"}) {
		t.Errorf("%v stopped at the other worker, want the gang's member", stopped)
	}
}
