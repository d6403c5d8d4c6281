package region_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/work"
)

// startTasks has the leader start tasks on the given number of agents and returns
// the tasks that each agent reports.
func startTasks(h *harness, agents, tasksEach int) map[control.AgentID][]control.Task {
	tasksOf := make(map[control.AgentID][]control.Task)
	ids := make([]control.AgentID, agents)
	for i := range ids {
		ids[i] = control.AgentID(fmt.Sprintf("agent-%03d", i))
		h.report(ids[i], nil)
	}
	h.save()
	for i := range agents {
		j := gpuJob(work.JobID(fmt.Sprintf("%016x", i)), tasksEach, 0)
		j.Steps[0].Need = work.Resources{Processor: work.Millicores(32000 / tasksEach), Memory: 1}
		h.submit(j)
	}
	for _, id := range ids {
		orders := h.report(id, nil)
		for _, s := range orders.Starts {
			tasksOf[id] = append(tasksOf[id], control.Task{ID: s.Task, Run: s.Run, Phase: control.Running, Percent: 50})
		}
	}
	for _, id := range ids {
		h.report(id, func(r *control.Report) { r.Tasks = tasksOf[id] })
	}
	return tasksOf
}

// BenchmarkReport measures the leader's cost of a report without changes, by the
// number of agents, with 19 tasks on each as at the target size.
func BenchmarkReport(b *testing.B) {
	for _, agents := range []int{70, 230, 680} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			h := newHarness(&testing.T{})
			tasksOf := startTasks(h, agents, 19)
			ids := make([]control.AgentID, 0, agents)
			running := 0
			for id, tasks := range tasksOf {
				ids = append(ids, id)
				running += len(tasks)
			}
			b.ReportMetric(float64(running), "tasks")
			for i := 0; b.Loop(); i++ {
				id := ids[i%len(ids)]
				h.now = h.now.Add(time.Second / time.Duration(2*agents))
				r := h.newReport(id)
				r.Tasks = tasksOf[id]
				h.core.Report(h.now, r)
				h.core.Plan(h.now)
				h.core.Orders(h.now, id, r.Incarnation)
			}
		})
	}
}
