package region

import (
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/work"
)

// maxOpenOccurrences is how many occurrences of a job may be open and not done at a time.
// The others wait, even if they are due, so that what the leader keeps, plans and stores
// for a job does not grow with its backlog.
const maxOpenOccurrences = 100

// open opens the next occurrence of a job.
func (c *Core) open(j *job) *occurrence {
	o := newOccurrence(j, j.opened, c.due(j, j.opened))
	j.occurrences = append(j.occurrences, o)
	j.opened++
	return o
}

// maxOpen returns how many occurrences of the job may be open and not done at a time.
func (j *job) maxOpen() int {
	tasks := 0
	for i := range j.Job.Steps {
		tasks += j.Job.Steps[i].Count
	}
	return max(min(maxOpenOccurrences, work.MaxTasks/max(tasks, 1)), 1)
}

// occurrence returns an open occurrence, or nil if the one with the number is not open.
func (j *job) occurrence(number int) *occurrence {
	i, found := slices.BinarySearchFunc(j.occurrences, number, func(o *occurrence, n int) int { return o.number - n })
	if !found {
		return nil
	}
	return j.occurrences[i]
}

func newOccurrence(j *job, number int, due time.Time) *occurrence {
	o := &occurrence{number: number, due: due, steps: make([]*step, len(j.Job.Steps))}
	for i := range j.Job.Steps {
		spec := &j.Job.Steps[i]
		o.steps[i] = &step{
			id:   work.StepID{Job: j.Job.ID, Occurrence: number, Step: i},
			spec: spec, tasks: make([]task, spec.Count),
		}
	}
	return o
}

// advance makes those steps ready whose predecessors are done, and updates whether
// the occurrence is done.
func (o *occurrence) advance(now time.Time) {
	o.done = true
	for _, s := range o.steps {
		if s.done < len(s.tasks) {
			o.done = false
		}
		if s.readyAt.IsZero() && !slices.ContainsFunc(s.spec.After, func(i int) bool {
			return o.steps[i].done < len(o.steps[i].tasks)
		}) {
			s.readyAt = now
		}
	}
}

// hasRuns reports whether a task of the occurrence runs or is ordered to.
func (o *occurrence) hasRuns() bool {
	return slices.ContainsFunc(o.steps, func(s *step) bool {
		return slices.ContainsFunc(s.tasks, func(t task) bool { return t.worker != nil })
	})
}
