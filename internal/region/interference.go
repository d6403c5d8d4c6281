package region

import (
	"fmt"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/interference"
	"github.com/lovageroad/lovageroad/internal/work"
)

// droppedLogInterval is the least time between two log lines on figures that were dropped.
const droppedLogInterval = 10 * time.Second

type (
	observation = interference.Observation[control.AgentID, string]
	reading     = interference.Reading[string]

	// interferenceState is what the leader knows of tasks that slow each other down. A
	// newcomer learns it anew.
	interferenceState struct {
		learner *interference.Learner[control.AgentID, string]

		// serves says that there has been a job with tasks that serve. Without one, nothing is
		// learned, placed apart or paced.
		serves bool

		// guaranteed are the guaranteed jobs of the last plan, which aren't paced.
		guaranteed map[*job]bool

		// dropped is the number of dropped figures that was logged last, at droppedAt.
		dropped   uint64
		droppedAt time.Time
	}
)

// WithHarmBound sets how long on end a task that serves may be over its objective because of work
// that fills beside it. Zero means that nothing is paced.
func WithHarmBound(bound time.Duration) Option {
	return func(c *Config) { c.HarmBound = bound }
}

// hasObjective reports whether the tasks of a step serve requests and have a latency objective.
func hasObjective(s work.Step) bool {
	return s.LongRunning && s.LatencyObjective > 0 && !s.Opportunistic
}

// observeInterference learns from a report about tasks that serve beside others that fill, and
// decides how far the latter are slowed down.
func (c *Core) observeInterference(now time.Time, w *worker, r control.Report) {
	if !c.interference.serves {
		return
	}
	o := observation{Worker: w.id, Age: listingAge}
	worst, reduction, named := 0.0, 0, true
	for _, listed := range r.Tasks {
		_, s, t := c.find(listed.ID)
		if t == nil || t.worker != w || t.run != listed.Run || listed.Phase != control.Running {
			continue
		}
		switch {
		case hasObjective(*s.spec):
			if listed.Usage == 0 {
				continue
			}
			load := listed.Usage * float64(time.Millisecond) / float64(s.spec.LatencyObjective)
			if s.spec.Image != "" {
				o.Serving = append(o.Serving, reading{Image: s.spec.Image, Load: load})
			}
			worst = max(worst, load)
		case s.spec.Opportunistic:
			named = named && s.spec.Image != ""
			reduction = max(reduction, listed.Reduction)
			if s.spec.Image != "" {
				o.Filling = append(o.Filling, s.spec.Image)
			}
		}
	}
	o.Unclear = !named || reduction > 0 || w.pacer != nil && w.pacer.Percent() < interference.FullSpeed
	if len(o.Serving) > 0 {
		c.interference.learner.Observe(now, o)
		c.logBeliefs(now)
	}
	c.pace(now, w, worst, reduction)
}

// logBeliefs logs beliefs that have changed, and figures that were dropped.
func (c *Core) logBeliefs(now time.Time) {
	for _, change := range c.interference.learner.Changes(now) {
		c.log(LogEntry{
			Event: "interference judged", Outcome: change.Verdict.String(), Slowdown: change.Slowdown, Count: int(change.Weight), Age: change.Age,
			Detail: fmt.Sprintf("%s beside %s, deviation %.2f", change.Filling, change.Serving, change.Deviation),
		})
	}
	s := &c.interference
	if dropped := s.learner.Dropped(); dropped > s.dropped && now.Sub(s.droppedAt) >= droppedLogInterval {
		c.log(LogEntry{Event: "interference figures dropped", Count: int(dropped - s.dropped)})
		s.dropped, s.droppedAt = dropped, now
	}
}

// pace decides how far what fills on a worker is slowed down, given the highest load of the tasks
// that serve there, and the reduction that the agent reports.
func (c *Core) pace(now time.Time, w *worker, load float64, reduction int) {
	if c.config.HarmBound <= 0 {
		return
	}
	serves, paceable := c.paceable(w)
	if !serves || len(paceable) == 0 {
		c.releasePace(w, paceable)
		return
	}
	if w.pacer == nil {
		w.pacer = interference.NewPacer(c.config.HarmBound, interference.FullSpeed-reduction)
	}
	over := w.pacer.OverSince()
	action := w.pacer.Step(now, load)
	percent := w.pacer.Percent()
	for _, id := range paceable {
		_, _, t := c.find(id)
		if percent < interference.FullSpeed {
			t.comparable, t.paced = false, true
		}
		if action != interference.Kept {
			entry := LogEntry{Event: "task paced", Task: id, Run: t.run, Worker: w.id, Outcome: action.String(), Count: percent, Slowdown: load}
			if !over.IsZero() {
				entry.Age = now.Sub(over)
			}
			c.log(entry)
		}
	}
	if action != interference.Kept {
		w.markOrdersPending()
	}
}

// releasePace gives all speed back to what fills on a worker, since nothing serves there any more
// or none of it may be slowed down.
func (c *Core) releasePace(w *worker, tasks []work.TaskID) {
	if w.pacer == nil {
		return
	}
	reduced := w.pacer.Percent() < interference.FullSpeed
	w.pacer = nil
	if !reduced {
		return
	}
	w.markOrdersPending()
	for _, id := range tasks {
		c.log(LogEntry{Event: "task paced", Task: id, Run: w.placements[id].run, Worker: w.id, Outcome: interference.Returned.String(), Count: interference.FullSpeed})
	}
}

// paceable returns whether tasks serve on the worker, and the tasks that fill there and may be
// slowed down.
func (c *Core) paceable(w *worker) (serves bool, tasks []work.TaskID) {
	for _, id := range w.taskIDs() {
		j, s, t := c.find(id)
		switch {
		case t == nil || t.worker != w:
		case hasObjective(*s.spec):
			serves = true
		case s.spec.Opportunistic && c.mayPace(w, j, s):
			tasks = append(tasks, id)
		}
	}
	return serves, tasks
}

// mayPace reports whether the tasks of a step that fill on the worker may be slowed down: a
// guarantee and a gang go first, and an image that is harmless to all that serve there isn't the
// cause.
func (c *Core) mayPace(w *worker, j *job, s *step) bool {
	if s.spec.Gang || c.interference.guaranteed[j] {
		return false
	}
	for id := range w.placements {
		_, other, t := c.find(id)
		if t != nil && t.worker == w && hasObjective(*other.spec) &&
			c.interference.learner.Belief(c.now, other.spec.Image, s.spec.Image).Verdict != interference.Harmless {
			return true
		}
	}
	return false
}

// percentOf returns the percent at which the tasks of a step that fill on the worker work.
func (c *Core) percentOf(w *worker, j *job, s *step) int {
	if w.pacer == nil || w.pacer.Percent() == interference.FullSpeed || !c.mayPace(w, j, s) {
		return interference.FullSpeed
	}
	return w.pacer.Percent()
}
