package scheduler

import (
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
)

const (
	// ownFaults is the number of failures on workers that run other jobs well from
	// which on a job is to blame itself.
	ownFaults = 3

	// MaxFailures is the number of failures after which a job is not tried again,
	// whoever is to blame.
	MaxFailures = 8
)

// fault is a failure of a job on a worker.
type fault struct {
	worker *worker
	at     time.Time
}

// accused reports whether another job than t failed on a worker and none ran well
// there since.
func (w *worker) accused(t *task) bool {
	others := func(id job.ID) bool { return id != t.ID }
	return w.probation || slices.ContainsFunc(w.blames, others)
}

// doubtful reports whether a job failed on a worker, and none that started later
// ran well: not long ago, or before a quarantine.
func (w *worker) doubtful(now time.Time) bool {
	return w.probation || w.failed.After(w.well) && now.Sub(w.failed) < avoidFor
}

// Spent tells a job that fails everywhere from one that met bad workers: a
// failure is the job's own if its worker has run another job well that started
// since, or if no other job accuses the worker.
func (p *policy) Spent(id job.ID) bool {
	t, ok := p.tasks[id]
	if !ok {
		return false
	}
	own := 0
	for _, f := range t.faults {
		if f.worker.well.After(f.at) || !f.worker.accused(t) {
			own++
		}
	}
	return own >= ownFaults || t.failures >= MaxFailures
}
