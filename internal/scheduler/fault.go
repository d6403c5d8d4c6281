package scheduler

import (
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

// Spent tells a job that fails everywhere from one that met bad workers: a
// failure is the job's own if its worker has run another job well since.
func (p *policy) Spent(id job.ID) bool {
	t, ok := p.tasks[id]
	if !ok {
		return false
	}
	own := 0
	for _, f := range t.faults {
		if f.worker.well.After(f.at) {
			own++
		}
	}
	return own >= ownFaults || t.failures >= MaxFailures
}
