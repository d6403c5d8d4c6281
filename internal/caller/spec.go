package caller

import (
	"cmp"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
)

const (
	// MaxNameBytes is the largest length of an idempotency key and of an object name,
	// in bytes.
	MaxNameBytes = 255

	// MaxWorkers is the largest number of workers that a job may request.
	MaxWorkers = 1024

	// MaxCores is the largest number of cores that a job may request on each
	// worker.
	MaxCores = 4096

	// MaxMemory is the largest memory that a job may request on each worker.
	MaxMemory floor.MiB = 64 << 20

	// MaxExpectedTime is the longest expected run time that a job may state.
	MaxExpectedTime = 30 * 24 * time.Hour
)

// submission is the JSON body of a submission.
type submission struct {
	Account    account.Name    `json:"account"`
	Class      account.Class   `json:"class"`
	Shape      floor.Shape     `json:"shape"`
	Idempotent bool            `json:"idempotent"`
	Checkpoint bool            `json:"checkpoint"`
	Expected   string          `json:"expected"`
	Input      json.RawMessage `json:"input"`
	Object     string          `json:"object"`
}

// parseSpec reads and validates the body of a submission. It returns the job and
// the digest of the body, or a RequestError that names the invalid field.
func parseSpec(w http.ResponseWriter, r *http.Request) (job.Spec, job.Digest, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return job.Spec{}, "", &RequestError{Field: "body", Reason: fmt.Sprintf("larger than %d bytes", MaxBodyBytes), Status: http.StatusRequestEntityTooLarge}
		}
		return job.Spec{}, "", badRequest("body", "cannot be read")
	}
	spec, err := decodeSpec(data)
	return spec, job.DigestOf(data), err
}

func decodeSpec(data []byte) (job.Spec, error) {
	var body submission
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return job.Spec{}, decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return job.Spec{}, badRequest("body", "has data after the JSON object")
	}
	if err := body.validate(); err != nil {
		return job.Spec{}, err
	}
	expected, err := parseExpected(body.Expected)
	if err != nil {
		return job.Spec{}, err
	}
	return job.Spec{
		Account:    body.Account,
		Class:      body.Class,
		Shape:      body.Shape.WithDefaults(),
		Idempotent: body.Idempotent,
		Checkpoint: body.Checkpoint,
		Expected:   expected,
		Input:      inputOf(body.Input),
		Object:     body.Object,
	}, nil
}

// decodeError turns an error of encoding/json into a RequestError that names the
// field if the decoder reports it.
func decodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return badRequest(cmp.Or(typeError.Field, "body"), "cannot be "+typeError.Value)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return badRequest(strings.Trim(name, `"`), "unknown field")
	}
	return badRequest("body", err.Error())
}

// validate returns a RequestError if a field is missing or out of bounds. Zero counts
// of the shape are valid and replaced by defaults later.
func (b *submission) validate() error {
	s := b.Shape
	switch {
	case !validName(string(b.Account)):
		return badRequest("account", "must be a name of 1 to 63 letters, digits, dots, dashes and underscores")
	case !validName(string(b.Class)):
		return badRequest("class", "must be a name of 1 to 63 letters, digits, dots, dashes and underscores")
	case s.Workers < 0 || s.Workers > MaxWorkers:
		return badRequest("shape.workers", fmt.Sprintf("must be 1 to %d", MaxWorkers))
	case s.Accelerators < 0 || s.Accelerators > floor.MaxAccelerators:
		return badRequest("shape.accelerators", fmt.Sprintf("must be 0 to %d", floor.MaxAccelerators))
	case s.Cores < 0 || s.Cores > MaxCores:
		return badRequest("shape.cores", fmt.Sprintf("must be 1 to %d", MaxCores))
	case s.Memory < 0 || s.Memory > MaxMemory:
		return badRequest("shape.memory", fmt.Sprintf("must be 0 to %d MiB", MaxMemory))
	case !validAdjacency(s.Adjacency):
		return badRequest("shape.adjacency", "must be worker, rack, datacentre or region")
	case s.Adjacency == floor.AdjacentWorker && s.Workers > 1:
		return badRequest("shape.adjacency", "several workers cannot be adjacent on one worker")
	case len(b.Input) > job.MaxInline:
		return badRequest("input", fmt.Sprintf("larger than %d bytes: put it into the object store and name it in object", job.MaxInline))
	case len(b.Input) > 0 && b.Object != "":
		return badRequest("object", "must be empty if an input is given")
	case len(b.Object) > MaxNameBytes:
		return badRequest("object", "longer than 255 bytes")
	}
	return nil
}

func validAdjacency(a floor.Adjacency) bool {
	switch a {
	case "", floor.AdjacentWorker, floor.AdjacentRack, floor.AdjacentDataCentre, floor.AdjacentRegion:
		return true
	default:
		return false
	}
}

func validName(name string) bool {
	if name == "" || len(name) > 63 {
		return false
	}
	for _, c := range name {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '.', c == '_':
		default:
			return false
		}
	}
	return true
}

func parseExpected(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	expected, err := time.ParseDuration(text)
	if err != nil || expected < 0 || expected > MaxExpectedTime {
		return 0, badRequest("expected", fmt.Sprintf("must be a duration up to %v", MaxExpectedTime))
	}
	return expected, nil
}

// inputOf returns the bytes of an input: the text of a JSON string, and any other
// JSON value unchanged.
func inputOf(raw json.RawMessage) []byte {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return []byte(text)
	}
	return raw
}

func badRequest(field, reason string) error {
	return &RequestError{Field: field, Reason: reason, Status: http.StatusBadRequest}
}

// reprDigest returns a digest as a value of the header Repr-Digest (RFC 9530), or
// the empty string if it is not hexadecimal.
func reprDigest(digest job.Digest) string {
	sum, err := hex.DecodeString(string(digest))
	if err != nil {
		return ""
	}
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum) + ":"
}
