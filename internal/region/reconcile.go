package region

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/work"
)

// reconcileTasks compares the tasks that the runner has with those that it should
// have.
func (c *Core) reconcileTasks(now time.Time, w *worker, r control.Report) {
	present := make(map[work.TaskID]work.Run, len(r.Tasks))
	for _, t := range r.Tasks {
		present[t.ID] = max(present[t.ID], t.Run)
		c.reconcileTask(now, w, t)
	}
	for _, id := range w.taskIDs() {
		p := w.placements[id]
		if run, ok := present[id]; ok && run == p.run || p.isUnknown() {
			continue
		}
		// The run has ended if the runner listed it before, or if the agent has
		// received the order to start it.
		if p.reported || p.sentSeq != 0 && r.Applied >= p.sentSeq {
			c.removeRun(now, w, id, p.run, "gone")
		}
	}
	c.observeInterference(now, w, r)
	if w.awaitingReport {
		w.awaitingReport = false
		w.markOrdersPending()
		c.logReport(now, "agent listed", w, r, "")
	}
}

// reconcileTask applies the reported state of one task at a runner. The task may be
// one that this leader ordered, one that an earlier leader ordered, or one that
// must stop.
func (c *Core) reconcileTask(now time.Time, w *worker, r control.Task) {
	p := w.placements[r.ID]
	if p == nil || p.run != r.Run {
		p = c.addUnordered(now, w, r)
	}
	if !p.reported {
		p.reported = true
		w.onStartSettled()
	}
	if p.startExpiry.IsZero() {
		p.startExpiry = now.Add(c.leaseTimeout())
	}
	j, s, t := c.find(r.ID)
	if t == nil || t.worker != w || t.run != r.Run {
		return
	}
	t.reported = true
	t.noteListed(now)
	c.keepWithdrawn(w, p, j, t)
	c.markBegun(now, j)
	if r.Percent > t.percent {
		t.progressAt = now
	}
	t.percent = r.Percent
	t.paced = t.paced || r.Reduction > 0
	if r.Checkpoint != "" && s.spec.Checkpoints {
		s.setCheckpoint(t, r.Checkpoint)
	}
}

// setCheckpoint records the saved progress of a task. For a gang it applies to all
// members.
func (s *step) setCheckpoint(t *task, checkpoint work.Checkpoint) {
	if !s.spec.Gang {
		t.checkpoint = checkpoint
		return
	}
	for i := range s.tasks {
		s.tasks[i].checkpoint = checkpoint
	}
}

// addUnordered adds the placement of a run that the worker has but that this leader
// did not order there. It adopts the run if the task is waiting and not placed
// elsewhere. Otherwise the run is orphaned and will be stopped.
func (c *Core) addUnordered(now time.Time, w *worker, r control.Task) *placement {
	c.addReported(now, r.ID)
	j, _, t := c.find(r.ID)
	p := &placement{run: r.Run, confirmed: r.Phase == control.Running && !w.runnerGone, abandoned: w.lost, orphaned: true}
	w.startsAbandoned = w.startsAbandoned || w.lost
	if j != nil && r.ID.Step >= 0 && r.ID.Step < len(j.Job.Steps) {
		p.request = j.Job.Steps[r.ID.Step].Request()
	}
	waits := t != nil && t.worker == nil
	if other := w.placements[r.ID]; other != nil {
		c.removeRun(now, w, r.ID, other.run, "another run is there")
	}
	adopt := waits && !j.hasEnded() && !t.done && r.Run > t.run && c.placementCount[r.ID] == 0
	c.addPlacement(w, r.ID, p)
	if !adopt {
		c.log(LogEntry{Event: "stray task", Task: r.ID, Run: r.Run, Worker: w.id, Outcome: strayReason(j, t, r), Detail: c.otherRuns(w, r.ID)})
		w.markOrdersPending()
		return p
	}
	p.orphaned = false
	t.worker, t.run, t.reported, t.stopping, t.orderedAt, t.comparable, t.paced = w, r.Run, true, false, now, false, false
	c.log(LogEntry{Event: "task adopted", Task: r.ID, Run: r.Run, Worker: w.id})
	return p
}

// strayReason says why a run that this leader did not order is not adopted.
func strayReason(j *job, t *task, r control.Task) string {
	switch {
	case j == nil:
		return "job unknown"
	case j.hasEnded():
		return "job ended"
	case t == nil && r.ID.Occurrence < j.opened:
		return "done"
	case t == nil:
		return "task unknown"
	case t.done:
		return "done"
	case t.worker != nil:
		return "placed elsewhere"
	case r.Run <= t.run:
		return "superseded run"
	}
	return "not yet ended elsewhere"
}

// otherRuns describes the runs of a task that may be using capacity of other
// workers.
func (c *Core) otherRuns(w *worker, id work.TaskID) string {
	if c.placementCount[id] < 2 {
		return ""
	}
	var others []string
	for _, other := range c.sortedWorkers() {
		if p := other.placements[id]; p != nil && other != w {
			others = append(others, fmt.Sprintf("run %d on %s, listed %t", p.run, other.id, p.reported))
		}
	}
	return strings.Join(others, "; ")
}

// addPlacement records that a task uses capacity of a worker.
func (c *Core) addPlacement(w *worker, id work.TaskID, p *placement) {
	w.placements[id] = p
	c.placementCount[id]++
}

// removePlacement records that a task no longer uses capacity of a worker.
func (c *Core) removePlacement(w *worker, id work.TaskID) {
	delete(w.placements, id)
	w.onStartSettled()
	if c.placementCount[id]--; c.placementCount[id] == 0 {
		delete(c.placementCount, id)
	}
}

// removeRun frees the capacity of a run and lets its task wait again. The other
// members of its gang are stopped.
func (c *Core) removeRun(now time.Time, w *worker, id work.TaskID, run work.Run, reason string) {
	p := w.placements[id]
	if p == nil || p.run != run {
		return
	}
	c.removePlacement(w, id)
	c.replan = true
	_, s, t := c.find(id)
	if t == nil || t.worker != w || t.run != run {
		return
	}
	t.worker, t.reported, t.stopping, t.percent = nil, false, false, 0
	if !t.done {
		c.log(LogEntry{Event: "task waits again", Task: id, Run: run, Worker: w.id, Outcome: reason, Age: now.Sub(t.orderedAt)})
		c.stopGang(s, run)
	}
}

// applyRefusal records that a run did not start and never will. Its task waits for
// the back-off and then prefers other workers.
func (c *Core) applyRefusal(now time.Time, w *worker, r control.Refusal) {
	_, _, t := c.find(r.Task)
	if t != nil && t.worker == w && t.run == r.Run && !t.stopping {
		t.retryAt = now.Add(c.config.RefusalBackoff + c.noteSetback(t))
		t.avoidWorker(w.id)
	}
	c.removeRun(now, w, r.Task, r.Run, "refused: "+r.Reason)
}

// avoidWorker makes the task run on other workers as long as they have free
// capacity.
func (t *task) avoidWorker(id control.AgentID) {
	if !slices.Contains(t.avoid, id) {
		t.avoid = append(t.avoid, id)
	}
}
