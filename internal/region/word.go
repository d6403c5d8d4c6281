package region

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/plan"
)

const (
	// reportRate is how many reports without news a leader takes in a second,
	// while maxPoll allows it: as many as the users' 70 agents sent each 0.6 s.
	reportRate = 120

	// minPoll and maxPoll bound how long answers without news wait. The hold is
	// renewed three times at least before it ends.
	minPoll = 600 * time.Millisecond
	maxPoll = 2 * time.Second
)

// poll returns how long answers without news wait, so that the leader's work for
// them does not grow with the number of agents.
func (c *Core) poll() time.Duration {
	return min(max(time.Duration(len(c.workers))*time.Second/reportRate, minPoll), maxPoll)
}

// Woken reports whether there are orders that the agent has not been sent.
func (c *Core) Woken(agent control.AgentID) bool {
	w := c.workers[agent]
	return w != nil && w.woken
}

// Word returns the orders for an agent. Sending it extends the hold of all that
// runs there, if the agent knows its runner.
func (c *Core) Word(now time.Time, agent control.AgentID) control.Word {
	w := c.workers[agent]
	if w == nil {
		return control.Word{Leads: true, Epoch: c.epoch}
	}
	if !w.blind {
		w.expiry = now.Add(c.patience())
	}
	w.woken = false
	w.serial++
	word := control.Word{Leads: true, Epoch: c.epoch, Serial: w.serial, Fence: w.fence, Noted: w.noted, Poll: c.poll()}
	if w.runner != nil {
		word.Runner = w.runner.ID
	}
	for _, id := range w.tasks() {
		h := w.held[id]
		j, _, t := c.find(id)
		ordered := t != nil && t.worker == w && t.run == h.run && !h.stray
		switch {
		case !ordered || t.stopping:
			word.Stops = append(word.Stops, control.Stop{Task: id, Run: h.run})
		case !h.reported:
			word.Starts = append(word.Starts, control.Start{Task: id, Run: h.run, Spec: j.Job.Spec, Checkpoint: t.checkpoint})
			if h.sent == 0 {
				h.sent = w.serial
			}
		}
	}
	return word
}

// open reports whether tasks may start on the worker.
func (w *worker) open(now time.Time) bool {
	return !w.lost && w.listed && !w.dark && w.recorded() && !w.changing && !w.row.unsure && !w.runner.Draining && !now.Before(w.rest)
}

// view returns the worker as the planner sees it.
func (w *worker) view(now time.Time) plan.Worker {
	v := plan.Worker{ID: plan.WorkerID(w.id), Closed: true}
	if w.runner == nil {
		return v
	}
	v.Pool, v.Rack, v.Labels, v.Capacity = w.runner.Pool, w.runner.Rack, w.runner.Labels, w.runner.Capacity
	v.Closed = !w.open(now)
	v.Doubt = float64(w.streak)
	return v
}
