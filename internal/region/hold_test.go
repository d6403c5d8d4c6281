package region_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/work"
)

// slowestLease is the longest lease of a runner, 10 s by a clock that is slow by 2 %.
const slowestLease = 10200 * time.Millisecond

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

// TestLeaseOutlastsHold guards against a task that starts elsewhere while it runs: its runner has
// a longer lease than the leader's orders allow, from a call for a former incarnation.
func TestLeaseOutlastsHold(t *testing.T) {
	const lease = 10 * time.Second
	h := newHarness(t)
	h.join("a")
	h.submit(gpuJob("j1", 1, 8))
	h.report("a", nil)
	h.report("a", func(r *control.Report) {
		r.Lease, r.Tasks = lease, []control.Task{{ID: taskOf("j1", 0), Run: h.runs[taskOf("j1", 0)], Phase: control.Running}}
	})
	began := h.now
	for h.now.Sub(began) < 2*lease {
		h.now = h.now.Add(100 * time.Millisecond)
		h.join("b")
		if len(h.report("b", nil).Starts) > 0 {
			if age := h.now.Sub(began); age < lease {
				t.Errorf("the task starts elsewhere after %v", age)
			}
			return
		}
	}
	t.Error("the task does not start elsewhere")
}

// TestUnconfirmedStartAtLostWorker guards against a task that starts elsewhere while it runs: its
// start reached the next incarnation of a runner, and nothing is heard of the agent since.
func TestUnconfirmedStartAtLostWorker(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.submit(gpuJob("confirmed", 1, 4))
	h.submit(gpuJob("unconfirmed", 1, 4))
	h.report("a", nil)
	h.report("a", func(r *control.Report) {
		r.Tasks = []control.Task{
			{ID: taskOf("confirmed", 0), Run: 1, Phase: control.Running}, {ID: taskOf("unconfirmed", 0), Run: 1, Phase: control.Starting},
		}
	})
	moved := make(map[work.JobID]time.Duration)
	for began := h.now; h.now.Sub(began) < finish; h.now = h.now.Add(100 * time.Millisecond) {
		h.join("b")
		for _, start := range h.report("b", nil).Starts {
			if _, ok := moved[start.Task.Job]; !ok {
				moved[start.Task.Job] = h.now.Sub(began)
			}
		}
	}
	if age := moved["unconfirmed"]; age < slowestLease {
		t.Errorf("the unconfirmed task starts elsewhere after %v", age)
	}
	if age := moved["confirmed"]; age == 0 || age > 8*time.Second {
		t.Errorf("the confirmed task starts elsewhere after %v", age)
	}
}
