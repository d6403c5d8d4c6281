package wire

import (
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/pkg/lease"
)

// Heartbeat tells a leader that has fenced an agent that the agent is there. It
// stands for an Announce in which nothing else has changed. Deaf says that the
// agent has not heard the leader for a while.
type Heartbeat struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Epoch       lease.Epoch `cbor:"2,keyasint"`
	Revision    Revision    `cbor:"3,keyasint"`
	Draw        floor.Watts `cbor:"4,keyasint,omitempty"`
	Deaf        bool        `cbor:"5,keyasint,omitempty"`
}

func init() {
	Register[Heartbeat](52)
}
