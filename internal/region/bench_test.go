package region_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/work"
)

// crowd returns a leader with agents whose runners hold tasks, and the tasks that
// each agent reports.
func crowd(b *bed, agents, tasksEach int) map[control.AgentID][]control.Task {
	held := make(map[control.AgentID][]control.Task)
	ids := make([]control.AgentID, agents)
	for i := range ids {
		ids[i] = control.AgentID(fmt.Sprintf("agent-%03d", i))
		b.report(ids[i], nil)
	}
	b.save()
	for i := range agents {
		j := gpuJob(work.JobID(fmt.Sprintf("%016x", i)), tasksEach, 0)
		j.Steps[0].Need = work.Resources{Processor: work.Millicores(32000 / tasksEach), Memory: 1}
		b.submit(j)
	}
	for _, id := range ids {
		word := b.report(id, nil)
		for _, s := range word.Starts {
			held[id] = append(held[id], control.Task{ID: s.Task, Run: s.Run, Phase: control.Running, Percent: 50})
		}
	}
	for _, id := range ids {
		b.report(id, func(r *control.Report) { r.Tasks = held[id] })
	}
	return held
}

// BenchmarkReport measures what a report without news costs the leader, by the
// number of agents with 19 tasks each, as at the target size.
func BenchmarkReport(b *testing.B) {
	for _, agents := range []int{70, 230, 680} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			t := newBed(&testing.T{})
			held := crowd(t, agents, 19)
			ids := make([]control.AgentID, 0, agents)
			running := 0
			for id, tasks := range held {
				ids = append(ids, id)
				running += len(tasks)
			}
			b.ReportMetric(float64(running), "tasks")
			for i := 0; b.Loop(); i++ {
				id := ids[i%len(ids)]
				t.now = t.now.Add(time.Second / time.Duration(2*agents))
				r := t.compose(id)
				r.Tasks = held[id]
				t.core.Report(t.now, r)
				t.core.Plan(t.now)
				t.core.Word(t.now, id)
			}
		})
	}
}
