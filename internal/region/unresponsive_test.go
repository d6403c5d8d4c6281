package region_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
)

// finish is how long after the end of the traffic the users ask for their jobs.
const finish = 14 * time.Second

// TestAgentThatAppliesNothing guards against tasks that are held for ever at an agent that
// reports, but applies no orders and so renews no lease.
func TestAgentThatAppliesNothing(t *testing.T) {
	for name, change := range map[string]func(*control.Report){
		"waits for a runner that has started again": func(r *control.Report) { r.Complete = false },
		"gets each answer too late":                 func(*control.Report) {},
	} {
		h := newHarness(t)
		h.join("a")
		h.submit(gpuJob("j1", 1, 8))
		start := h.report("a", nil).Starts[0]
		applied := h.ordersSeq["a"]
		stuck := func(r *control.Report) {
			r.Applied = applied
			r.Tasks = []control.Task{{ID: start.Task, Run: start.Run, Phase: control.Running}}
			change(r)
		}
		h.report("a", stuck)
		h.join("b")
		began, moved := h.now, false
		for h.now.Sub(began) < finish && !moved {
			h.now = h.now.Add(200 * time.Millisecond)
			h.report("a", stuck)
			h.save()
			moved = len(h.report("b", nil).Starts) > 0
		}
		if !moved {
			t.Errorf("agent %s: its task does not start elsewhere", name)
		}
		h.submit(gpuJob("j2", 1, 8))
		for range 10 {
			h.now = h.now.Add(200 * time.Millisecond)
			for _, s := range h.report("a", stuck).Starts {
				t.Errorf("agent %s: %v starts there", name, s.Task)
			}
		}
		again := false
		for began = h.now; h.now.Sub(began) < finish && !again; h.now = h.now.Add(200 * time.Millisecond) {
			orders := h.report("a", func(r *control.Report) { r.Applied = applied })
			h.save()
			applied, again = max(applied, orders.Seq), len(orders.Starts) == 1
		}
		if !again {
			t.Errorf("agent %s: nothing starts there once it applies orders again", name)
		}
	}
}

// TestStartsBesideAgentThatAppliesNothing guards against starts that wait at an agent that gets no
// orders any more, while another one is idle.
func TestStartsBesideAgentThatAppliesNothing(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.join("b")
	stuck := func(r *control.Report) { r.Applied = 0 }
	for began := h.now; h.now.Sub(began) < 5*time.Second; h.now = h.now.Add(200 * time.Millisecond) {
		h.report("a", stuck)
		h.report("b", nil)
	}
	h.submit(gpuJob("j1", 1, 8))
	for began := h.now; h.now.Sub(began) < finish; h.now = h.now.Add(200 * time.Millisecond) {
		h.report("a", stuck)
		if len(h.report("b", nil).Starts) > 0 {
			if age := h.now.Sub(began); age > time.Second {
				t.Errorf("the task starts after %v", age)
			}
			return
		}
	}
	t.Error("the task does not start")
}

// TestAgentAfterSilence guards against an agent that is given up since its leader gave no
// orders for a while, and the last ones before that were lost.
func TestAgentAfterSilence(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	h.submit(gpuJob("j1", 1, 8))
	start := h.report("a", nil).Starts[0]
	applied := h.ordersSeq["a"]
	running := func(r *control.Report) {
		r.Applied = applied
		r.Tasks = []control.Task{{ID: start.Task, Run: start.Run, Phase: control.Running}}
	}
	h.report("a", running)
	h.now = h.now.Add(5 * time.Second)
	if orders := h.report("a", running); orders.Seq == 0 {
		t.Errorf("answer %+v, want one that extends the hold", orders)
	}
}

// TestAgentAfterCut guards against an agent that gets no orders any more, since those before a cut
// were lost and those after it answered reports that it no longer waited for.
func TestAgentAfterCut(t *testing.T) {
	h := newHarness(t)
	h.join("a")
	applied := h.ordersSeq["a"]
	cut := func(r *control.Report) { r.Applied = applied }
	h.report("a", cut)
	h.now = h.now.Add(5 * time.Second)
	for range 6 {
		if orders := h.report("a", cut); orders.Seq == 0 {
			t.Fatalf("answer %+v, want orders", orders)
		}
	}
}
