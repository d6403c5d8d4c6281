// Package work is the model of jobs that are made of steps and tasks: what a
// caller submits, what a worker runs, and what a task needs.
package work

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxSpec is the largest spec of a job in bytes.
	MaxSpec = 4000

	// MaxSteps is the largest number of steps of a job.
	MaxSteps = 100

	// MaxTasks is the largest number of tasks of one occurrence of a job.
	MaxTasks = 20_000

	// MaxResource bounds each resource that a task may ask for, so that sums
	// over all tasks stay within 64 bits.
	MaxResource = 1 << 40
)

type (
	// JobID names a job. Its caller chooses it.
	JobID string

	// QueueID names a queue of the configuration.
	QueueID string

	// AccountID names a client account.
	AccountID string

	// PoolID names a service whose runners carry out the tasks of a queue.
	PoolID string

	// RackID names a rack.
	RackID string

	// ZoneID names a data centre.
	ZoneID string

	// Label is a property of a runner that a step may require.
	Label string

	// Date is a time of day in milliseconds since 1970.
	Date int64

	// Priority orders queues; 0 comes first.
	Priority int

	// Run numbers the starts of a task. A later start has a higher number, also
	// under another leader. The members of a gang share it.
	Run uint64

	// Checkpoint names saved progress of a task at its runner. Empty is none.
	Checkpoint string

	// Millicores is an amount of processor in thousandths of a core.
	Millicores int64

	// Mebibytes is an amount of memory.
	Mebibytes int64

	// Resources are what a task needs, or what a worker has.
	Resources struct {
		Processor    Millicores `cbor:"1,keyasint,omitempty"`
		Memory       Mebibytes  `cbor:"2,keyasint,omitempty"`
		Accelerators int64      `cbor:"3,keyasint,omitempty"`
	}

	// StepID names a step of one occurrence of a job.
	StepID struct {
		Job        JobID `cbor:"1,keyasint"`
		Occurrence int   `cbor:"2,keyasint,omitempty"`
		Step       int   `cbor:"3,keyasint,omitempty"`
	}

	// TaskID names a task of a step.
	TaskID struct {
		StepID
		Index int `cbor:"4,keyasint,omitempty"`
	}

	// Step is a number of equal tasks.
	Step struct {
		Count    int           `cbor:"1,keyasint"`
		Need     Resources     `cbor:"2,keyasint"`
		Estimate time.Duration `cbor:"3,keyasint,omitempty"`

		// After lists earlier steps that must be done before this one starts.
		After []int `cbor:"4,keyasint,omitempty"`

		// Checkpoints says that the tasks save their progress.
		Checkpoints bool `cbor:"5,keyasint,omitempty"`

		// Gang says that the tasks work only together and end together.
		Gang bool `cbor:"6,keyasint,omitempty"`

		// SameRack says that the tasks are slow unless all are in one rack.
		SameRack bool `cbor:"7,keyasint,omitempty"`

		// Requires is a label that the runner must have, if not empty.
		Requires Label `cbor:"8,keyasint,omitempty"`

		// Data is the rack that holds the data. Elsewhere the tasks are slow.
		Data RackID `cbor:"9,keyasint,omitempty"`

		// Spread bounds the tasks of the step on one runner, if above 0.
		Spread int `cbor:"10,keyasint,omitempty"`

		// Speculative says that copies of a task may run at the same time.
		Speculative bool `cbor:"11,keyasint,omitempty"`

		// LongRunning says that the tasks run until the job is cancelled.
		LongRunning bool `cbor:"12,keyasint,omitempty"`

		// Filler says that the tasks take idle processor: their processor does
		// not count against a runner's capacity.
		Filler bool `cbor:"13,keyasint,omitempty"`

		// Image names what the tasks run. Tasks of one image behave alike.
		Image string `cbor:"14,keyasint,omitempty"`

		// Tail is the latency that a long-running task that serves must stay
		// below, if above 0.
		Tail time.Duration `cbor:"15,keyasint,omitempty"`

		// MayMiss is how many tasks of a long-running step the system may make
		// unavailable at the same time.
		MayMiss int `cbor:"16,keyasint,omitempty"`
	}

	// Job is what a caller submits.
	Job struct {
		ID      JobID     `cbor:"1,keyasint"`
		Queue   QueueID   `cbor:"2,keyasint"`
		Account AccountID `cbor:"3,keyasint,omitempty"`
		Spec    string    `cbor:"4,keyasint,omitempty"`
		Steps   []Step    `cbor:"5,keyasint"`

		// Repeats is how often the steps run. Zero is once, at once.
		Repeats int `cbor:"6,keyasint,omitempty"`

		// First and Interval say when each occurrence is due.
		First    Date          `cbor:"7,keyasint,omitempty"`
		Interval time.Duration `cbor:"8,keyasint,omitempty"`
	}

	// InvalidError says which field of a job is wrong.
	InvalidError struct {
		Field  string
		Reason string
	}
)

func (e *InvalidError) Error() string {
	return e.Field + ": " + e.Reason
}

// DateOf returns a time as a date.
func DateOf(t time.Time) Date {
	return Date(t.UnixMilli())
}

// Time returns the date as a time.
func (d Date) Time() time.Time {
	return time.UnixMilli(int64(d))
}

// String returns the name of the step as callers and runners see it.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// String returns the name of the task as runners see it.
func (t TaskID) String() string {
	return t.StepID.String() + "." + strconv.Itoa(t.Index)
}

// ParseTask returns the task of a name, and false if it is none.
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

// Sub returns what is left of r without other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.Processor - other.Processor, r.Memory - other.Memory, r.Accelerators - other.Accelerators}
}

// Fits reports whether r is within room.
func (r Resources) Fits(room Resources) bool {
	return r.Processor <= room.Processor && r.Memory <= room.Memory && r.Accelerators <= room.Accelerators
}

// Claim returns what a task of the step takes of a runner's capacity.
func (s Step) Claim() Resources {
	claim := s.Need
	if s.Filler {
		claim.Processor = 0
	}
	return claim
}

// Occurrences returns how often the steps of the job run.
func (j Job) Occurrences() int {
	return max(j.Repeats, 1)
}

// Due returns when an occurrence is due. The zero time is at once.
func (j Job) Due(occurrence int) time.Time {
	if j.Repeats <= 0 {
		return time.Time{}
	}
	return j.First.Time().Add(time.Duration(occurrence) * j.Interval)
}

// Scheduled reports whether the occurrences of the job have due times.
func (j Job) Scheduled() bool {
	return j.Repeats > 0
}

// Check returns an InvalidError if the job can't be accepted.
func (j Job) Check() error {
	switch {
	case len(j.Spec) > MaxSpec:
		return &InvalidError{"spec", fmt.Sprintf("longer than %d bytes", MaxSpec)}
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return &InvalidError{"steps", fmt.Sprintf("not 1 to %d", MaxSteps)}
	case j.Repeats < 0 || j.Interval < 0:
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
	return nil
}

func (s Step) check(index int) error {
	field := fmt.Sprintf("steps[%d]", index)
	n := s.Need
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return &InvalidError{field, fmt.Sprintf("count is not 1 to %d", MaxTasks)}
	case n.Processor < 0 || n.Memory < 0 || n.Accelerators < 0:
		return &InvalidError{field, "negative need"}
	case n.Processor > MaxResource || n.Memory > MaxResource || n.Accelerators > MaxResource:
		return &InvalidError{field, "need out of range"}
	case s.Estimate < 0 || s.Spread < 0 || s.MayMiss < 0:
		return &InvalidError{field, "negative field"}
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return &InvalidError{field, "waits for a step that is not an earlier one"}
		}
	}
	return nil
}
