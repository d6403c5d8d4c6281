package wire

import (
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/pkg/gang"
	"github.com/lovageroad/lovageroad/pkg/lease"
)

type (
	// GangHeartbeat is a heartbeat from one member of a gang to another. Task is the
	// task of the receiving member, From the rank of the sender. ReplyRequested requests
	// a heartbeat in return, and FailedRank is the rank of a member that the sender has
	// found failed.
	GangHeartbeat struct {
		Task           TaskID     `cbor:"1,keyasint"`
		From           job.Rank   `cbor:"2,keyasint"`
		State          gang.State `cbor:"3,keyasint"`
		ReplyRequested bool       `cbor:"4,keyasint,omitempty"`
		FailedRank     job.Rank   `cbor:"5,keyasint,omitempty"`
	}

	// GangHeartbeats carries the gang heartbeats that one agent has for another.
	GangHeartbeats struct {
		Heartbeats []GangHeartbeat `cbor:"1,keyasint"`
	}

	// UnsolicitedStop tells the leader that a task was stopped without an order of the
	// leader, or that the agent does not hold it. The agent repeats it until
	// the leader orders it to stop the task.
	UnsolicitedStop struct {
		Epoch  lease.Epoch `cbor:"1,keyasint"`
		Task   TaskID      `cbor:"2,keyasint"`
		Ran    bool        `cbor:"3,keyasint,omitempty"`
		Reason string      `cbor:"4,keyasint,omitempty"`
	}
)

func init() {
	Register[GangHeartbeats](50)
	Register[UnsolicitedStop](51)
}
