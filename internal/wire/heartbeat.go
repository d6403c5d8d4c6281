package wire

import (
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/pkg/lease"
)

// Heartbeat is not sent at present, and gates ignore it: an agent repeats its
// Announce. It can tell the leader in fewer bytes that a fenced agent is alive,
// if nothing but the power draw has changed since its last Announce.
// LeaderUnresponsive reports that the agent has not received a message of the
// leader for a while.
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
