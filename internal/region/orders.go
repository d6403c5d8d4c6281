package region

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/interference"
	"github.com/lovageroad/lovageroad/internal/plan"
)

const (
	// idleReportRate is how many reports per second the leader lets all agents send
	// together while it has no new orders, as far as maxReportWait allows: as
	// many as 70 agents, the size that the users run, send at an interval of 0.6 s.
	idleReportRate = 120

	// minReportWait and maxReportWait bound how long an answer waits for new orders.
	// maxReportWait leaves 0.5 s of the time in which agents accept an answer,
	// Config.MaxOrdersAge, to the network.
	minReportWait = 600 * time.Millisecond
	maxReportWait = time.Second

	// pacedReportWait is how long answers to the agent wait while a task that serves there is
	// over its objective or what fills is paced.
	pacedReportWait = 300 * time.Millisecond

	// orderTimeout is how long an agent that reports may apply no orders before its hold is
	// no longer extended: more than two heartbeats of a runner, which an agent waits for
	// if its runner has started again. maxUnapplied is how many orders it must have got
	// in that time: more than an agent has reports in flight.
	orderTimeout = 4 * time.Second
	maxUnapplied = 5

	// maxStartBytes is the size of the starts in an answer above which no further one is
	// added, far below the largest message that an agent reads (control.MaxMessageBytes).
	maxStartBytes = 1 << 20

	// startOverhead is the size of a start without its spec: its names and its checkpoint.
	startOverhead = 200
)

// reportWait returns how long the answer to a report waits for new orders (long
// polling). It grows with the number of agents, so that the leader's load from them
// does not.
func (c *Core) reportWait() time.Duration {
	return min(max(time.Duration(len(c.workers))*time.Second/idleReportRate, minReportWait), maxReportWait)
}

// OrdersPending reports whether there are orders that have not been sent to the agent.
func (c *Core) OrdersPending(agent control.AgentID) bool {
	w := c.workers[agent]
	return w != nil && w.ordersPending
}

// Orders returns the answer to a report of an incarnation of an agent. It holds
// orders if a report of this incarnation under this epoch was the last one applied, if
// the agent knows its runner and the runner is not gone, and if it has listed what it
// runs for earlier leaders. Sending orders renews the hold of all tasks on the runner.
func (c *Core) Orders(now time.Time, agent control.AgentID, incarnation control.Incarnation) control.Orders {
	w := c.workers[agent]
	if w == nil {
		return control.Orders{Leads: true, Epoch: c.epoch}
	}
	number, _ := w.hear(incarnation)
	fence := w.fences[number-1]
	if number != w.joined {
		return c.epochOnly(fence)
	}
	w.ordersPending = false
	if w.awaitingReport || w.runnerUnknown || w.runnerGone || w.appliesNothing(now) {
		// Tasks must not be held for longer than this leader waits for them. It
		// does not wait longer for tasks that it doesn't know of, for an agent
		// that can't renew the runner's lease or doesn't apply its orders, nor for a
		// runner that is gone.
		return c.epochOnly(fence)
	}
	w.holdExpiry = now.Add(c.holdTimeout())
	w.ordersSeq++
	orders := control.Orders{Leads: true, Epoch: c.epoch, Seq: w.ordersSeq, Fence: fence, Acked: w.lastAcknowledged, ReportWait: c.reportWait()}
	if w.runner != nil {
		orders.Runner = w.runner.ID
	}
	starting := 0
	w.startsLeft = false
	orders.Evacuated = c.evacuated(w)
	held := c.startsHeld(now)
	orders.ReportUsage = c.interference.serves
	if w.pacer != nil && (!w.pacer.OverSince().IsZero() || w.pacer.Percent() < interference.FullSpeed) {
		orders.ReportWait = pacedReportWait
	}
	for _, id := range w.taskIDs() {
		p := w.placements[id]
		j, s, t := c.find(id)
		wanted := t != nil && t.worker == w && t.run == p.run && !p.orphaned
		switch {
		case p.isUnknown():
		case !wanted || t.stopping:
			orders.Stops = append(orders.Stops, control.Stop{Task: id, Run: p.run})
		case p.reported:
			if s.spec.Opportunistic && c.interference.serves && c.config.HarmBound > 0 {
				orders.Paces = append(orders.Paces, control.Pace{Task: id, Run: p.run, Percent: c.percentOf(w, j, s)})
			}
		case held || starting >= maxStartBytes:
			w.startsLeft = true
		default:
			starting += len(j.Job.Spec) + startOverhead
			orders.Starts = append(orders.Starts, control.Start{Task: id, Run: p.run, Spec: j.Job.Spec, Checkpoint: t.checkpoint})
			if p.sentSeq == 0 {
				p.sentSeq = w.ordersSeq
			}
			p.startExpiry = now.Add(c.leaseTimeout())
		}
	}
	return orders
}

// epochOnly returns an answer without orders, from which an agent learns the epoch.
// Since it names no runner, the agent does not apply it.
func (c *Core) epochOnly(fence uint16) control.Orders {
	return control.Orders{Leads: true, Epoch: c.epoch, Fence: fence, ReportWait: c.reportWait()}
}

// schedulable reports whether tasks may start on the worker.
func (w *worker) schedulable(now time.Time) bool {
	return !w.lost && !w.unproven && !w.appliesNothing(now) && w.listComplete && !w.runnerGone && w.hasRow() && !w.writingRow && !w.row.versionUnknown && !w.runner.Draining && !now.Before(w.coolDownUntil)
}

// planView returns the worker as the planner needs it, without the tasks on it.
func (w *worker) planView(now time.Time) plan.Worker {
	v := plan.Worker{ID: plan.WorkerID(w.id), Unschedulable: true}
	if w.runner == nil {
		return v
	}
	v.Pool, v.Rack, v.Labels, v.Capacity = w.runner.Pool, w.runner.Rack, w.runner.Labels, w.runner.Capacity
	v.Unschedulable = !w.schedulable(now)
	v.Penalty = float64(w.failureStreak)
	return v
}
