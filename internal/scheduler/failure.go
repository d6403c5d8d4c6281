package scheduler

import (
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
)

const (
	// maxOwnFailures is the number of a job's own failures after which it is
	// not tried again. Exhausted says which failures are its own.
	maxOwnFailures = 3

	// MaxFailures is the number of failures after which a job is not tried again,
	// whatever their cause.
	MaxFailures = 8
)

// workerFailure is a failure of a job on a worker.
type workerFailure struct {
	worker *worker
	at     time.Time
}

// failedOthers reports whether another job than t failed on the worker and none
// has run well there since.
func (w *worker) failedOthers(t *jobEntry) bool {
	others := func(id job.ID) bool { return id != t.ID }
	return w.probation || slices.ContainsFunc(w.failedJobs, others)
}

// mayBeFaulty reports whether the worker is on probation after a quarantine, or
// a job failed on it less than avoidFor ago and none that started since has run
// well.
func (w *worker) mayBeFaulty(now time.Time) bool {
	return w.probation || w.lastFailure.After(w.lastSuccess) && now.Sub(w.lastFailure) < avoidFor
}

// Exhausted reports whether a job has failed too often: in all, or by its own
// fault. A failure is the job's own if another job that started later ran well
// on the worker, or if no other job has failed there.
func (p *policy) Exhausted(id job.ID) bool {
	t, ok := p.jobs[id]
	if !ok {
		return false
	}
	own := 0
	for _, f := range t.workerFailures {
		if f.worker.lastSuccess.After(f.at) || !f.worker.failedOthers(t) {
			own++
		}
	}
	return own >= maxOwnFailures || t.failures >= MaxFailures
}
