package wire

import (
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/pkg/lease"
)

type (
	// Describe asks an agent for the job of a task that a new leader does not
	// know.
	Describe struct {
		Order Order  `cbor:"1,keyasint"`
		Task  TaskID `cbor:"2,keyasint"`
	}

	// Kept tells a leader of ends that were told callers and are not durable.
	Kept struct {
		Records []job.Record `cbor:"1,keyasint"`
	}

	// Described answers a Describe.
	Described struct {
		Epoch lease.Epoch `cbor:"1,keyasint"`
		Task  TaskID      `cbor:"2,keyasint"`
		Spec  job.Spec    `cbor:"3,keyasint"`
		Body  job.Digest  `cbor:"4,keyasint"`
	}
)

func init() {
	Register[Describe](22)
	Register[Described](23)
	Register[Kept](24)
}
