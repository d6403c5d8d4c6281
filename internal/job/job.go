// Package job defines the jobs that callers submit and the records that the table
// keeps of them.
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
	// StateQueued is the state of a job that waits in the queue.
	StateQueued State = "queued"

	// StateStarted is the state of a job whose start is durable. Any of its
	// members may be running.
	StateStarted State = "started"

	// StateDone is the state of a job that completed and has an answer.
	StateDone State = "done"

	// StateFailed is the state of a job that failed and is not retried.
	StateFailed State = "failed"

	// StateRefused is the state of a job that was rejected and will not be started.
	// Record.Ran says whether a former leader may have run it.
	StateRefused State = "refused"

	// StateCancelled is the state of a job that its caller cancelled.
	StateCancelled State = "cancelled"

	// StateUnknown is the state of a non-idempotent job that may have run and is
	// therefore not retried.
	StateUnknown State = "unknown"

	// NotRun says that no part of a job ran.
	NotRun RunStatus = "not run"

	// MayHaveRun says that a job may have run, partly or completely.
	MayHaveRun RunStatus = "may have run"

	// MaxInline is the largest size in bytes of an input or answer that a record
	// holds inline. Larger ones are kept as objects.
	MaxInline = 64 << 10
)

type (
	// ID identifies a job. It is derived from the account and the idempotency key
	// by NewID.
	ID string

	// Attempt numbers the starts of a job, from one.
	Attempt int

	// Rank is the index of a member of a job, from zero. A job has one member for
	// each worker of its shape.
	Rank int

	// State is the state of a job.
	State string

	// RunStatus says whether a job that ended without an answer may have run.
	RunStatus string

	// Digest is a SHA-256 hash in hexadecimal.
	Digest string

	// Spec is a job as its caller specifies it. Idempotent says that the job may be
	// run more than once, Checkpoint that it can save a checkpoint when it is
	// evicted. Expected is the expected run time. Input holds the input inline, or
	// Object names the object that holds it.
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

	// Answer is the result of a job. Digest and Length describe the complete data,
	// which is in Data or in the object named Object.
	Answer struct {
		Digest Digest `json:"digest" cbor:"1,keyasint"`
		Length int    `json:"length" cbor:"2,keyasint"`
		Data   []byte `json:"data,omitempty" cbor:"3,keyasint"`
		Object string `json:"object,omitempty" cbor:"4,keyasint"`
	}

	// Record is the row that the table keeps for a job. BodyDigest is the digest of the
	// request's body. Failures counts the attempts in which a member failed. Begun
	// says that the job may have begun to run. Reason says why a job without an
	// answer ended, and Permanent that submitting it again would not help.
	Record struct {
		ID         ID              `json:"id" cbor:"1,keyasint"`
		Spec       Spec            `json:"spec" cbor:"2,keyasint"`
		BodyDigest Digest          `json:"body" cbor:"3,keyasint"`
		State      State           `json:"state" cbor:"4,keyasint"`
		Attempt    Attempt         `json:"attempt" cbor:"5,keyasint"`
		Epoch      lease.Epoch     `json:"epoch" cbor:"6,keyasint"`
		Placement  floor.Placement `json:"placement,omitempty" cbor:"7,keyasint"`
		Answer     *Answer         `json:"answer,omitempty" cbor:"8,keyasint,omitempty"`
		Ran        RunStatus       `json:"ran,omitempty" cbor:"9,keyasint"`
		Reason     string          `json:"reason,omitempty" cbor:"10,keyasint"`
		Permanent  bool            `json:"never,omitempty" cbor:"14,keyasint,omitempty"`
		Failures   int             `json:"failures,omitempty" cbor:"15,keyasint,omitempty"`
		Begun      bool            `json:"begun,omitempty" cbor:"16,keyasint,omitempty"`
		Submitted  time.Time       `json:"submitted" cbor:"11,keyasint"`
		Started    time.Time       `json:"started,omitzero" cbor:"12,keyasint"`
		Ended      time.Time       `json:"ended,omitzero" cbor:"13,keyasint"`
	}
)

// NewID returns the ID of the job that an account submits under an idempotency
// key.
func NewID(name account.Name, key string) ID {
	sum := sha256.Sum256([]byte(string(name) + "\x00" + key))
	return ID(hex.EncodeToString(sum[:16]))
}

// DigestOf returns the digest of the data.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// NewAnswer returns an answer with the data inline.
func NewAnswer(data []byte) *Answer {
	return &Answer{Digest: DigestOf(data), Length: len(data), Data: data}
}

// Matches reports whether the data matches the length and the digest of the answer.
func (a *Answer) Matches(data []byte) bool {
	return len(data) == a.Length && DigestOf(data) == a.Digest
}

// Final reports whether the state is one of a job that has ended.
func (s State) Final() bool {
	switch s {
	case StateQueued, StateStarted:
		return false
	default:
		return true
	}
}
