package wire

import (
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

type (
	// Inspect asks the leader for an overview of the region or, if Job is set,
	// why that job is waiting.
	Inspect struct {
		Request uint64 `cbor:"1,keyasint"`
		Job     job.ID `cbor:"2,keyasint,omitempty"`
	}

	// Inspected answers an Inspect. Known is false if the leader does not know
	// the job.
	Inspected struct {
		Request     uint64                `cbor:"1,keyasint"`
		Known       bool                  `cbor:"2,keyasint"`
		Overview    scheduler.Overview    `cbor:"3,keyasint"`
		Explanation scheduler.Explanation `cbor:"4,keyasint"`
	}
)

func init() {
	Register[Inspect](20)
	Register[Inspected](21)
}
