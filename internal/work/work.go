// Package work defines jobs and what they consist of: the steps and tasks that a
// caller submits, the resources that a task needs, and the names that callers and
// runners use for them.
package work

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxSpecBytes is the largest length of a job's spec, in bytes.
	MaxSpecBytes = 4000

	// MaxSteps is the largest number of steps of a job.
	MaxSteps = 100

	// MaxTasks is the largest number of tasks in one occurrence of a job.
	MaxTasks = 20_000

	// MaxOccurrenceTasks is the largest number of tasks in all occurrences of a job.
	// All of them may be due at once, and the leader keeps each in memory.
	MaxOccurrenceTasks = 100_000

	// MaxResource bounds each resource that a task may request, so that sums over
	// all tasks do not overflow 64 bits.
	MaxResource = 1 << 40
)

type (
	// JobID names a job. The caller chooses it.
	JobID string

	// QueueID names a queue of the configuration.
	QueueID string

	// AccountID names a client account.
	AccountID string

	// PoolID names the back-end service whose runners carry out the tasks of a
	// queue.
	PoolID string

	// RackID names a rack.
	RackID string

	// ZoneID names a data centre.
	ZoneID string

	// Label is a property of a runner that a step may require.
	Label string

	// Timestamp is a point in time, in milliseconds since 1970 (Unix time).
	Timestamp int64

	// Priority orders queues. Zero is the most urgent.
	Priority int

	// Run numbers the starts of a task. A later start has a higher number, also
	// under another leader. All members of a gang have the same run.
	Run uint64

	// Checkpoint names the progress of a task that its runner saved. It is empty if
	// there is none.
	Checkpoint string

	// Millicores is an amount of processor in thousandths of a core.
	Millicores int64

	// Mebibytes is an amount of memory.
	Mebibytes int64

	// Resources are what a task needs or what a worker has.
	Resources struct {
		Processor    Millicores `cbor:"1,keyasint,omitempty"`
		Memory       Mebibytes  `cbor:"2,keyasint,omitempty"`
		Accelerators int64      `cbor:"3,keyasint,omitempty"`
	}

	// StepID names a step in one occurrence of a job.
	StepID struct {
		Job        JobID `cbor:"1,keyasint"`
		Occurrence int   `cbor:"2,keyasint,omitempty"`
		Step       int   `cbor:"3,keyasint,omitempty"`
	}

	// TaskID names a task of a step. Index counts from 0.
	TaskID struct {
		StepID
		Index int `cbor:"4,keyasint,omitempty"`
	}

	// Step is a number of identical tasks. Need is what each task uses, and
	// Estimate the run time of one task as its caller expects it, 0 if not stated.
	Step struct {
		Count    int           `cbor:"1,keyasint"`
		Need     Resources     `cbor:"2,keyasint"`
		Estimate time.Duration `cbor:"3,keyasint,omitempty"`

		// After lists the indexes of earlier steps that must be done before this
		// one starts.
		After []int `cbor:"4,keyasint,omitempty"`

		// Checkpoints says that the tasks save their progress.
		Checkpoints bool `cbor:"5,keyasint,omitempty"`

		// Gang says that the tasks make progress only while all of them run, and
		// that they end together.
		Gang bool `cbor:"6,keyasint,omitempty"`

		// SameRack says that the tasks are slow unless all run in one rack.
		SameRack bool `cbor:"7,keyasint,omitempty"`

		// Requires is a label that the runner must have. Empty means none.
		Requires Label `cbor:"8,keyasint,omitempty"`

		// DataRack is the rack that holds the input data. Outside it the tasks are
		// slow.
		DataRack RackID `cbor:"9,keyasint,omitempty"`

		// MaxPerRunner is the largest number of tasks of the step on one runner. Zero
		// means no limit.
		MaxPerRunner int `cbor:"10,keyasint,omitempty"`

		// Speculative says that several copies of a task may run at the same time.
		// The scheduler does not use it.
		Speculative bool `cbor:"11,keyasint,omitempty"`

		// LongRunning says that the tasks run until the job is cancelled.
		LongRunning bool `cbor:"12,keyasint,omitempty"`

		// Opportunistic says that the tasks use only otherwise idle processor time: their
		// processor need does not count against a runner's capacity.
		Opportunistic bool `cbor:"13,keyasint,omitempty"`

		// Image names the program that the tasks run. Tasks with the same image are
		// expected to behave alike.
		Image string `cbor:"14,keyasint,omitempty"`

		// LatencyObjective is the latency objective of a long-running task that serves
		// requests. Zero means none.
		LatencyObjective time.Duration `cbor:"15,keyasint,omitempty"`

		// MaxUnavailable is how many tasks of a long-running step the scheduler may make
		// unavailable at the same time. It is not enforced.
		MaxUnavailable int `cbor:"16,keyasint,omitempty"`
	}

	// Job is what a caller submits. Spec is passed to the runners unread.
	Job struct {
		ID      JobID     `cbor:"1,keyasint"`
		Queue   QueueID   `cbor:"2,keyasint"`
		Account AccountID `cbor:"3,keyasint,omitempty"`
		Spec    string    `cbor:"4,keyasint,omitempty"`
		Steps   []Step    `cbor:"5,keyasint"`

		// OccurrenceCount is the number of occurrences, each of which runs all steps at
		// its due time. Zero means one occurrence that is due at once.
		OccurrenceCount int `cbor:"6,keyasint,omitempty"`

		// FirstDue is when the first occurrence is due; the others follow at the
		// interval.
		FirstDue Timestamp     `cbor:"7,keyasint,omitempty"`
		Interval time.Duration `cbor:"8,keyasint,omitempty"`
	}

	// InvalidError names the field of a job that is invalid, and why.
	InvalidError struct {
		Field  string
		Reason string
	}
)

func (e *InvalidError) Error() string {
	return e.Field + ": " + e.Reason
}

// TimestampOf converts a time to a Timestamp.
func TimestampOf(t time.Time) Timestamp {
	return Timestamp(t.UnixMilli())
}

// Time converts the timestamp to a time.
func (t Timestamp) Time() time.Time {
	return time.UnixMilli(int64(t))
}

// String returns the step's name as callers and runners see it:
// job.occurrence.step.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// String returns the task's name as runners see it: job.occurrence.step.index.
func (t TaskID) String() string {
	return t.StepID.String() + "." + strconv.Itoa(t.Index)
}

// ParseTask parses a name as TaskID.String writes it. It returns false if the name
// is malformed.
func ParseTask(name string) (TaskID, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, false
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, false
		}
		numbers[i] = n
	}
	step := StepID{Job: JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1]}
	return TaskID{StepID: step, Index: numbers[2]}, true
}

// Add returns the sum of two amounts.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.Processor + other.Processor, r.Memory + other.Memory, r.Accelerators + other.Accelerators}
}

// Sub returns the difference of two amounts.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.Processor - other.Processor, r.Memory - other.Memory, r.Accelerators - other.Accelerators}
}

// Fits reports whether r is at most capacity in each resource.
func (r Resources) Fits(capacity Resources) bool {
	return r.Processor <= capacity.Processor && r.Memory <= capacity.Memory && r.Accelerators <= capacity.Accelerators
}

// Request returns what one task of the step uses of a runner's capacity: its need,
// without processor if the step is Opportunistic.
func (s Step) Request() Resources {
	request := s.Need
	if s.Opportunistic {
		request.Processor = 0
	}
	return request
}

// Occurrences returns the number of occurrences of the job, at least 1.
func (j Job) Occurrences() int {
	return max(j.OccurrenceCount, 1)
}

// Due returns when an occurrence is due. The zero time means at once.
func (j Job) Due(occurrence int) time.Time {
	if j.OccurrenceCount <= 0 {
		return time.Time{}
	}
	return j.FirstDue.Time().Add(time.Duration(occurrence) * j.Interval)
}

// Scheduled reports whether the job's occurrences have due times.
func (j Job) Scheduled() bool {
	return j.OccurrenceCount > 0
}

// Check returns an *InvalidError if the job is invalid. It does not look at the ID,
// the queue or the account.
func (j Job) Check() error {
	switch {
	case len(j.Spec) > MaxSpecBytes:
		return &InvalidError{"spec", fmt.Sprintf("longer than %d bytes", MaxSpecBytes)}
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return &InvalidError{"steps", fmt.Sprintf("must have 1 to %d entries", MaxSteps)}
	case j.OccurrenceCount < 0 || j.Interval < 0:
		return &InvalidError{"repeats", "negative"}
	}
	tasks := 0
	for i, s := range j.Steps {
		if err := s.check(i); err != nil {
			return err
		}
		tasks += s.Count
	}
	if tasks > MaxTasks {
		return &InvalidError{"steps", fmt.Sprintf("more than %d tasks", MaxTasks)}
	}
	if j.OccurrenceCount > MaxOccurrenceTasks/tasks {
		return &InvalidError{"repeats", fmt.Sprintf("more than %d tasks in all occurrences", MaxOccurrenceTasks)}
	}
	return nil
}

func (s Step) check(index int) error {
	field := fmt.Sprintf("steps[%d]", index)
	n := s.Need
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return &InvalidError{field, fmt.Sprintf("count must be 1 to %d", MaxTasks)}
	case n.Processor < 0 || n.Memory < 0 || n.Accelerators < 0:
		return &InvalidError{field, "a resource need is negative"}
	case n.Processor > MaxResource || n.Memory > MaxResource || n.Accelerators > MaxResource:
		return &InvalidError{field, "a resource need is above the maximum"}
	case s.Estimate < 0 || s.MaxPerRunner < 0 || s.MaxUnavailable < 0:
		return &InvalidError{field, "estimate, spread or may_miss is negative"}
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return &InvalidError{field, "after lists a step that is not an earlier one"}
		}
	}
	return nil
}
