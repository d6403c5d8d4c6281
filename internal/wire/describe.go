package wire

import (
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/pkg/lease"
)

type (
	// Describe asks an agent for the specification of the job that a task
	// belongs to. A new leader sends it for a task whose job it does not know.
	Describe struct {
		Order Order  `cbor:"1,keyasint"`
		Task  TaskID `cbor:"2,keyasint"`
	}

	// AcknowledgedOutcomes sends a leader the outcomes of jobs that a gate has reported
	// to callers and that are not durable yet.
	AcknowledgedOutcomes struct {
		Records []job.Record `cbor:"1,keyasint"`
	}

	// Described answers a Describe with the specification and the digest of the
	// body of the task's job.
	Described struct {
		Epoch      lease.Epoch `cbor:"1,keyasint"`
		Task       TaskID      `cbor:"2,keyasint"`
		Spec       job.Spec    `cbor:"3,keyasint"`
		BodyDigest job.Digest  `cbor:"4,keyasint"`
	}
)

func init() {
	Register[Describe](22)
	Register[Described](23)
	Register[AcknowledgedOutcomes](24)
}
