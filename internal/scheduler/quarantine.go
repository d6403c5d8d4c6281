package scheduler

import (
	"slices"
	"time"
)

const (
	// quarantineAfter is the number of jobs that must fail on a worker, with no
	// success between, before it is put in quarantine.
	quarantineAfter = 3

	// maxQuarantineDoublings limits how often the length of a worker's quarantine
	// doubles.
	maxQuarantineDoublings = 2

	// jobFaultWorkers is the number of workers on which a job must fail before
	// its failures no longer count against workers.
	jobFaultWorkers = 2

	// quarantineDivisor limits the workers in quarantine to one in
	// quarantineDivisor, or to one worker if there are fewer.
	quarantineDivisor = 4
)

// countFailure counts the failure of a job against a worker, and puts the
// worker in quarantine if too many jobs have failed there. On probation one
// failure is enough.
func (p *policy) countFailure(t *jobEntry, w *worker) {
	if len(t.avoidWorkers) >= jobFaultWorkers {
		p.withdrawFailures(t)
		return
	}
	if slices.Contains(w.failedJobs, t.ID) {
		return
	}
	w.failedJobs = append(w.failedJobs, t.ID)
	if w.probation || len(w.failedJobs) >= quarantineAfter {
		p.quarantine(w)
	}
}

// withdrawFailures removes the failures of a job from those that count against
// workers.
func (p *policy) withdrawFailures(t *jobEntry) {
	for _, id := range t.avoidWorkers {
		if w, ok := p.floor.byID[id]; ok {
			w.failedJobs = without(w.failedJobs, t.ID)
		}
	}
}

// quarantine stops placing jobs on a worker for a time.
func (p *policy) quarantine(w *worker) {
	if !w.quarantinedUntil.IsZero() || (len(p.floor.quarantined)+1)*quarantineDivisor > max(quarantineDivisor, len(p.floor.workers)) {
		return
	}
	w.quarantinedUntil = p.now.Add(p.config.Quarantine << min(w.quarantines, maxQuarantineDoublings))
	w.quarantines++
	w.failedJobs = nil
	w.probation = true
	p.floor.quarantined = append(p.floor.quarantined, w)
	p.releaseGuarantees(w)
}

// endQuarantines makes workers usable again, on probation.
func (p *policy) endQuarantines() {
	p.floor.quarantined = slices.DeleteFunc(p.floor.quarantined, func(w *worker) bool {
		if p.now.Before(w.quarantinedUntil) {
			return false
		}
		w.quarantinedUntil = time.Time{}
		p.rebindDue = true
		p.noteFreed()
		return true
	})
}

// recordSuccess records that a job ran well on its workers.
func (t *jobEntry) recordSuccess() {
	for _, s := range t.shares {
		if t.startedAt.After(s.worker.lastSuccess) {
			s.worker.lastSuccess = t.startedAt
		}
		s.worker.failedJobs = nil
		if s.worker.probation && s.worker.quarantinedUntil.IsZero() {
			s.worker.probation = false
			s.worker.quarantines = max(0, s.worker.quarantines-1)
		}
	}
}

// recordFailure records a failed run, and the worker on which it failed.
func (p *policy) recordFailure(t *jobEntry, outcome Outcome) {
	t.failures++
	t.failedAt = p.now
	w, ok := p.floor.byID[outcome.FailedOn]
	if !ok {
		return
	}
	w.lastFailure = p.now
	t.workerFailures = append(t.workerFailures, workerFailure{worker: w, at: p.now})
	if !slices.Contains(t.avoidWorkers, w.ID) {
		t.avoidWorkers = append(t.avoidWorkers, w.ID)
		if n := len(p.floor.workers); len(t.avoidWorkers) > min(max(jobFaultWorkers, n/2), n-1) {
			t.avoidWorkers = t.avoidWorkers[1:]
		}
	}
	p.countFailure(t, w)
}

// retryAt returns when a job may start again: the back-off doubles with each
// failure, or with each run that ended early, up to maxBackoff.
func (p *policy) retryAt(t *jobEntry) time.Time {
	tries := max(t.failures, t.earlyEnds)
	if tries == 0 {
		return p.now
	}
	return p.now.Add(min(maxBackoff, firstBackoff<<min(tries-1, 10)))
}
