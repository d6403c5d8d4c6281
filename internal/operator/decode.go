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
	// MaxPatchDepth is the nesting depth down to which a merge patch is merged. Deeper
	// objects are replaced.
	MaxPatchDepth = 4
)

// readBody returns the body of a request. It returns a RequestError if the body is
// larger than MaxBodyBytes or cannot be read.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &RequestError{Status: http.StatusRequestEntityTooLarge, Field: "body", Reason: fmt.Sprintf("larger than %d bytes", MaxBodyBytes)}
	case err != nil:
		return nil, badRequest("body", "cannot be read")
	default:
		return data, nil
	}
}

// decodeDefinition reads the body of a request as the definition of a subject.
func decodeDefinition(w http.ResponseWriter, r *http.Request, kind account.Kind) (Definition, error) {
	data, err := readBody(w, r)
	if err != nil {
		return Definition{}, err
	}
	return parseDefinition(data, kind)
}

// parseDefinition decodes and validates the definition of a subject of a kind.
// Parameters that a template leaves out have their default values. It returns a
// RequestError that names the invalid field.
func parseDefinition(data []byte, kind account.Kind) (Definition, error) {
	parameters := account.DefaultParameters()
	d := Definition{Parameters: &parameters}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return Definition{}, decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Definition{}, badRequest("body", "has data after the JSON object")
	}
	return d, d.validate(kind, data)
}

// validate returns a RequestError if the body has a field that the kind does not
// have, or lacks a required one.
func (d Definition) validate(kind account.Kind, data []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return badRequest("body", err.Error())
	}
	allowed := map[account.Kind][]string{
		account.KindTemplate: {"parameters"},
		account.KindAccount:  {"template", "overrides", "hashes"},
		account.KindFloor:    {"budgets"},
	}
	for _, field := range allowed[kind] {
		delete(fields, field)
	}
	for field := range fields {
		return badRequest(field, "a "+string(kind)+" has no such field")
	}
	if kind == account.KindTemplate && d.Parameters == nil {
		return badRequest("parameters", "is required")
	}
	return nil
}

// decodeError turns an error of encoding/json into a RequestError that names the
// field if the decoder reports it.
func decodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return badRequest(typeError.Field, "cannot be "+typeError.Value)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return badRequest(strings.Trim(name, `"`), "unknown field")
	}
	return badRequest("body", err.Error())
}

// mergeDefinition applies a JSON merge patch to a definition and validates the
// result.
func mergeDefinition(d Definition, patch []byte, kind account.Kind) (Definition, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return Definition{}, err
	}
	if !json.Valid(patch) || bytes.TrimSpace(patch)[0] != '{' {
		return Definition{}, badRequest("body", "must be a JSON object")
	}
	merged, err := mergePatch(data, patch, MaxPatchDepth)
	if err != nil {
		return Definition{}, badRequest("body", err.Error())
	}
	return parseDefinition(merged, kind)
}

// mergePatch applies a JSON merge patch (RFC 7396): null removes a field, an object
// is merged recursively, and any other value replaces the target. At depth zero an
// object replaces the target too.
func mergePatch(target, patch json.RawMessage, depth int) (json.RawMessage, error) {
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
		merged, err := mergePatch(fields[name], change, depth-1)
		if err != nil {
			return nil, err
		}
		fields[name] = merged
	}
	return json.Marshal(fields)
}

func badRequest(field, reason string) error {
	return &RequestError{Status: http.StatusBadRequest, Field: field, Reason: reason}
}
