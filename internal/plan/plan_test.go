package plan_test

import (
	"fmt"
	"testing"

	"github.com/lovageroad/lovageroad/internal/plan"
	"github.com/lovageroad/lovageroad/internal/work"
)

// idleWorkers returns n workers with eight accelerators each, three to a rack.
func idleWorkers(n int) []plan.Worker {
	workers := make([]plan.Worker, n)
	for i := range workers {
		workers[i] = plan.Worker{
			ID: plan.WorkerID(fmt.Sprintf("w%02d", i)), Pool: "p", Rack: work.RackID(fmt.Sprintf("r%d", i/3)),
			Capacity: work.Resources{Processor: 32000, Memory: 65536, Accelerators: 8},
		}
	}
	return workers
}

func resources(accelerators int64) work.Resources {
	return work.Resources{Processor: 1000, Memory: 1024, Accelerators: accelerators}
}

func demand(id work.JobID, count int, accelerators int64) plan.Demand {
	d := plan.Demand{
		Step: work.StepID{Job: id}, Pool: "p", Priority: 1,
		Spec: work.Step{Count: count, Need: resources(accelerators)},
	}
	for i := range count {
		d.Waiting = append(d.Waiting, i)
	}
	return d
}

// occupy adds a running task to a worker.
func occupy(w *plan.Worker, id work.JobID, accelerators int64, priority work.Priority, loss float64) {
	w.Occupants = append(w.Occupants, plan.Occupant{
		Task: work.TaskID{StepID: work.StepID{Job: id}, Index: len(w.Occupants)}, Request: resources(accelerators),
		Priority: priority, LostWork: loss,
	})
}

func ExamplePlan() {
	workers := idleWorkers(2)
	occupy(&workers[0], "small", 2, 1, 0)
	decision := plan.Plan(workers, []plan.Demand{demand("next", 1, 4), demand("large", 1, 8)})
	for _, start := range decision.Starts {
		fmt.Println(start.Task, start.Worker)
	}
	// Output:
	// next.0.0.0 w00
	// large.0.0.0 w01
}

// TestGangAllOrNothing gives a gang capacity for only some of its members, for a
// different reason in each case. No member may start.
func TestGangAllOrNothing(t *testing.T) {
	gang := func(change func(*plan.Demand)) plan.Demand {
		d := demand("gang", 3, 8)
		d.Spec.Gang = true
		change(&d)
		return d
	}
	for name, d := range map[string]plan.Demand{
		"too few":  gang(func(*plan.Demand) {}),
		"reserved": gang(func(d *plan.Demand) { d.Waiting, d.Spec.Count, d.IdleReserve = []int{0, 1}, 2, 1 }),
		"one rack": gang(func(d *plan.Demand) { d.Spec.SameRack, d.Waiting = true, []int{0, 1} }),
		"spread":   gang(func(d *plan.Demand) { d.Spec.MaxPerRunner, d.Spec.Need = 1, resources(1) }),
	} {
		workers := idleWorkers(6)
		for _, i := range []int{1, 2, 4, 5} {
			occupy(&workers[i], "other", 8, 1, 0)
		}
		if got := plan.Plan(workers, []plan.Demand{d}); len(got.Starts) != 0 {
			t.Errorf("%s: started %v", name, got.Starts)
		}
	}
}

// TestGuaranteed has a guaranteed demand on workers that lack free capacity for it.
// It must preempt the task that loses the least work, and the freed capacity must
// stay reserved against demands that come after it.
func TestGuaranteed(t *testing.T) {
	workers := idleWorkers(2)
	occupy(&workers[0], "costly", 8, 2, 900)
	occupy(&workers[1], "cheap", 4, 1, 10)
	occupy(&workers[1], "kept", 2, 0, 0)
	workers[1].Occupants[1].Protected = true
	guaranteed := demand("guaranteed", 1, 4)
	guaranteed.Guaranteed, guaranteed.Priority = true, 0
	got := plan.Plan(workers, []plan.Demand{guaranteed, demand("behind", 1, 2)})
	if len(got.Stops) != 1 || got.Stops[0].Job != "cheap" {
		t.Errorf("stops %v", got.Stops)
	}
	if len(got.Starts) != 1 || got.Starts[0].Task.Job != "behind" || got.Starts[0].Worker != "w01" {
		t.Errorf("starts %v", got.Starts)
	}
	workers[1].Occupants[0].Stopping = true
	got = plan.Plan(workers, []plan.Demand{guaranteed, demand("behind", 1, 8)})
	if len(got.Stops) != 0 || len(got.Starts) != 0 {
		t.Errorf("stopped %v more, started %v", got.Stops, got.Starts)
	}
}

// TestBudget has an urgent demand that may preempt tasks of lower priority up to a
// bounded loss of work, and no tasks of its own priority.
func TestBudget(t *testing.T) {
	for _, c := range []struct {
		loss     float64
		priority work.Priority
		stops    int
	}{{50, 2, 1}, {500, 2, 0}, {50, 0, 0}} {
		workers := idleWorkers(1)
		occupy(&workers[0], "other", 8, c.priority, c.loss)
		d := demand("urgent", 1, 4)
		d.PreemptionBudget, d.Priority = 100, 0
		if got := plan.Plan(workers, []plan.Demand{d}); len(got.Stops) != c.stops {
			t.Errorf("loss %v of priority %d: stops %v", c.loss, c.priority, got.Stops)
		}
	}
}

// TestGangReservation has a gang whose budget does not suffice for all members.
// No task may be preempted for it.
func TestGangReservation(t *testing.T) {
	workers := idleWorkers(2)
	occupy(&workers[0], "cheap", 8, 2, 10)
	occupy(&workers[1], "costly", 8, 2, 1000)
	d := demand("gang", 2, 8)
	d.Spec.Gang, d.PreemptionBudget, d.Priority = true, 100, 0
	if got := plan.Plan(workers, []plan.Demand{d}); len(got.Stops) != 0 {
		t.Errorf("stops %v", got.Stops)
	}
}

func BenchmarkPlan(b *testing.B) {
	workers := idleWorkers(680)
	for i := range workers {
		for range 6 {
			occupy(&workers[i], work.JobID(fmt.Sprintf("j%d", i)), 1, 2, 5)
		}
	}
	demands := make([]plan.Demand, 100)
	for b.Loop() {
		for i := range demands {
			demands[i] = demand(work.JobID(fmt.Sprintf("d%d", i)), 4, 8)
		}
		plan.Plan(workers, demands)
	}
}
