package wire

import (
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/pkg/lease"
)

// Heartbeat tells the leader that a fenced agent is alive. It replaces an
// Announce in which only the power draw has changed. LeaderUnresponsive reports
// that the agent has not received a message of the leader for a while.
type Heartbeat struct {
	Incarnation        Incarnation `cbor:"1,keyasint"`
	Epoch              lease.Epoch `cbor:"2,keyasint"`
	Revision           Revision    `cbor:"3,keyasint"`
	PowerDraw          floor.Watts `cbor:"4,keyasint,omitempty"`
	LeaderUnresponsive bool        `cbor:"5,keyasint,omitempty"`
}

func init() {
	Register[Heartbeat](52)
}
