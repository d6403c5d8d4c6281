// Package account defines the settings that operators manage for a region: client
// accounts, the templates that accounts follow, and cooling budgets. Each accepted
// change has a revision.
package account

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/lovageroad/lovageroad/internal/floor"
)

const (
	// DefaultQueueLimit is the largest number of waiting jobs of an account whose
	// parameters set no other.
	DefaultQueueLimit = 1000
)

type (
	// Name names a client account.
	Name string

	// Class names a class of jobs within an account, such as checks or rebuilds.
	Class string

	// TokenHash is the SHA-256 hash of a token in hexadecimal.
	TokenHash string

	// Guarantee guarantees an account capacity for Count jobs of a shape at a time.
	Guarantee struct {
		Shape floor.Shape `json:"shape"`
		Count int         `json:"count"`
	}

	// Weights are the weights of completion time and fragmentation in placement
	// decisions for an account. Only their ratio matters.
	Weights struct {
		Completion    float64 `json:"completion"`
		Fragmentation float64 `json:"fragmentation"`
	}

	// Parameters are the settings that a template gives and an account may
	// override. Order lists classes by descending priority; classes that are not
	// listed come last. Urgent lists the classes that come before those in Order.
	// Their jobs may have others evicted that are neither urgent nor covered by a
	// guarantee.
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

	// Account is a client account in one region. Its effective Parameters are
	// those of its template, or the defaults, with its Overrides applied. An
	// account with neither a template nor overrides keeps the Parameters it has.
	Account struct {
		Name       Name           `json:"name"`
		Region     floor.RegionID `json:"region"`
		Template   string         `json:"template,omitempty"`
		Overrides  Overrides      `json:"overrides,omitzero"`
		Parameters Parameters     `json:"parameters"`
		Tokens     []TokenHash    `json:"tokens,omitempty"`
	}
)

// DefaultParameters returns the parameters of an account without a template.
func DefaultParameters() Parameters {
	return Parameters{
		QueueLimit: DefaultQueueLimit,
		Weights:    Weights{Completion: 1, Fragmentation: 1},
	}
}

// HashToken returns the hash under which a token is stored.
func HashToken(token string) TokenHash {
	sum := sha256.Sum256([]byte(token))
	return TokenHash(hex.EncodeToString(sum[:]))
}
