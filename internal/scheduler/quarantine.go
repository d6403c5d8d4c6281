package scheduler

import (
	"slices"
	"time"
)

const (
	// quarantineAfter is the number of jobs that must fail on a worker, one after
	// the other, before it is kept from work.
	quarantineAfter = 3

	// maxBans bounds how often the time of quarantine doubles.
	maxBans = 2

	// elsewhere is the number of workers on which a job has failed from which on
	// the job is blamed.
	elsewhere = 2

	// quarantinePart is the part of the floor that may be in quarantine.
	quarantinePart = 4
)

// blame notes that a job failed on a worker, and keeps the worker from work if
// it fails all that it starts.
func (p *policy) blame(t *task, w *worker) {
	if len(t.avoid) >= elsewhere {
		p.pardon(t)
		return
	}
	if slices.Contains(w.blames, t.ID) {
		return
	}
	w.blames = append(w.blames, t.ID)
	if w.probation || len(w.blames) >= quarantineAfter {
		p.quarantine(w)
	}
}

// pardon takes the blame for a job that fails everywhere off the workers.
func (p *policy) pardon(t *task) {
	for _, id := range t.avoid {
		if w, ok := p.floor.byID[id]; ok {
			w.blames = without(w.blames, t.ID)
		}
	}
}

func (p *policy) quarantine(w *worker) {
	if !w.until.IsZero() || (len(p.floor.suspects)+1)*quarantinePart > max(quarantinePart, len(p.floor.workers)) {
		return
	}
	w.until = p.now.Add(p.config.Quarantine << min(w.bans, maxBans))
	w.bans++
	w.blames = nil
	w.probation = true
	p.floor.suspects = append(p.floor.suspects, w)
	p.vacateCells(w)
}

func (p *policy) endQuarantines() {
	p.floor.suspects = slices.DeleteFunc(p.floor.suspects, func(w *worker) bool {
		if p.now.Before(w.until) {
			return false
		}
		w.until = time.Time{}
		p.broken = true
		p.free()
		return true
	})
}

// absolve notes that a job ran well on its workers.
func (t *task) absolve() {
	for _, s := range t.shares {
		s.worker.blames = nil
		if s.worker.probation && s.worker.until.IsZero() {
			s.worker.probation = false
			s.worker.bans = max(0, s.worker.bans-1)
		}
	}
}

// learnFailure takes a failed run: who is to blame, and when the job is tried
// again.
func (p *policy) learnFailure(t *task, outcome Outcome) {
	t.failures++
	t.failed = p.now
	w, ok := p.floor.byID[outcome.Blamed]
	if !ok {
		return
	}
	if !slices.Contains(t.avoid, w.ID) {
		t.avoid = append(t.avoid, w.ID)
		if len(t.avoid) > max(elsewhere, len(p.floor.workers)/2) {
			t.avoid = t.avoid[1:]
		}
	}
	p.blame(t, w)
}

// wait returns when a job may start again.
func (p *policy) wait(t *task) time.Time {
	tries := max(t.failures, t.retries)
	if tries == 0 {
		return p.now
	}
	return p.now.Add(min(maxBackoff, firstBackoff<<min(tries-1, 10)))
}
