package settings

import (
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/lovageroad/lovageroad/internal/account"
)

type (
	// Operator is a person or program that may change settings, identified by a
	// token. Hash is the SHA-256 sum of the token in hexadecimal.
	Operator struct {
		Name string
		Hash account.TokenHash
	}

	// Operators are all operators of a gate. A name may be listed several times,
	// each with another token, so that the old token stays valid while it is replaced.
	Operators []Operator
)

// String returns the operators in the syntax of the settings file:
// NAME:HASH,NAME:HASH.
func (o Operators) String() string {
	parts := make([]string, 0, len(o))
	for _, each := range o {
		parts = append(parts, each.Name+":"+string(each.Hash))
	}
	return strings.Join(parts, ",")
}

// parse appends the operators of a value in the syntax of String.
func (o *Operators) parse(text string) error {
	for _, part := range strings.Split(text, ",") {
		name, hash, _ := strings.Cut(strings.TrimSpace(part), ":")
		sum, err := hex.DecodeString(hash)
		if !account.ValidName(name) || err != nil || len(sum) != 32 {
			return fmt.Errorf("%q is not of the form NAME:HASH, where HASH is the SHA-256 sum of a token in hexadecimal", part)
		}
		*o = append(*o, Operator{Name: name, Hash: account.TokenHash(strings.ToLower(hash))})
	}
	return nil
}
