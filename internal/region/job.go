package region

import (
	"fmt"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/configuration"
	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// Queued is the state of a job of which no task has started.
	Queued State = "queued"

	// Running is the state of a job that has begun.
	Running State = "running"

	// Completed is the state of a job whose tasks are all done.
	Completed State = "completed"

	// Failed is the state of a job that can't be done.
	Failed State = "failed"

	// Cancelled is the state of a job that its caller cancelled.
	Cancelled State = "cancelled"
)

// maxAge is the longest time for which a job is taken to have waited before its
// leader learned of it: more than any outage that leaves callers waiting.
const maxAge = 10 * time.Minute

type (
	// State is how far a job is.
	State string

	// Submission is a job as a gate accepted it, with what its queue said then.
	Submission struct {
		Job      work.Job      `cbor:"1,keyasint"`
		Pool     work.PoolID   `cbor:"2,keyasint"`
		Priority work.Priority `cbor:"3,keyasint,omitempty"`
		Attempts int           `cbor:"4,keyasint,omitempty"`
		Stretch  float64       `cbor:"5,keyasint,omitempty"`
		Slack    time.Duration `cbor:"6,keyasint,omitempty"`

		// Accepted is the time of day at which the gate took the job in.
		Accepted work.Date `cbor:"7,keyasint,omitempty"`
	}

	job struct {
		Submission

		// stored is the version at which the job was accepted.
		stored table.Version
		state  State

		// known is when a gate took the job in, or when this leader learned of it
		// if the gate does not say.
		known       time.Time
		began       bool
		occurrences []*occurrence
		finished    int
		ended       time.Time

		// revoked says that there is a row of the job's cancellation.
		revoked bool

		// changed and saved count the changes of the record and those of them
		// that are durable; shown is the durable state.
		changed, saved uint64
		shown          State

		// row is the row of the record.
		row ownRow
	}

	// occurrence is one run of the steps of a job.
	occurrence struct {
		number int
		due    time.Time
		steps  []*step
		done   bool
	}

	step struct {
		id    work.StepID
		spec  *work.Step
		tasks []task
		done  int
		ready time.Time

		// failed are the runs of a gang that failed.
		failed failures
	}

	// failures are runs that failed, as often as the queue allows.
	failures []work.Run

	task struct {
		done bool

		// worker is where the task is ordered to run, nil while it waits.
		worker   *worker
		run      work.Run
		reported bool
		stopping bool
		ordered  time.Time

		// serial is the word that carries the order, 0 before it is sent.
		serial control.Serial

		failed     failures
		checkpoint work.Checkpoint
		percent    int
		retry      time.Time
		preempted  int
		avoid      []control.AgentID
	}
)

// queue returns what the configuration says of a job's queue now, or what it
// said when the job was accepted if the queue is gone.
func (c *Core) queue(j *job) configuration.Queue {
	if c.settings != nil {
		if q := c.settings.Queue(j.Job.Queue); q != nil {
			return *q
		}
	}
	return configuration.Queue{
		ID: j.Job.Queue, Pool: j.Pool, Priority: j.Priority,
		Attempts: j.Attempts, Stretch: j.Stretch, Slack: j.Slack,
	}
}

// Admit takes a job that is stored. A job that is known already is left as it
// is.
func (c *Core) Admit(now time.Time, s Submission, stored table.Version) {
	if _, ok := c.jobs[s.Job.ID]; ok {
		return
	}
	j := &job{Submission: s, stored: stored, state: Queued, shown: Queued, known: c.since(now, s.Accepted)}
	j.row.key = RecordPrefix + table.Key(s.Job.ID)
	c.jobs[s.Job.ID] = j
	c.live = append(c.live, j)
	c.plan = true
	c.log(Line{Event: "job admitted", Job: s.Job.ID, Detail: describe(s.Job), Count: len(s.Job.Steps)})
	if c.cancelled[s.Job.ID] {
		delete(c.cancelled, s.Job.ID)
		j.revoked = true
		c.finish(now, j, Cancelled)
		return
	}
	c.advance(now, j)
}

// since returns when a job was taken in by the core's clock. Times of day that
// can't be are clocks that are wrong.
func (c *Core) since(now time.Time, accepted work.Date) time.Time {
	if accepted == 0 {
		return now
	}
	known := accepted.Time().Add(-c.day)
	if known.After(now) || now.Sub(known) > maxAge {
		return now
	}
	return known
}

// due returns when an occurrence is due by the core's clock. The zero time is at
// once.
func (c *Core) due(j *job, occurrence int) time.Time {
	due := j.Job.Due(occurrence)
	if due.IsZero() {
		return due
	}
	return due.Add(-c.day)
}

// describe returns the shape of a job's first step, for the log.
func describe(j work.Job) string {
	if len(j.Steps) == 0 {
		return "no steps"
	}
	s := j.Steps[0]
	return fmt.Sprintf("%dx%d/%d/%d gang=%t rack=%t data=%s requires=%s spread=%d fills=%t saves=%t long=%t est=%s",
		s.Count, s.Need.Processor, s.Need.Memory, s.Need.Accelerators, s.Gang, s.SameRack, s.Data, s.Requires,
		s.Spread, s.Filler, s.Checkpoints, s.LongRunning, s.Estimate)
}

// Cancel ends a job on its caller's behalf. A job that is not known yet ends when
// it comes, since jobs and cancellations are read side by side.
func (c *Core) Cancel(now time.Time, id work.JobID) {
	j, ok := c.jobs[id]
	if !ok {
		c.cancelled[id] = true
		return
	}
	j.revoked = true
	if !j.over() {
		c.finish(now, j, Cancelled)
	}
}

// State returns the durable state of a job, and false if it is not known.
func (c *Core) State(id work.JobID) (State, bool) {
	j, ok := c.jobs[id]
	if !ok {
		return "", false
	}
	if j.shown == Queued && j.began {
		return Running, true
	}
	return j.shown, true
}

// Waiting returns how many jobs of a queue have not begun.
func (c *Core) Waiting(queue work.QueueID) int {
	n := 0
	for _, j := range c.live {
		if j.Job.Queue == queue && !j.began && !j.over() {
			n++
		}
	}
	return n
}

func (j *job) over() bool {
	return j.state == Completed || j.state == Failed || j.state == Cancelled
}

// begin takes note that a task of the job runs.
func (c *Core) begin(now time.Time, j *job) {
	if j.began {
		return
	}
	j.began = true
	c.log(Line{Event: "job began", Job: j.Job.ID, Age: now.Sub(j.known)})
}

// advance lets occurrences become due and ends those whose steps are done.
func (c *Core) advance(now time.Time, j *job) {
	if j.over() {
		return
	}
	for n := len(j.occurrences); n < j.Job.Occurrences(); n++ {
		due := c.due(j, n)
		if due.After(now) {
			break
		}
		j.occurrences = append(j.occurrences, newOccurrence(j, n, due))
		c.plan = true
	}
	j.finished = 0
	for _, o := range j.occurrences {
		o.advance(now)
		if o.done {
			j.finished++
		}
	}
	if j.finished == j.Job.Occurrences() {
		c.finish(now, j, Completed)
	}
}

func newOccurrence(j *job, number int, due time.Time) *occurrence {
	o := &occurrence{number: number, due: due, steps: make([]*step, len(j.Job.Steps))}
	for i := range j.Job.Steps {
		spec := &j.Job.Steps[i]
		o.steps[i] = &step{
			id:   work.StepID{Job: j.Job.ID, Occurrence: number, Step: i},
			spec: spec, tasks: make([]task, spec.Count),
		}
	}
	return o
}

// advance makes steps ready whose predecessors are done.
func (o *occurrence) advance(now time.Time) {
	o.done = true
	for _, s := range o.steps {
		if s.done < len(s.tasks) {
			o.done = false
		}
		if s.ready.IsZero() && !slices.ContainsFunc(s.spec.After, func(i int) bool {
			return o.steps[i].done < len(o.steps[i].tasks)
		}) {
			s.ready = now
		}
	}
}

// finish ends a job and stops what still runs of it.
func (c *Core) finish(now time.Time, j *job, state State) {
	j.state = state
	j.ended = now
	c.touch(j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			c.halt(s)
		}
	}
	c.plan = true
	c.log(Line{Event: "job ended", Job: j.Job.ID, Outcome: string(state), Age: now.Sub(j.known)})
}

// halt tells all tasks of a step to stop.
func (c *Core) halt(s *step) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.worker != nil && !t.stopping {
			t.stopping = true
			t.worker.notify()
		}
	}
}

// touch marks the record of a job as changed.
func (c *Core) touch(j *job) {
	c.changes++
	j.changed = c.changes
}

// prune takes ended jobs off the list of live ones when their end is durable.
func (c *Core) prune() {
	c.live = slices.DeleteFunc(c.live, func(j *job) bool {
		durable := j.over() && j.saved >= j.changed
		if durable {
			c.past = append(c.past, j)
		}
		return durable
	})
}

// find returns a task with its job and step, or nil.
func (c *Core) find(id work.TaskID) (*job, *step, *task) {
	j, ok := c.jobs[id.Job]
	if !ok || id.Occurrence >= len(j.occurrences) {
		return j, nil, nil
	}
	o := j.occurrences[id.Occurrence]
	if id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return j, nil, nil
	}
	s := o.steps[id.Step]
	return j, s, &s.tasks[id.Index]
}
