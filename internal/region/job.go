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
	// Queued is the state of a job none of whose tasks has started.
	Queued State = "queued"

	// Running is the state of a job that has begun.
	Running State = "running"

	// Completed is the state of a job whose tasks are all done.
	Completed State = "completed"

	// Failed is the state of a job of which a task, or a gang, failed as often as
	// its queue allows.
	Failed State = "failed"

	// Cancelled is the state of a job that its caller cancelled.
	Cancelled State = "cancelled"
)

// maxArrivalAge is the greatest plausible age of a job when the leader learns of
// it. It exceeds any outage during which callers would wait.
const maxArrivalAge = 10 * time.Minute

type (
	// State is the state of a job as callers see it.
	State string

	// Submission is a job as a gate accepted it, with the settings of its queue at
	// that time. They are used if the queue has been removed since.
	Submission struct {
		Job                work.Job      `cbor:"1,keyasint"`
		Pool               work.PoolID   `cbor:"2,keyasint"`
		Priority           work.Priority `cbor:"3,keyasint,omitempty"`
		MaxFailures        int           `cbor:"4,keyasint,omitempty"`
		ObjectiveFactor    float64       `cbor:"5,keyasint,omitempty"`
		ObjectiveAllowance time.Duration `cbor:"6,keyasint,omitempty"`

		// AcceptedAt is the wall-clock time at which the gate accepted the job.
		AcceptedAt work.Timestamp `cbor:"7,keyasint,omitempty"`
	}

	// job is a submitted job and its progress.
	job struct {
		Submission

		// acceptedVersion is the table version at which the job was stored.
		acceptedVersion table.Version
		state           State

		// arrival is when a gate accepted the job, or when this leader learned of
		// it if the gate gave no time or an implausible one.
		arrival time.Time
		began   bool

		// occurrences are the open ones, in the order of their numbers. opened is how many
		// have been opened: those below it that are not open are done.
		occurrences []*occurrence
		opened      int
		endedAt     time.Time

		// hasCancelRow says that the table has a row for the job's cancellation.
		hasCancelRow bool

		// lastChange is the number of the last change to the job's record and
		// durableChange that of the last durable one. durableState is the state in
		// the durable record.
		lastChange, durableChange uint64
		durableState              State

		// row is the row of the job's record, and parts how many further rows it may have.
		row   trackedRow
		parts int
	}

	// occurrence is one execution of all steps of a job.
	occurrence struct {
		number int
		due    time.Time
		steps  []*step
		done   bool
	}

	// step is a step of an occurrence and its tasks. done counts the tasks that are
	// done; readyAt is when all predecessors were found to be done, or the zero time
	// while one is not.
	step struct {
		id      work.StepID
		spec    *work.Step
		tasks   []task
		done    int
		readyAt time.Time

		// failed are the failed runs of a gang.
		failed failures

		// ran are the run times by which speeds are learned, speedsLearned that this has
		// been done.
		ran           []speedSample
		speedsLearned bool
	}

	// failures are the distinct runs that failed. Their number is limited by the
	// queue's attempts.
	failures []work.Run

	// task is the state of one task. run is its last run. reported says that its
	// runner has listed the run, stopping that the run has been ordered to stop. No
	// run starts before retryAt, and the workers in avoid are used last.
	task struct {
		done bool

		// worker is where the task is ordered to run. It is nil while the task
		// waits.
		worker    *worker
		run       work.Run
		reported  bool
		stopping  bool
		orderedAt time.Time

		// startSeq is not used. The sequence number of the orders that carry the
		// start is in placement.sentSeq.
		startSeq control.OrdersSeq

		failed     failures
		checkpoint work.Checkpoint
		percent    int

		// comparable says that the present run starts where its speed is that of the
		// worker alone. percent was found to have grown at progressAt.
		comparable bool
		progressAt time.Time

		// paced says that the present run has been paced, so that its run time isn't that of
		// its work.
		paced bool

		retryAt     time.Time
		preemptions int

		// setbacks are the refused starts and, of a long-running task, the failures since it
		// last ran for a while.
		setbacks int
		avoid    []control.AgentID
	}
)

// queue returns the current settings of a job's queue, or those at its acceptance
// if the queue no longer exists.
func (c *Core) queue(j *job) configuration.Queue {
	if c.currentConfiguration != nil {
		if q := c.currentConfiguration.Queue(j.Job.Queue); q != nil {
			return *q
		}
	}
	return configuration.Queue{
		ID: j.Job.Queue, Pool: j.Pool, Priority: j.Priority,
		MaxFailures: j.MaxFailures, ObjectiveFactor: j.ObjectiveFactor, ObjectiveAllowance: j.ObjectiveAllowance,
	}
}

// Admit adds a stored job. It ignores a job that is already known.
func (c *Core) Admit(now time.Time, s Submission, acceptedVersion table.Version) {
	if _, ok := c.jobs[s.Job.ID]; ok {
		return
	}
	j := &job{Submission: s, acceptedVersion: acceptedVersion, state: Queued, durableState: Queued, arrival: c.arrivalTime(now, s.AcceptedAt)}
	j.row.key = RecordPrefix + table.Key(s.Job.ID)
	c.jobs[s.Job.ID] = j
	c.liveJobs = append(c.liveJobs, j)
	c.replan = true
	c.interference.serves = c.interference.serves || slices.ContainsFunc(j.Job.Steps, hasObjective)
	c.log(LogEntry{Event: "job admitted", Job: s.Job.ID, Detail: describe(s.Job), Count: len(s.Job.Steps), Version: acceptedVersion})
	if _, ok := c.earlyCancels[s.Job.ID]; ok {
		delete(c.earlyCancels, s.Job.ID)
		j.hasCancelRow = true
		c.finish(now, j, Cancelled)
		return
	}
	c.advance(now, j)
}

// arrivalTime converts the acceptance time of a job to the core's clock. It returns
// now for a time in the future or older than maxArrivalAge, which indicates a wrong
// clock.
func (c *Core) arrivalTime(now time.Time, accepted work.Timestamp) time.Time {
	if accepted == 0 {
		return now
	}
	arrival := accepted.Time().Add(-c.wallClockOffset)
	if arrival.After(now) || now.Sub(arrival) > maxArrivalAge {
		return now
	}
	return arrival
}

// due returns when an occurrence is due on the core's clock. The zero time means at
// once.
func (c *Core) due(j *job, occurrence int) time.Time {
	due := j.Job.Due(occurrence)
	if due.IsZero() {
		return due
	}
	return due.Add(-c.wallClockOffset)
}

// describe summarises a job's first step for the log: count x millicores / MiB /
// accelerators, and then its properties.
func describe(j work.Job) string {
	if len(j.Steps) == 0 {
		return "no steps"
	}
	s := j.Steps[0]
	return fmt.Sprintf("%dx%d/%d/%d gang=%t rack=%t data=%s requires=%s spread=%d fills=%t saves=%t long=%t est=%s",
		s.Count, s.Need.Processor, s.Need.Memory, s.Need.Accelerators, s.Gang, s.SameRack, s.DataRack, s.Requires,
		s.MaxPerRunner, s.Opportunistic, s.Checkpoints, s.LongRunning, s.Estimate)
}

// State returns the durable state of a job, or Running for a job that has begun and
// has no later durable state. It returns false if the job is not known.
func (c *Core) State(id work.JobID) (State, bool) {
	j, ok := c.jobs[id]
	if !ok {
		return "", false
	}
	if j.durableState == Queued && j.began {
		return Running, true
	}
	return j.durableState, true
}

// WaitingJobs returns the number of jobs of a queue that have not begun.
func (c *Core) WaitingJobs(queue work.QueueID) int {
	n := 0
	for _, j := range c.liveJobs {
		if j.Job.Queue == queue && !j.began && !j.hasEnded() {
			n++
		}
	}
	return n
}

// hasEnded reports whether the job is completed, failed or cancelled.
func (j *job) hasEnded() bool {
	return j.state == Completed || j.state == Failed || j.state == Cancelled
}

// markBegun records that a task of the job runs.
func (c *Core) markBegun(now time.Time, j *job) {
	if j.began {
		return
	}
	j.began = true
	c.log(LogEntry{Event: "job began", Job: j.Job.ID, Age: now.Sub(j.arrival)})
}

// advance makes steps ready, drops occurrences that are done, opens those that have become
// due, and completes the job if all its occurrences are done.
func (c *Core) advance(now time.Time, j *job) {
	if j.hasEnded() {
		return
	}
	unfinished := 0
	for _, o := range j.occurrences {
		o.advance(now)
		if !o.done {
			unfinished++
		}
	}
	j.occurrences = slices.DeleteFunc(j.occurrences, func(o *occurrence) bool { return o.done && !o.hasRuns() })
	for j.opened < j.Job.Occurrences() && unfinished < j.maxOpen() && !c.due(j, j.opened).After(now) {
		c.open(j).advance(now)
		unfinished++
		c.replan = true
	}
	if unfinished == 0 && j.opened == j.Job.Occurrences() {
		c.finish(now, j, Completed)
	}
}

// addReported adds the occurrence of a task that an agent reports, and those before it.
// They need not be due by this leader's clock: an earlier leader, by whose clock they
// were, has started the task.
func (c *Core) addReported(now time.Time, id work.TaskID) {
	j := c.jobs[id.Job]
	if j == nil || j.hasEnded() || id.Occurrence < j.opened || id.Occurrence >= j.Job.Occurrences() {
		return
	}
	for j.opened <= id.Occurrence {
		c.open(j)
	}
	c.log(LogEntry{Event: "occurrence found", Task: id, Age: now.Sub(c.due(j, id.Occurrence))})
	c.advance(now, j)
}

// finish ends a job and stops its running tasks.
func (c *Core) finish(now time.Time, j *job, state State) {
	j.state = state
	j.endedAt = now
	c.markChanged(j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			c.closeSpeeds(j, s)
			c.stopTasks(s)
		}
	}
	c.replan = true
	c.log(LogEntry{Event: "job ended", Job: j.Job.ID, Outcome: string(state), Age: now.Sub(j.arrival)})
}

// stopTasks orders all running tasks of a step to stop.
func (c *Core) stopTasks(s *step) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.worker != nil && !t.stopping {
			t.stopping = true
			t.worker.markOrdersPending()
		}
	}
}

// markChanged records that the job's record must be written.
func (c *Core) markChanged(j *job) {
	c.changes++
	j.lastChange = c.changes
}

// pruneEnded moves jobs whose end is durable from the live to the ended jobs.
func (c *Core) pruneEnded() {
	c.liveJobs = slices.DeleteFunc(c.liveJobs, func(j *job) bool {
		durable := j.hasEnded() && j.durableChange >= j.lastChange
		if durable {
			c.endedJobs = append(c.endedJobs, j)
		}
		return durable
	})
}

// find returns a task with its job and step, or nil for what is not known. The tasks of an
// occurrence that is not open are not known.
func (c *Core) find(id work.TaskID) (*job, *step, *task) {
	j, ok := c.jobs[id.Job]
	if !ok {
		return nil, nil, nil
	}
	o := j.occurrence(id.Occurrence)
	if o == nil || id.Step < 0 || id.Index < 0 || id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return j, nil, nil
	}
	s := o.steps[id.Step]
	return j, s, &s.tasks[id.Index]
}
