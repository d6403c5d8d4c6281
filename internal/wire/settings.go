package wire

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
)

type (
	// Revisions asks a gate for the changes of settings after a revision. Number
	// identifies the question.
	Revisions struct {
		Number   uint64   `cbor:"1,keyasint"`
		Revision Revision `cbor:"2,keyasint"`
		Known    bool     `cbor:"3,keyasint,omitempty"`
	}

	// Changes answers a Revisions, or brings a new change without being asked;
	// Number is then zero. Revision is what the sender holds. If Dated is set, the
	// sender held all changes that existed Age before it sent. Rows are changes in
	// the order of their revisions as the table has them, and with Full set the
	// newest changes of all subjects.
	Changes struct {
		Number   uint64        `cbor:"1,keyasint,omitempty"`
		Revision Revision      `cbor:"2,keyasint"`
		Known    bool          `cbor:"3,keyasint,omitempty"`
		Dated    bool          `cbor:"4,keyasint,omitempty"`
		Age      time.Duration `cbor:"5,keyasint,omitempty"`
		Full     bool          `cbor:"6,keyasint,omitempty"`
		Rows     [][]byte      `cbor:"7,keyasint,omitempty"`
		Agents   []Held        `cbor:"8,keyasint,omitempty"`
	}

	// Held counts the agents that hold a revision, and names one of them.
	Held struct {
		Revision Revision       `cbor:"1,keyasint"`
		Agents   int            `cbor:"2,keyasint"`
		Worker   floor.WorkerID `cbor:"3,keyasint,omitempty"`
	}

	// Check asks the leader whether the floor holds the guarantees as a change
	// would make them. Revision is the one that the change follows.
	Check struct {
		Number   uint64   `cbor:"1,keyasint"`
		Revision Revision `cbor:"2,keyasint"`
		Row      []byte   `cbor:"3,keyasint"`
	}

	// Checked answers a Check. Refused is the guarantee that the floor cannot
	// hold. Borrowed is what accounts would use beyond their guarantees.
	Checked struct {
		Number   uint64     `cbor:"1,keyasint"`
		Refused  *Refused   `cbor:"2,keyasint,omitempty"`
		Borrowed []Borrowed `cbor:"3,keyasint,omitempty"`
	}

	// Refused is a guarantee that the floor cannot hold.
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
	Register[Revisions](40)
	Register[Changes](41)
	Register[Check](42)
	Register[Checked](43)
}
