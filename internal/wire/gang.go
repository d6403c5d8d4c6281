package wire

import (
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/pkg/gang"
	"github.com/lovageroad/lovageroad/pkg/lease"
)

type (
	// Pulse is a heartbeat from one member of a gang to another. Task is the
	// task of the receiving member, From the rank of the sender. Ask requests a
	// heartbeat in return, and Lost is the rank of a member that the sender has
	// found lost.
	Pulse struct {
		Task  TaskID     `cbor:"1,keyasint"`
		From  job.Rank   `cbor:"2,keyasint"`
		State gang.State `cbor:"3,keyasint"`
		Ask   bool       `cbor:"4,keyasint,omitempty"`
		Lost  job.Rank   `cbor:"5,keyasint,omitempty"`
	}

	// Beat carries the gang heartbeats that one agent has for another.
	Beat struct {
		Pulses []Pulse `cbor:"1,keyasint"`
	}

	// Halted tells the leader that a task was stopped without an order of the
	// leader, or that the agent does not hold it. The agent repeats it until
	// the leader orders it to stop the task.
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
