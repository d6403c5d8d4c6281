package wire

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
)

type (
	// ChangesRequest asks a gate for the settings changes after a revision. Number
	// identifies the request. Known is false if the sender holds no settings
	// yet.
	ChangesRequest struct {
		Number   uint64   `cbor:"1,keyasint"`
		Revision Revision `cbor:"2,keyasint"`
		Known    bool     `cbor:"3,keyasint,omitempty"`
	}

	// Changes answers a ChangesRequest or, with Number zero, pushes a new change.
	// Revision is the one that the sender holds. If HasAge is set, the sender
	// held all changes that existed Age before it sent this message. Rows holds
	// changes as they are stored in the table, in the order of their revisions;
	// with Full set, these are the newest changes of all subjects. Agents
	// counts the sender's agents by revision if the sender leads.
	Changes struct {
		Number   uint64          `cbor:"1,keyasint,omitempty"`
		Revision Revision        `cbor:"2,keyasint"`
		Known    bool            `cbor:"3,keyasint,omitempty"`
		HasAge   bool            `cbor:"4,keyasint,omitempty"`
		Age      time.Duration   `cbor:"5,keyasint,omitempty"`
		Full     bool            `cbor:"6,keyasint,omitempty"`
		Rows     [][]byte        `cbor:"7,keyasint,omitempty"`
		Agents   []RevisionCount `cbor:"8,keyasint,omitempty"`
	}

	// RevisionCount is the number of agents that hold a revision, and the worker of one
	// of them.
	RevisionCount struct {
		Revision Revision       `cbor:"1,keyasint"`
		Agents   int            `cbor:"2,keyasint"`
		Worker   floor.WorkerID `cbor:"3,keyasint,omitempty"`
	}

	// GuaranteeCheck asks the leader whether the floor can satisfy the guarantees after
	// a settings change. Row is the change, Revision the one that it follows.
	GuaranteeCheck struct {
		Number   uint64   `cbor:"1,keyasint"`
		Revision Revision `cbor:"2,keyasint"`
		Row      []byte   `cbor:"3,keyasint"`
	}

	// GuaranteeCheckResult answers a GuaranteeCheck. Refused is the guarantee that the
	// floor cannot satisfy, or nil. Borrowed lists what accounts would use beyond their
	// guarantees.
	GuaranteeCheckResult struct {
		Number   uint64     `cbor:"1,keyasint"`
		Refused  *Refused   `cbor:"2,keyasint,omitempty"`
		Borrowed []Borrowed `cbor:"3,keyasint,omitempty"`
	}

	// Refused is a guarantee that the floor cannot satisfy, with the reason.
	Refused struct {
		Account account.Name `cbor:"1,keyasint"`
		Shape   floor.Shape  `cbor:"2,keyasint"`
		Count   int          `cbor:"3,keyasint"`
		Reason  string       `cbor:"4,keyasint"`
	}

	// Borrowed is the number of accelerators that an account uses beyond its
	// guarantees.
	Borrowed struct {
		Account      account.Name `cbor:"1,keyasint" json:"account"`
		Accelerators int          `cbor:"2,keyasint" json:"accelerators"`
	}
)

func init() {
	Register[ChangesRequest](40)
	Register[Changes](41)
	Register[GuaranteeCheck](42)
	Register[GuaranteeCheckResult](43)
}
