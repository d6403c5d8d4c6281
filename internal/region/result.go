package region

import (
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/work"
)

const (
	// failureStreakLimit is how many failures without a success in between exclude
	// a worker for a while: one more than a job that fails by its own fault is
	// likely to cause alone.
	failureStreakLimit = 3

	// failingCoolDown is how long a worker that fails every task gets no work, so
	// that it spends less than a tenth of its time on further attempts.
	failingCoolDown = 4 * time.Second

	// failureBackoff is the wait after a failure, so that a job that always fails
	// does not retry in a tight loop.
	failureBackoff = 50 * time.Millisecond
)

// applyResult applies the result of a run that an agent reports. It ignores results
// that it has already applied.
func (c *Core) applyResult(now time.Time, w *worker, e control.Result) {
	if e.ID <= w.lastApplied {
		return
	}
	w.lastApplied = e.ID
	c.addReported(now, e.Task)
	j, s, t := c.find(e.Task)
	pending := pendingResult{id: e.ID}
	if t != nil && !j.hasEnded() {
		c.applyOutcome(now, w, j, s, t, e)
	}
	if j != nil {
		// The result of a job that has ended depends on a durable end, too: until
		// then a later leader may go on with the job.
		pending.job, pending.change = j, j.lastChange
	}
	w.pendingResults = append(w.pendingResults, pending)
	c.removeRun(now, w, e.Task, e.Run, string(e.Outcome))
	c.acknowledgeResults()
	w.markOrdersPending()
	c.log(LogEntry{Event: "task ended", Task: e.Task, Run: e.Run, Worker: w.id, Outcome: string(e.Outcome), Count: int(e.ID)})
}

// applyOutcome updates the task that the run belongs to.
func (c *Core) applyOutcome(now time.Time, w *worker, j *job, s *step, t *task, e control.Result) {
	if e.Checkpoint != "" && s.spec.Checkpoints {
		s.setCheckpoint(t, e.Checkpoint)
		c.markChanged(j)
	}
	switch e.Outcome {
	case control.Done:
		w.failureStreak, w.coolDownUntil = 0, time.Time{}
		c.taskDone(now, j, s, t, e)
	case control.Failed:
		c.taskFailed(now, w, j, s, t, e)
	}
}

// taskDone records that a task, or a whole gang, has done its work.
func (c *Core) taskDone(now time.Time, j *job, s *step, t *task, e control.Result) {
	if s.spec.LongRunning || t.done {
		return
	}
	if t.worker != nil && t.run == e.Run {
		c.recordRunTime(j, s, now.Sub(t.orderedAt), t)
		c.recordSpeeds(now, s, t)
	}
	if s.spec.Gang {
		for i := range s.tasks {
			s.complete(&s.tasks[i], e.Run)
		}
	} else {
		s.complete(t, e.Run)
	}
	if s.done == len(s.tasks) {
		c.closeSpeeds(j, s)
	}
	c.markChanged(j)
	c.advance(now, j)
}

// complete marks a task as done. If another run of it is active, that run is
// stopped.
func (s *step) complete(t *task, run work.Run) {
	if t.done {
		return
	}
	t.done = true
	s.done++
	if t.worker != nil && t.run != run {
		t.stopping = true
		t.worker.markOrdersPending()
	}
}

// taskFailed records a failed run: it may exclude the worker for a while, makes the
// task wait before its next attempt, and fails the job if the attempts of its queue
// are used up. A run is counted once against the attempts.
func (c *Core) taskFailed(now time.Time, w *worker, j *job, s *step, t *task, e control.Result) {
	w.failureStreak++
	if w.failureStreak >= failureStreakLimit {
		w.coolDownUntil = now.Add(failingCoolDown)
		c.log(LogEntry{Event: "worker rests", Worker: w.id, Count: w.failureStreak})
	}
	t.avoidWorker(w.id)
	t.retryAt = now.Add(failureBackoff)
	c.markChanged(j)
	if s.spec.LongRunning {
		t.retryAt = t.retryAt.Add(c.noteSetback(t))
		return
	}
	failed := &t.failed
	if s.spec.Gang {
		failed = &s.failed
	}
	if limit := c.queue(j).MaxFailures; failed.add(e.Run) && limit > 0 && len(*failed) >= limit {
		c.finish(now, j, Failed)
	}
}

// add records a failed run and returns false if it was already recorded. Failures
// on several workers may be reported in any order.
func (f *failures) add(run work.Run) bool {
	if slices.Contains(*f, run) {
		return false
	}
	*f = append(*f, run)
	return true
}

// acknowledgeResults acknowledges the results that have become durable, so that
// their agents stop reporting them.
func (c *Core) acknowledgeResults() {
	for _, w := range c.workers {
		before := w.lastAcknowledged
		for len(w.pendingResults) > 0 {
			first := w.pendingResults[0]
			if first.job != nil && first.job.durableChange < first.change {
				break
			}
			w.lastAcknowledged = first.id
			w.pendingResults = w.pendingResults[1:]
		}
		if w.lastAcknowledged != before {
			w.markOrdersPending()
		}
	}
}
