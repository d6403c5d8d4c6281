package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/lovageroad/lovageroad/internal/account"
)

const (
	// MaxDepth is the depth of a definition down to which a patch is merged.
	MaxDepth = 4
)

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, &RequestError{Status: http.StatusRequestEntityTooLarge, Field: "body", Reason: fmt.Sprintf("larger than %d bytes", MaxBody)}
	case err != nil:
		return nil, malformed("body", "cannot be read")
	default:
		return data, nil
	}
}

func decodeDefinition(w http.ResponseWriter, r *http.Request, kind account.Kind) (Definition, error) {
	data, err := readBody(w, r)
	if err != nil {
		return Definition{}, err
	}
	return parseDefinition(data, kind)
}

// parseDefinition reads what an operator sets for a subject of a kind. Absent
// parameters of a template are the defaults.
func parseDefinition(data []byte, kind account.Kind) (Definition, error) {
	parameters := account.DefaultParameters()
	d := Definition{Parameters: &parameters}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return Definition{}, decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Definition{}, malformed("body", "has data after its end")
	}
	return d, d.check(kind, data)
}

// check returns a RequestError if a field is set that the kind does not have.
func (d Definition) check(kind account.Kind, data []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return malformed("body", err.Error())
	}
	known := map[account.Kind][]string{
		account.KindTemplate: {"parameters"},
		account.KindAccount:  {"template", "overrides", "hashes"},
		account.KindFloor:    {"budgets"},
	}
	for _, field := range known[kind] {
		delete(fields, field)
	}
	for field := range fields {
		return malformed(field, "a "+string(kind)+" has no such field")
	}
	if kind == account.KindTemplate && d.Parameters == nil {
		return malformed("parameters", "is required")
	}
	return nil
}

func decodeError(err error) error {
	var mistyped *json.UnmarshalTypeError
	if errors.As(err, &mistyped) {
		return malformed(mistyped.Field, "cannot be "+mistyped.Value)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return malformed(strings.Trim(name, `"`), "unknown field")
	}
	return malformed("body", err.Error())
}

// mergeDefinition applies a merge patch to a definition.
func mergeDefinition(d Definition, patch []byte, kind account.Kind) (Definition, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return Definition{}, err
	}
	if !json.Valid(patch) || bytes.TrimSpace(patch)[0] != '{' {
		return Definition{}, malformed("body", "must be a JSON object")
	}
	merged, err := merge(data, patch, MaxDepth)
	if err != nil {
		return Definition{}, malformed("body", err.Error())
	}
	return parseDefinition(merged, kind)
}

// merge applies a JSON merge patch: null removes a field, an object is merged,
// and anything else replaces. What is nested deeper than the depth replaces too.
func merge(target, patch json.RawMessage, depth int) (json.RawMessage, error) {
	if bytes.TrimSpace(patch)[0] != '{' || depth == 0 {
		return patch, nil
	}
	fields := make(map[string]json.RawMessage)
	if len(target) > 0 && target[0] == '{' {
		if err := json.Unmarshal(target, &fields); err != nil {
			return nil, err
		}
	}
	var changes map[string]json.RawMessage
	if err := json.Unmarshal(patch, &changes); err != nil {
		return nil, err
	}
	for name, change := range changes {
		if string(change) == "null" {
			delete(fields, name)
			continue
		}
		merged, err := merge(fields[name], change, depth-1)
		if err != nil {
			return nil, err
		}
		fields[name] = merged
	}
	return json.Marshal(fields)
}

func malformed(field, reason string) error {
	return &RequestError{Status: http.StatusBadRequest, Field: field, Reason: reason}
}
