package wire

import (
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/pkg/gang"
	"github.com/lovageroad/lovageroad/pkg/lease"
)

type (
	// Pulse is the beat of one member of a gang to another. Task is the one of
	// the member that it is for, From the rank of its sender.
	Pulse struct {
		Task  TaskID     `cbor:"1,keyasint"`
		From  job.Rank   `cbor:"2,keyasint"`
		State gang.State `cbor:"3,keyasint"`
		Ask   bool       `cbor:"4,keyasint,omitempty"`
		Lost  job.Rank   `cbor:"5,keyasint,omitempty"`
	}

	// Beat carries pulses from one agent to another.
	Beat struct {
		Pulses []Pulse `cbor:"1,keyasint"`
	}

	// Halted tells the leader that a task was stopped without its order, or is
	// not held. The agent repeats it until it is told to stop the task.
	Halted struct {
		Epoch  lease.Epoch `cbor:"1,keyasint"`
		Task   TaskID      `cbor:"2,keyasint"`
		Ran    bool        `cbor:"3,keyasint,omitempty"`
		Reason string      `cbor:"4,keyasint,omitempty"`
	}
)

func init() {
	Register[Beat](50)
	Register[Halted](51)
}
