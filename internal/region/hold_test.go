package region_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
)

// TestIdleAnswersHold has a leader of many agents delay its answers as long as it may,
// since it has no new orders. The answers must still be young enough for the agents to
// apply them, or else the tasks' leases expire.
func TestIdleAnswersHold(t *testing.T) {
	for _, agents := range []int{11, 180, 680} {
		s := newSite(t, "a")
		for i := range agents {
			s.report(control.AgentID(fmt.Sprint(i)), func(r *control.Report) { r.Runner.Draining = true })
		}
		s.submit(gpuJob("j1", 1, 8))
		s.exchange(s.core, "a")
		a := s.agents["a"]
		if got := s.runsOf(taskOf("j1", 0)); got != 1 {
			t.Fatalf("%d agents: %d runs", agents, got)
		}
		const delay = 100 * time.Millisecond
		for range 20 {
			send := a.take()
			s.core.Report(s.now, send.Report)
			for end := s.now.Add(send.Report.Wait); s.now.Before(end); {
				a.tick(delay)
			}
			orders := s.core.Orders(s.now, a.id, send.Report.Incarnation)
			a.tick(delay)
			a.step(answer(send, orders))
			a.tick(0)
		}
		if got := s.runsOf(taskOf("j1", 0)); got != 1 {
			t.Errorf("%d agents: the task's lease expired", agents)
		}
	}
}
