package region

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/work"
)

// gangShare is the part of the time that members of a gang wait after which one
// that is not complete is stopped, so that the stops arrive in time.
const gangShare = 0.6

// breakGang stops the other members of a gang of which one does not run.
func (c *Core) breakGang(s *step, run work.Run) {
	if !s.spec.Gang {
		return
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.worker != nil && t.run == run && !t.stopping {
			t.stopping = true
			t.worker.notify()
		}
	}
}

// mend breaks up gangs of which not all members were found.
func (c *Core) mend(time.Time) {
	for _, j := range c.live {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.spec.Gang && s.partial() {
					c.halt(s)
				}
			}
		}
	}
}

// partial reports whether only some members of a gang run, or not all in one
// run.
func (s *step) partial() bool {
	for i := range s.tasks[1:] {
		a, b := &s.tasks[0], &s.tasks[i+1]
		if (a.worker == nil) != (b.worker == nil) || a.worker != nil && a.run != b.run {
			return true
		}
	}
	return false
}

// watchGangs stops members of a gang that wait for others which do not come. A
// gang that has made progress is complete, though not all of it may be known yet.
func (c *Core) watchGangs(now time.Time, j *job) {
	limit := time.Duration(gangShare * float64(c.config.Gang))
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.spec.Gang && !o.done && s.waits(now, limit) {
				c.log(Line{Event: "gang incomplete", Task: work.TaskID{StepID: s.id}, Age: limit})
				c.halt(s)
			}
		}
	}
}

// waits reports whether a member of the gang has waited longer than the limit
// for one that does not run.
func (s *step) waits(now time.Time, limit time.Duration) bool {
	missing, waited := false, false
	for i := range s.tasks {
		t := &s.tasks[i]
		switch {
		case t.done || t.percent > 0 || t.stopping:
			return false
		case t.worker == nil || !t.reported:
			missing = true
		case now.Sub(t.ordered) > limit:
			waited = true
		}
	}
	return missing && waited
}
