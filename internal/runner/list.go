package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
)

// onLook takes in what the runner lists.
func (c *Core) onLook(now time.Time, e LookResult) {
	if c.runner == nil || c.runner.ID != e.Call.Runner {
		return
	}
	if e.Call.Number == c.holds {
		c.waiting = false
	}
	switch e.Answer {
	case Accepted:
		if e.Call.Number == c.holds {
			c.take(now, e)
		}
	case Other:
		c.contact = now
		c.log("runner is another", "runner", c.runner.ID.Name)
		c.drop()
	default:
		c.nextAsk = now.Add(askAgain)
	}
}

// take compares the runner's list with what the agent believes.
func (c *Core) take(now time.Time, e LookResult) {
	c.clock, c.clockAt, c.contact = e.Clock, now, now
	c.acked = max(c.acked, e.Call.Noted)
	if c.gone || !c.listed {
		c.gone, c.listed, c.report = false, true, true
	}
	c.listing = e.Call.Number
	for _, end := range e.Ends {
		if end.N <= c.noted {
			continue
		}
		if _, known := c.ends[end.N]; !known {
			c.ends[end.N] = end
			c.report = true
		}
		delete(c.tasks, runKey{end.Task, end.Run})
	}
	present := make(map[runKey]bool, len(e.Tasks))
	for _, r := range e.Tasks {
		key := runKey{r.ID, r.Run}
		present[key] = true
		c.see(now, key, r)
	}
	for _, key := range c.keys() {
		if !present[key] {
			c.missing(key, e)
		}
	}
}

// see takes note of a task that the runner lists.
func (c *Core) see(now time.Time, key runKey, r control.Task) {
	t := c.tasks[key]
	if t == nil {
		t = &task{start: control.Start{Task: r.ID, Run: r.Run}, answered: now}
		c.tasks[key] = t
		c.report = true
	}
	if t.phase != control.Running || t.void {
		t.phase, t.answered, t.void = control.Running, now, false
		c.report = true
	}
	t.percent, t.saved = r.Percent, r.Checkpoint
}

// missing decides about a task that the runner does not list.
func (c *Core) missing(key runKey, e LookResult) {
	t := c.tasks[key]
	switch {
	case t.void && e.Call.Token > t.token:
		delete(c.tasks, key)
		c.refuse(key, "unanswered")
	case t.phase == control.Running && !t.void && e.Call.Sent.After(t.answered):
		delete(c.tasks, key)
		c.report = true
	}
}

// look asks the runner for its list, and at once if a start is in doubt.
func (c *Core) look(now time.Time) {
	if c.runner == nil || c.epoch == 0 || now.Before(c.nextAsk) {
		return
	}
	doubt := !c.listed || c.gone || slices.ContainsFunc(slices.Collect(maps.Values(c.tasks)), func(t *task) bool { return t.void })
	urgent := doubt && c.listing == 0
	if c.waiting && !urgent {
		return
	}
	if !doubt && len(c.tasks) == 0 && c.acked >= c.noted {
		return
	}
	wait := c.config.Look
	if doubt || len(c.tasks) == 0 {
		wait = 0
	}
	until := c.until
	if now.Sub(c.contact) > c.config.Dark {
		until = 0
	}
	c.tried = max(c.tried, until)
	c.holds++
	c.waiting, c.listing = true, c.holds
	c.effects = append(c.effects, Look{
		Runner: c.runner.ID, Number: c.holds, Sent: now, Token: c.token(), Until: until, Noted: c.noted, Wait: wait,
	})
}

// quiet reports whether the runner shows no sign of life, neither by answers nor
// by beats. It is not told to start anything then: each start might extend its
// lease, so that what it had could never be given up.
func (c *Core) quiet(now time.Time) bool {
	return now.Sub(c.contact) > c.config.Dark && now.Sub(c.beatAt) > c.config.Quiet
}

// expire gives up what a silent runner had, once its lease has run out by its
// own clock.
func (c *Core) expire(now time.Time) {
	if c.runner == nil || c.gone || !c.listed || now.Sub(c.contact) <= c.config.Dark {
		return
	}
	if len(c.tasks) == 0 && now.Sub(c.beatAt) <= c.config.Quiet {
		return
	}
	left := time.Duration(c.tried-c.clock) * time.Millisecond
	if now.Sub(c.clockAt) > left+left/25+c.config.Answer {
		c.log("runner silent", "runner", c.runner.ID.Name, "tasks", len(c.tasks), "age", now.Sub(c.contact))
		c.drop()
	}
}
