package region

import (
	"fmt"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
)

// markLost gives up a worker whose hold has expired, and the tasks that have ended by then.
func (c *Core) markLost(now time.Time, w *worker) {
	reason := "silent"
	if w.awaitingReport {
		reason = "not listed"
	}
	w.lost, w.unproven = true, true
	w.listComplete, w.awaitingReport = false, false
	c.log(LogEntry{Event: "worker lost", Worker: w.id, Outcome: reason, Age: now.Sub(w.heardAt), Count: len(w.placements), Detail: fmt.Sprintf("%d unconfirmed", w.unconfirmed())})
	for _, id := range w.taskIDs() {
		p := w.placements[id]
		if p.confirmed || now.After(p.startExpiry) {
			c.removeRun(now, w, id, p.run, "lost")
			continue
		}
		// The start may have reached the next incarnation of the runner, which then has
		// the longest lease.
		p.abandoned, w.startsAbandoned = true, true
		if _, _, t := c.find(id); t != nil && t.worker == w && t.run == p.run {
			t.stopping = true
		}
	}
}

// expireStarts makes the tasks of abandoned and former placements wait again whose starts were
// not confirmed, once their runs have ended.
func (c *Core) expireStarts(now time.Time, w *worker) {
	w.startsAbandoned = false
	for _, id := range w.taskIDs() {
		p := w.placements[id]
		switch {
		case p.confirmed || !p.abandoned && !p.former:
		case now.After(p.startExpiry):
			c.removeRun(now, w, id, p.run, "lost")
		default:
			w.startsAbandoned = true
		}
	}
}

// unconfirmed returns how many runs on the worker the runner may have got or may still
// get without the leader's knowledge.
func (w *worker) unconfirmed() int {
	n := 0
	for _, p := range w.placements {
		if !p.confirmed {
			n++
		}
	}
	return n
}

// isUnknown reports whether the agent's present process can't know of the run.
func (p *placement) isUnknown() bool { return p.former && !p.confirmed }

// confirm records which runs the runner has accepted or listed.
func (w *worker) confirm(tasks []control.Task) {
	for _, t := range tasks {
		if p := w.placements[t.ID]; p != nil && p.run == t.Run && t.Phase == control.Running {
			p.confirmed = true
		}
	}
}

// removeAllRuns makes all tasks of a worker wait again.
func (c *Core) removeAllRuns(now time.Time, w *worker) {
	for _, id := range w.taskIDs() {
		c.removeRun(now, w, id, w.placements[id].run, "lost")
	}
}
