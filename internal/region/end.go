package region

import (
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/work"
)

const (
	// badStreak is how many failures without a success in between rest a
	// worker: one more than a job that fails on its own account is likely to
	// cause alone.
	badStreak = 3

	// restTime is how long a worker that fails everything gets no work, so that
	// it wastes less than a tenth of its time on trials.
	restTime = 4 * time.Second

	// retryFailed is the wait after a failure, so that a job that can't be done
	// does not spin.
	retryFailed = 50 * time.Millisecond
)

// end takes in the end of a run, once.
func (c *Core) end(now time.Time, w *worker, e control.End) {
	if e.N <= w.counted {
		return
	}
	w.counted = e.N
	j, s, t := c.find(e.Task)
	pending := end{n: e.N}
	if t != nil && !j.over() {
		c.outcome(now, w, j, s, t, e)
		pending.job, pending.change = j, j.changed
	}
	w.ends = append(w.ends, pending)
	c.vacate(now, w, e.Task, e.Run, string(e.Outcome))
	c.note()
	w.notify()
	c.log(Line{Event: "task ended", Task: e.Task, Run: e.Run, Worker: w.id, Outcome: string(e.Outcome), Count: int(e.N)})
}

// outcome applies the end of a run to its task.
func (c *Core) outcome(now time.Time, w *worker, j *job, s *step, t *task, e control.End) {
	if e.Checkpoint != "" && s.spec.Checkpoints {
		s.keep(t, e.Checkpoint)
		c.touch(j)
	}
	switch e.Outcome {
	case control.Done:
		w.streak, w.rest = 0, time.Time{}
		c.done(now, j, s, t, e)
	case control.Failed:
		c.failed(now, w, j, s, t, e)
	}
}

// done takes note that a task, or a whole gang, did its work.
func (c *Core) done(now time.Time, j *job, s *step, t *task, e control.End) {
	if s.spec.LongRunning || t.done {
		return
	}
	if t.worker != nil && t.run == e.Run {
		c.learn(j, s, now.Sub(t.ordered), t)
	}
	if s.spec.Gang {
		for i := range s.tasks {
			s.complete(&s.tasks[i], e.Run)
		}
	} else {
		s.complete(t, e.Run)
	}
	c.touch(j)
	c.advance(now, j)
}

// complete marks a task as done. A run of it other than the one that did the
// work is stopped.
func (s *step) complete(t *task, run work.Run) {
	if t.done {
		return
	}
	t.done = true
	s.done++
	if t.worker != nil && t.run != run {
		t.stopping = true
		t.worker.notify()
	}
}

// failed counts a failure, once for each run.
func (c *Core) failed(now time.Time, w *worker, j *job, s *step, t *task, e control.End) {
	w.streak++
	if w.streak >= badStreak {
		w.rest = now.Add(restTime)
		c.log(Line{Event: "worker rests", Worker: w.id, Count: w.streak})
	}
	t.shun(w.id)
	t.retry = now.Add(retryFailed)
	c.touch(j)
	if s.spec.LongRunning {
		return
	}
	failed := &t.failed
	if s.spec.Gang {
		failed = &s.failed
	}
	if limit := c.queue(j).Attempts; failed.add(e.Run) && limit > 0 && len(*failed) >= limit {
		c.finish(now, j, Failed)
	}
}

// add takes note of a run that failed, and returns false if it was known. Runs on
// several workers may become known in any order.
func (f *failures) add(run work.Run) bool {
	if slices.Contains(*f, run) {
		return false
	}
	*f = append(*f, run)
	return true
}

// note finds out which ends are durable.
func (c *Core) note() {
	for _, w := range c.workers {
		before := w.noted
		for len(w.ends) > 0 {
			first := w.ends[0]
			if first.job != nil && first.job.saved < first.change {
				break
			}
			w.noted = first.n
			w.ends = w.ends[1:]
		}
		if w.noted != before {
			w.notify()
		}
	}
}
