package wire

import (
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

type (
	// Inspect asks the leader for the state of the region, or why a job waits.
	Inspect struct {
		Request uint64 `cbor:"1,keyasint"`
		Job     job.ID `cbor:"2,keyasint,omitempty"`
	}

	// Inspected answers an Inspect.
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
