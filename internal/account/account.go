// Package account describes client accounts, the templates that they are made
// from, and the parameters that operators set.
package account

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/lovageroad/lovageroad/internal/floor"
)

const (
	// DefaultQueueLimit is the number of jobs that an account may have waiting.
	DefaultQueueLimit = 1000
)

type (
	// Name names a client account.
	Name string

	// Class names a kind of work within an account, such as checks or rebuilds.
	Class string

	// TokenHash is the SHA-256 sum of a token in hexadecimal.
	TokenHash string

	// Guarantee promises a number of shapes to an account.
	Guarantee struct {
		Shape floor.Shape `json:"shape"`
		Count int         `json:"count"`
	}

	// Weights say how much an account weighs each measure. Only their ratio
	// counts.
	Weights struct {
		Completion    float64 `json:"completion"`
		Fragmentation float64 `json:"fragmentation"`
	}

	// Parameters are what a template sets and an account may override.
	Parameters struct {
		Guarantees []Guarantee `json:"guarantees,omitempty"`
		QueueLimit int         `json:"queue,omitempty"`
		Order      []Class     `json:"order,omitempty"`
		Urgent     []Class     `json:"urgent,omitempty"`
		Weights    Weights     `json:"weights"`
	}

	// Template is a named set of parameters.
	Template struct {
		Name       string     `json:"name"`
		Parameters Parameters `json:"parameters"`
	}

	// Account is a client account in one region. Its parameters are those of its
	// template, or the defaults, with its overrides put over them.
	Account struct {
		Name       Name           `json:"name"`
		Region     floor.RegionID `json:"region"`
		Template   string         `json:"template,omitempty"`
		Overrides  Overrides      `json:"overrides,omitzero"`
		Parameters Parameters     `json:"parameters"`
		Tokens     []TokenHash    `json:"tokens,omitempty"`
	}
)

// DefaultParameters returns the parameters of an account made without a
// template.
func DefaultParameters() Parameters {
	return Parameters{
		QueueLimit: DefaultQueueLimit,
		Weights:    Weights{Completion: 1, Fragmentation: 1},
	}
}

// HashToken returns the hash under which a token is kept.
func HashToken(token string) TokenHash {
	sum := sha256.Sum256([]byte(token))
	return TokenHash(hex.EncodeToString(sum[:]))
}
