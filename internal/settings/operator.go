package settings

import (
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/lovageroad/lovageroad/internal/account"
)

type (
	// Operator is a person or program that may change settings, and the hash of
	// its token.
	Operator struct {
		Name string
		Hash account.TokenHash
	}

	// Operators are all operators of a gate. A name may be there several times,
	// so that a token can be replaced.
	Operators []Operator
)

// String returns the operators as they stand in a file.
func (o Operators) String() string {
	parts := make([]string, 0, len(o))
	for _, each := range o {
		parts = append(parts, each.Name+":"+string(each.Hash))
	}
	return strings.Join(parts, ",")
}

func (o *Operators) parse(text string) error {
	for _, part := range strings.Split(text, ",") {
		name, hash, _ := strings.Cut(strings.TrimSpace(part), ":")
		sum, err := hex.DecodeString(hash)
		if !account.ValidName(name) || err != nil || len(sum) != 32 {
			return fmt.Errorf("%q is not a name, a colon and the SHA-256 sum of a token in hexadecimal", part)
		}
		*o = append(*o, Operator{Name: name, Hash: account.TokenHash(strings.ToLower(hash))})
	}
	return nil
}
