// Package job describes the jobs that callers submit and the records that are
// kept of them.
package job

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/pkg/lease"
)

const (
	// StateQueued is the state of a job that waits.
	StateQueued State = "queued"

	// StateStarted is the state of a job whose start is durable: any of its
	// members may run.
	StateStarted State = "started"

	// StateDone is the state of a job that ran whole and has an answer.
	StateDone State = "done"

	// StateFailed is the state of a job that ran and failed.
	StateFailed State = "failed"

	// StateRefused is the state of a job that did not run and never will.
	StateRefused State = "refused"

	// StateCancelled is the state of a job that its caller cancelled.
	StateCancelled State = "cancelled"

	// StateUnknown is the state of a non-idempotent job that may have run and
	// is not run again.
	StateUnknown State = "unknown"

	// NotRun says that no part of a job ran.
	NotRun Ran = "not run"

	// MayHaveRun says that a job may have run, in part or whole.
	MayHaveRun Ran = "may have run"

	// MaxInline is the largest input or answer in bytes that a record holds.
	MaxInline = 64 << 10
)

type (
	// ID identifies a job. It derives from the account and the idempotency key.
	ID string

	// Attempt counts the starts of a job from one.
	Attempt int

	// Rank is the index of a member of a job from zero.
	Rank int

	// State is a step in the life of a job.
	State string

	// Ran says whether a job that has no answer ran.
	Ran string

	// Digest is a SHA-256 sum in hexadecimal.
	Digest string

	// Spec is what a caller asks for.
	Spec struct {
		Account    account.Name  `json:"account" cbor:"1,keyasint"`
		Class      account.Class `json:"class" cbor:"2,keyasint"`
		Shape      floor.Shape   `json:"shape" cbor:"3,keyasint"`
		Idempotent bool          `json:"idempotent" cbor:"4,keyasint"`
		Checkpoint bool          `json:"checkpoint,omitempty" cbor:"5,keyasint"`
		Expected   time.Duration `json:"expected" cbor:"6,keyasint"`
		Input      []byte        `json:"input,omitempty" cbor:"7,keyasint"`
		Object     string        `json:"object,omitempty" cbor:"8,keyasint"`
	}

	// Answer is the whole result of a job.
	Answer struct {
		Digest Digest `json:"digest" cbor:"1,keyasint"`
		Length int    `json:"length" cbor:"2,keyasint"`
		Data   []byte `json:"data,omitempty" cbor:"3,keyasint"`
		Object string `json:"object,omitempty" cbor:"4,keyasint"`
	}

	// Record is what the table keeps of a job.
	Record struct {
		ID        ID              `json:"id" cbor:"1,keyasint"`
		Spec      Spec            `json:"spec" cbor:"2,keyasint"`
		Body      Digest          `json:"body" cbor:"3,keyasint"`
		State     State           `json:"state" cbor:"4,keyasint"`
		Attempt   Attempt         `json:"attempt" cbor:"5,keyasint"`
		Epoch     lease.Epoch     `json:"epoch" cbor:"6,keyasint"`
		Placement floor.Placement `json:"placement,omitempty" cbor:"7,keyasint"`
		Answer    *Answer         `json:"answer,omitempty" cbor:"8,keyasint,omitempty"`
		Ran       Ran             `json:"ran,omitempty" cbor:"9,keyasint"`
		Reason    string          `json:"reason,omitempty" cbor:"10,keyasint"`
		Never     bool            `json:"never,omitempty" cbor:"14,keyasint,omitempty"`
		Failures  int             `json:"failures,omitempty" cbor:"15,keyasint,omitempty"`
		Begun     bool            `json:"begun,omitempty" cbor:"16,keyasint,omitempty"`
		Submitted time.Time       `json:"submitted" cbor:"11,keyasint"`
		Started   time.Time       `json:"started,omitzero" cbor:"12,keyasint"`
		Ended     time.Time       `json:"ended,omitzero" cbor:"13,keyasint"`
	}
)

// NewID returns the identity of the job that an account submits under an
// idempotency key.
func NewID(name account.Name, key string) ID {
	sum := sha256.Sum256([]byte(string(name) + "\x00" + key))
	return ID(hex.EncodeToString(sum[:16]))
}

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// NewAnswer returns an answer that holds the data inline.
func NewAnswer(data []byte) *Answer {
	return &Answer{Digest: DigestOf(data), Length: len(data), Data: data}
}

// Whole reports whether the data is all of the answer.
func (a *Answer) Whole(data []byte) bool {
	return len(data) == a.Length && DigestOf(data) == a.Digest
}

// Final reports whether a job in the state has ended.
func (s State) Final() bool {
	switch s {
	case StateQueued, StateStarted:
		return false
	default:
		return true
	}
}
