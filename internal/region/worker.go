package region

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/table"
)

type (
	// worker is an agent with its runner, as the leader knows them.
	worker struct {
		id   control.AgentID
		life control.Life
		seq  uint64

		// fence counts the lives of the agent that this leader has met.
		fence  uint16
		serial control.Serial
		runner *control.Runner
		listed bool
		dark   bool

		// row tells a later leader that the agent may run tasks. Nothing starts
		// on the worker before the row is there; it goes when nothing runs any more.
		row ownRow

		// changing says that a write of the row may be under way, and recording that
		// it adds the row or keeps it.
		changing, recording bool

		// unheard says that a former leader knew the agent and that it has not
		// reported to this one yet: it may run anything until the hold has
		// passed.
		unheard bool

		// expiry is when all that runs has lapsed unless the leader speaks to
		// the agent before.
		expiry time.Time
		lost   bool

		// blind says that the agent does not know its runner, so that it can't renew
		// the lease of what runs there.
		blind bool
		held  map[work.TaskID]*hold

		// counted is the last end taken in, noted the last one that is durable.
		counted, noted control.EndID
		ends           []end

		// woken says that there are orders that the agent has not been sent.
		woken bool

		// streak counts failures since the last task that was done.
		streak int
		rest   time.Time
	}

	// hold is a task that takes room on a worker, or may take it.
	hold struct {
		run      work.Run
		claim    work.Resources
		reported bool

		// sent is the first word of the present life that carried the start.
		sent  control.Serial
		stray bool
	}

	// end is an end that is not durable yet.
	end struct {
		n      control.EndID
		job    *job
		change uint64
	}
)

// sorted returns the workers in the order of their names.
func (c *Core) sorted() []*worker {
	workers := make([]*worker, 0, len(c.workers))
	for _, w := range c.workers {
		workers = append(workers, w)
	}
	slices.SortFunc(workers, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	return workers
}

// notify has the worker's agent sent its orders.
func (w *worker) notify() {
	w.woken = true
}

func (c *Core) newWorker(now time.Time, id control.AgentID) *worker {
	w := &worker{id: id, held: make(map[work.TaskID]*hold), expiry: now.Add(c.patience())}
	w.row.key = AgentPrefix + table.Key(id)
	c.workers[id] = w
	return w
}

// recorded reports whether the table knows of the agent.
func (w *worker) recorded() bool {
	return w.row.version != table.Absent
}

// runs reports whether something may run on the worker. Nothing starts on one
// that drains, so that it is done with when the last task has ended.
func (w *worker) runs() bool {
	drained := w.runner != nil && w.runner.Draining && len(w.held) == 0
	return !w.lost && !w.dark && !drained
}

// Report takes in what an agent knows. It returns false if the report is older
// than one taken in before.
func (c *Core) Report(now time.Time, r control.Report) bool {
	w, ok := c.workers[r.Agent]
	if !ok {
		w = c.newWorker(now, r.Agent)
	}
	if r.Life == w.life && r.Seq <= w.seq {
		return false
	}
	if r.Life != w.life {
		w.reborn(r.Life)
		c.log(Line{Event: "agent joined", Worker: w.id, Count: len(r.Tasks)})
	}
	w.seq = r.Seq
	w.blind = r.Runner == nil
	if w.lost && !w.blind {
		w.lost = false
		c.log(Line{Event: "worker back", Worker: w.id})
	}
	if r.Epoch != c.epoch {
		r.Heard = 0
	}
	c.meet(now, w, r)
	return true
}

// reborn takes note of another process of the agent, which knows no orders.
func (w *worker) reborn(life control.Life) {
	w.life = life
	w.fence++
	w.listed = false
	w.serial = 0
	for _, h := range w.held {
		h.sent = 0
	}
	w.notify()
}

// meet compares what the agent says with what the leader believes.
func (c *Core) meet(now time.Time, w *worker, r control.Report) {
	if r.Runner == nil {
		return
	}
	if w.runner == nil || w.runner.ID != r.Runner.ID {
		c.replace(now, w, r)
	}
	if w.runner == nil || w.runner.Draining != r.Runner.Draining || w.dark != r.Lost {
		c.plan = true
	}
	runner := *r.Runner
	w.runner = &runner
	w.dark = r.Lost
	for _, e := range r.Ends {
		c.end(now, w, e)
	}
	for _, refusal := range r.Refusals {
		c.refused(now, w, refusal)
	}
	if w.listed != r.Listed {
		w.listed = r.Listed
		c.plan = true
	}
	if r.Listed {
		c.list(now, w, r)
	}
}

// replace takes note of another life of the runner: what the former one ran is
// gone.
func (c *Core) replace(now time.Time, w *worker, r control.Report) {
	if w.runner != nil {
		c.log(Line{Event: "runner replaced", Worker: w.id, Runner: r.Runner.ID, Count: len(w.held)})
		c.release(now, w)
	}
	w.counted, w.noted, w.ends = 0, 0, nil
	w.streak, w.rest = 0, time.Time{}
	c.plan = true
}

// lose gives up all that ran on a worker.
func (c *Core) lose(now time.Time, w *worker, why string) {
	w.lost = true
	w.listed, w.unheard = false, false
	c.log(Line{Event: "worker lost", Worker: w.id, Outcome: why, Count: len(w.held)})
	c.release(now, w)
}

// release makes all tasks of a worker wait again.
func (c *Core) release(now time.Time, w *worker) {
	for _, id := range w.tasks() {
		c.vacate(now, w, id, w.held[id].run, "lost")
	}
}

// tasks returns what the worker holds, in a fixed order.
func (w *worker) tasks() []work.TaskID {
	ids := make([]work.TaskID, 0, len(w.held))
	for id := range w.held {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareTasks)
	return ids
}

func compareTasks(a, b work.TaskID) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index),
	)
}

// list compares the tasks that the runner has with those that it should have.
func (c *Core) list(now time.Time, w *worker, r control.Report) {
	present := make(map[work.TaskID]work.Run, len(r.Tasks))
	for _, t := range r.Tasks {
		present[t.ID] = max(present[t.ID], t.Run)
		c.listTask(now, w, t)
	}
	for _, id := range w.tasks() {
		h := w.held[id]
		if run, ok := present[id]; ok && run == h.run {
			continue
		}
		if h.reported || h.sent != 0 && r.Heard >= h.sent {
			c.vacate(now, w, id, h.run, "gone")
		}
	}
	w.unheard = false
}

// listTask takes note of one task at a runner: it is one that was ordered, one
// that a former leader ordered, or one that must stop.
func (c *Core) listTask(now time.Time, w *worker, r control.Task) {
	h := w.held[r.ID]
	if h == nil || h.run != r.Run {
		h = c.discover(now, w, r)
	}
	h.reported = true
	j, s, t := c.find(r.ID)
	if t == nil || t.worker != w || t.run != r.Run {
		return
	}
	t.reported = true
	c.begin(now, j)
	t.percent = r.Percent
	if r.Checkpoint != "" && s.spec.Checkpoints {
		s.keep(t, r.Checkpoint)
	}
}

// keep takes note of saved progress, which holds for the whole gang.
func (s *step) keep(t *task, checkpoint work.Checkpoint) {
	if !s.spec.Gang {
		t.checkpoint = checkpoint
		return
	}
	for i := range s.tasks {
		s.tasks[i].checkpoint = checkpoint
	}
}

// discover takes note of a task that this leader did not order on the worker.
func (c *Core) discover(now time.Time, w *worker, r control.Task) *hold {
	j, s, t := c.find(r.ID)
	h := &hold{run: r.Run, stray: true}
	if t != nil {
		h.claim = s.spec.Claim()
	}
	if w.held[r.ID] != nil {
		c.unhold(w, r.ID)
	}
	adopt := t != nil && !j.over() && !t.done && t.worker == nil && r.Run > t.run && c.held[r.ID] == 0
	c.hold(w, r.ID, h)
	if !adopt {
		c.log(Line{Event: "stray task", Task: r.ID, Run: r.Run, Worker: w.id})
		w.notify()
		return h
	}
	h.stray = false
	t.worker, t.run, t.reported, t.stopping, t.ordered = w, r.Run, true, false, now
	c.log(Line{Event: "task adopted", Task: r.ID, Run: r.Run, Worker: w.id})
	return h
}

// hold takes note that a task takes room on a worker.
func (c *Core) hold(w *worker, id work.TaskID, h *hold) {
	w.held[id] = h
	c.held[id]++
}

// unhold takes note that a task does not take room on a worker any more.
func (c *Core) unhold(w *worker, id work.TaskID) {
	delete(w.held, id)
	if c.held[id]--; c.held[id] == 0 {
		delete(c.held, id)
	}
}

// vacate frees the room of a run and lets its task wait again.
func (c *Core) vacate(now time.Time, w *worker, id work.TaskID, run work.Run, why string) {
	h := w.held[id]
	if h == nil || h.run != run {
		return
	}
	c.unhold(w, id)
	c.plan = true
	_, s, t := c.find(id)
	if t == nil || t.worker != w || t.run != run {
		return
	}
	t.worker, t.reported, t.stopping, t.percent = nil, false, false, 0
	if !t.done {
		c.log(Line{Event: "task waits again", Task: id, Run: run, Worker: w.id, Outcome: why, Age: now.Sub(t.ordered)})
		c.breakGang(s, run)
	}
}

// refused takes note of a run that did not start and never will.
func (c *Core) refused(now time.Time, w *worker, r control.Refusal) {
	_, _, t := c.find(r.Task)
	if t != nil && t.worker == w && t.run == r.Run && !t.stopping {
		t.retry = now.Add(c.config.Retry)
		t.shun(w.id)
	}
	c.vacate(now, w, r.Task, r.Run, "refused: "+r.Reason)
}

// shun keeps the task off a worker while others have room.
func (t *task) shun(id control.AgentID) {
	if !slices.Contains(t.avoid, id) {
		t.avoid = append(t.avoid, id)
	}
}
