// Package control defines what agents and gates say to each other: an agent
// reports what its runner has, and the leading gate answers with its orders.
package control

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// Starting is the phase of a task whose start has no answer yet. It may run.
	Starting Phase = iota

	// Running is the phase of a task that the runner listed last time.
	Running
)

const (
	// Done says that a task did its work.
	Done Outcome = "done"

	// Failed says that a task failed by its own fault or the runner's.
	Failed Outcome = "failed"

	// Stopped says that a task was told to stop.
	Stopped Outcome = "stopped"

	// Lapsed says that the runner's lease ran out.
	Lapsed Outcome = "lapsed"

	// Broken says that another member of the gang ended.
	Broken Outcome = "broken"

	// Alone says that the other members of the gang did not come.
	Alone Outcome = "alone"
)

type (
	// AgentID names an agent.
	AgentID string

	// Life tells apart the processes that an agent was, one after the other.
	Life uint64

	// Serial counts the words to one life of an agent.
	Serial uint64

	// EndID counts the ends at one life of a runner, from 1.
	EndID uint64

	// Phase tells how far a task is.
	Phase uint8

	// Outcome tells how a task ended.
	Outcome string

	// RunnerID names a life of a runner.
	RunnerID struct {
		Name string `cbor:"1,keyasint"`

		// Born tells apart lives under one name, in milliseconds since 1970.
		Born int64 `cbor:"2,keyasint,omitempty"`
	}

	// Runner is what a runner says of itself.
	Runner struct {
		ID       RunnerID       `cbor:"1,keyasint"`
		Pool     work.PoolID    `cbor:"2,keyasint"`
		Zone     work.ZoneID    `cbor:"3,keyasint,omitempty"`
		Rack     work.RackID    `cbor:"4,keyasint,omitempty"`
		Labels   []work.Label   `cbor:"5,keyasint,omitempty"`
		Capacity work.Resources `cbor:"6,keyasint"`
		Draining bool           `cbor:"7,keyasint,omitempty"`

		// Remaining is how long a draining runner stays at least.
		Remaining time.Duration `cbor:"8,keyasint,omitempty"`
	}

	// Task is a task at a runner.
	Task struct {
		ID         work.TaskID     `cbor:"1,keyasint"`
		Run        work.Run        `cbor:"2,keyasint"`
		Phase      Phase           `cbor:"3,keyasint,omitempty"`
		Checkpoint work.Checkpoint `cbor:"4,keyasint,omitempty"`

		// Percent is the share of the work that is done.
		Percent int `cbor:"5,keyasint,omitempty"`
	}

	// End is the end of a task.
	End struct {
		N          EndID           `cbor:"1,keyasint"`
		Task       work.TaskID     `cbor:"2,keyasint"`
		Run        work.Run        `cbor:"3,keyasint"`
		Outcome    Outcome         `cbor:"4,keyasint"`
		Checkpoint work.Checkpoint `cbor:"5,keyasint,omitempty"`
	}

	// Refusal says that a run did not start and never will.
	Refusal struct {
		Task   work.TaskID `cbor:"1,keyasint"`
		Run    work.Run    `cbor:"2,keyasint"`
		Reason string      `cbor:"3,keyasint"`
	}

	// Report is what an agent knows.
	Report struct {
		Agent AgentID     `cbor:"1,keyasint"`
		Life  Life        `cbor:"2,keyasint"`
		Seq   uint64      `cbor:"3,keyasint"`
		Epoch lease.Epoch `cbor:"4,keyasint,omitempty"`

		// Heard is the last word of the epoch that the agent has taken in.
		Heard Serial `cbor:"5,keyasint,omitempty"`

		// Runner is nil while the runner is not known.
		Runner *Runner `cbor:"6,keyasint,omitempty"`

		// Listed says that the tasks are all that runs or may yet run there.
		Listed   bool      `cbor:"7,keyasint,omitempty"`
		Tasks    []Task    `cbor:"8,keyasint,omitempty"`
		Ends     []End     `cbor:"9,keyasint,omitempty"`
		Refusals []Refusal `cbor:"10,keyasint,omitempty"`

		// Wait is how long the answer may wait for orders.
		Wait time.Duration `cbor:"11,keyasint,omitempty"`

		// Lost says that the runner left calls without an answer for so long
		// that all it ran has lapsed.
		Lost bool `cbor:"12,keyasint,omitempty"`
	}

	// Start orders a task to start.
	Start struct {
		Task       work.TaskID     `cbor:"1,keyasint"`
		Run        work.Run        `cbor:"2,keyasint"`
		Spec       string          `cbor:"3,keyasint,omitempty"`
		Checkpoint work.Checkpoint `cbor:"4,keyasint,omitempty"`
	}

	// Stop orders a run to end.
	Stop struct {
		Task work.TaskID `cbor:"1,keyasint"`
		Run  work.Run    `cbor:"2,keyasint"`
	}

	// Word is the answer to a report. That of a leader lets the agent keep its
	// tasks for the hold time, counted from when the report was sent.
	Word struct {
		Leads  bool         `cbor:"1,keyasint,omitempty"`
		Leader machine.Node `cbor:"2,keyasint,omitempty"`
		Epoch  lease.Epoch  `cbor:"3,keyasint,omitempty"`
		Serial Serial       `cbor:"4,keyasint,omitempty"`

		// Fence orders the lives of the agent within the epoch.
		Fence uint16         `cbor:"5,keyasint,omitempty"`
		Gates []machine.Node `cbor:"6,keyasint,omitempty"`

		// Runner and Noted say which ends are durable.
		Runner RunnerID `cbor:"7,keyasint"`
		Noted  EndID    `cbor:"8,keyasint,omitempty"`
		Starts []Start  `cbor:"9,keyasint,omitempty"`
		Stops  []Stop   `cbor:"10,keyasint,omitempty"`

		// Poll is how long answers without news are to wait, 0 for as long as before.
		Poll time.Duration `cbor:"11,keyasint,omitempty"`
	}
)
