package region_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
)

// TestIdleAnswersHold guards against idle answers that are too old to renew the lease of tasks.
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
