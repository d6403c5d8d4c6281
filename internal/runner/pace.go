package runner

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
)

const (
	// paceRetry is the time after which a pace is sent again that was not confirmed.
	paceRetry = 700 * time.Millisecond

	// refusedPaceRetry is the time after which a pace is sent again that the runner refused: one
	// that is not well, or has no such call.
	refusedPaceRetry = 2 * time.Second

	// latePace is how long after it was sent a pace without an answer may still take effect.
	latePace = 5 * time.Second

	// fullSpeed is the percent at which a run works that isn't paced.
	fullSpeed = 100
)

// pace is the reduction of a run's speed, which is 100 less the percent at which it works: the
// ordered one and the last that the runner confirmed. ordered says that orders name the run.
type pace struct {
	wanted, applied int
	ordered         bool

	// unknown says that the runner's percent isn't known, since another process of the agent
	// may have set it.
	unknown bool

	// sentAt is when the last call was sent, doubtUntil until when an earlier one without an
	// answer may take effect. It would undo a later one.
	sentAt, doubtUntil time.Time
}

// applyPaces records the percents that a leader orders.
func (c *Core) applyPaces(paces []control.Pace) {
	for _, t := range c.tasks {
		t.pace.wanted, t.pace.ordered = 0, false
	}
	for _, p := range paces {
		if t := c.tasks[runKey{p.Task, p.Run}]; t != nil {
			t.pace.wanted, t.pace.ordered = fullSpeed-min(max(p.Percent, 0), fullSpeed), true
		}
	}
}

// due reports whether the runner must be told the percent.
func (p *pace) due(now time.Time) bool {
	differs := p.wanted != p.applied || p.unknown && p.ordered || now.Before(p.doubtUntil)
	return differs && now.Sub(p.sentAt) >= paceRetry
}

// sendPaces tells the runner the percents that it doesn't have.
func (c *Core) sendPaces(now time.Time) {
	if c.runner == nil || c.runnerGone {
		return
	}
	for _, key := range c.sortedRuns() {
		t := c.tasks[key]
		if t.phase != control.Running || t.stopWanted || !t.pace.due(now) {
			continue
		}
		t.pace.sentAt = now
		percent := fullSpeed - t.pace.wanted
		c.log("pace sent", "task", key.task.String(), "run", key.run, "percent", percent, "before", fullSpeed-t.pace.applied, "orders", c.applied)
		c.effects = append(c.effects, PaceTask{
			Runner: c.runner.ID, Pace: control.Pace{Task: key.task, Run: key.run, Percent: percent}, Token: c.nextToken(),
		})
	}
}

// onPaceResult handles the runner's answer to a pace.
func (c *Core) onPaceResult(now time.Time, e PaceResult) {
	t := c.tasks[runKey{e.Call.Pace.Task, e.Call.Pace.Run}]
	if t == nil || c.runner == nil || c.runner.ID != e.Call.Runner {
		return
	}
	c.recordContact(now, e.Answer)
	switch e.Answer {
	case Accepted:
		t.pace.applied, t.pace.unknown = fullSpeed-e.Call.Pace.Percent, false
		if t.pace.applied != t.pace.wanted {
			t.pace.sentAt = time.Time{}
		}
	case NoAnswer, OtherIncarnation:
		t.pace.doubtUntil = now.Add(latePace)
	case Refused:
		t.pace.sentAt = now.Add(refusedPaceRetry - paceRetry)
	}
}
