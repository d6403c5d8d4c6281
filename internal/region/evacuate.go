package region

import (
	"time"
)

// standstill is the time without progress after which a task isn't expected to end soon: more
// than the time between two reports of an agent, and so short that a guarantee can be reclaimed
// from the task in time.
const standstill = time.Second

// evacuate stops the tasks on a worker whose runner has announced its end, if they can't
// end before it. They wait again as soon as they have stopped, with what they have saved,
// instead of when the loss of the worker is certain. A long-running task stays until the
// end, since it can't do any more elsewhere.
//
// It answers the load of VMs that are taken away at short notice with many tasks on each.
func (c *Core) evacuate(now time.Time, w *worker) {
	for _, id := range w.taskIDs() {
		p := w.placements[id]
		j, s, t := c.find(id)
		if t == nil || t.worker != w || t.run != p.run || t.stopping || s.spec.LongRunning {
			continue
		}
		left := c.remainingTime(now, j, s, t)
		if left <= w.runner.Remaining {
			continue
		}
		c.log(LogEntry{Event: "task evacuated", Task: id, Run: t.run, Worker: w.id, Remaining: left})
		t.stopping = true
		w.markOrdersPending()
		c.stopGang(s, t.run)
	}
}

// remainingTime estimates how long a task still runs, from its progress and from how
// long tasks of its queue usually run. The progress of a task that resumed from a
// checkpoint includes work of earlier runs, so that the longer of both counts.
func (c *Core) remainingTime(now time.Time, j *job, s *step, t *task) time.Duration {
	percent := min(max(t.percent, 0), 100)
	left := c.expectedHere(j, s, t) * time.Duration(100-percent) / 100
	if percent > 0 {
		left = max(left, now.Sub(t.orderedAt)*time.Duration(100-percent)/time.Duration(percent))
	}
	return left
}

// standsStill reports whether a task has made no progress for standstill, so that it can't be
// expected to end soon, however little is left of it.
func (t *task) standsStill(now time.Time) bool {
	last := t.progressAt
	if t.orderedAt.After(last) {
		last = t.orderedAt
	}
	return now.Sub(last) > standstill
}
