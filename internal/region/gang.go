package region

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/work"
)

// gangWaitFraction is the part of a gang member's wait limit after which an
// incomplete gang is stopped, so that the stop orders arrive before the limit.
const gangWaitFraction = 0.6

// stopGang stops the other members of a gang after one member has stopped running.
func (c *Core) stopGang(s *step, run work.Run) {
	if !s.spec.Gang {
		return
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.worker != nil && t.run == run && !t.stopping {
			t.stopping = true
			t.worker.markOrdersPending()
		}
	}
}

// stopPartialGangs stops gangs of which a new leader has not found all members.
func (c *Core) stopPartialGangs(time.Time) {
	for _, j := range c.liveJobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.spec.Gang && s.partial() {
					c.stopTasks(s)
				}
			}
		}
	}
}

// partial reports whether only some members of a gang run, or they have different
// run numbers.
func (s *step) partial() bool {
	for i := range s.tasks[1:] {
		a, b := &s.tasks[0], &s.tasks[i+1]
		if (a.worker == nil) != (b.worker == nil) || a.worker != nil && a.run != b.run {
			return true
		}
	}
	return false
}

// stopIncompleteGangs stops a job's gang members that wait for others that do not
// start. A gang that has made progress is complete, even if not every member has
// been reported yet.
func (c *Core) stopIncompleteGangs(now time.Time, j *job) {
	limit := time.Duration(gangWaitFraction * float64(c.config.GangWait))
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.spec.Gang && !o.done && s.waitsTooLong(now, limit) {
				c.log(LogEntry{Event: "gang incomplete", Task: work.TaskID{StepID: s.id}, Age: limit})
				c.stopTasks(s)
			}
		}
	}
}

// waitsTooLong reports whether a member of the gang has waited longer than the
// limit for another that does not run.
func (s *step) waitsTooLong(now time.Time, limit time.Duration) bool {
	missing, waited := false, false
	for i := range s.tasks {
		t := &s.tasks[i]
		switch {
		case t.done || t.percent > 0 || t.stopping:
			return false
		case t.worker == nil || !t.reported:
			missing = true
		case now.Sub(t.orderedAt) > limit:
			waited = true
		}
	}
	return missing && waited
}
