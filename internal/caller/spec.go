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
	// MaxKey is the largest length in bytes of an idempotency key.
	MaxKey = 255

	// MaxWorkers is the largest number of workers of a job.
	MaxWorkers = 1024

	// MaxCores is the largest number of cores of a member.
	MaxCores = 4096

	// MaxMemory is the largest memory of a member.
	MaxMemory floor.MiB = 64 << 20

	// MaxExpected is the longest expected run time of a job.
	MaxExpected = 30 * 24 * time.Hour
)

// specBody is the body of a submission.
type specBody struct {
	Account    account.Name    `json:"account"`
	Class      account.Class   `json:"class"`
	Shape      floor.Shape     `json:"shape"`
	Idempotent bool            `json:"idempotent"`
	Checkpoint bool            `json:"checkpoint"`
	Expected   string          `json:"expected"`
	Input      json.RawMessage `json:"input"`
	Object     string          `json:"object"`
}

// parseSpec reads the body of a submission. It returns a FieldError that names
// what is wrong.
func parseSpec(w http.ResponseWriter, r *http.Request) (job.Spec, job.Digest, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return job.Spec{}, "", &FieldError{Field: "body", Reason: fmt.Sprintf("larger than %d bytes", MaxBody), Status: http.StatusRequestEntityTooLarge}
		}
		return job.Spec{}, "", bad("body", "cannot be read")
	}
	spec, err := decodeSpec(data)
	return spec, job.DigestOf(data), err
}

func decodeSpec(data []byte) (job.Spec, error) {
	var body specBody
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return job.Spec{}, decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return job.Spec{}, bad("body", "has data after the job")
	}
	if err := body.check(); err != nil {
		return job.Spec{}, err
	}
	expected, err := parseExpected(body.Expected)
	if err != nil {
		return job.Spec{}, err
	}
	return job.Spec{
		Account:    body.Account,
		Class:      body.Class,
		Shape:      body.Shape.Normal(),
		Idempotent: body.Idempotent,
		Checkpoint: body.Checkpoint,
		Expected:   expected,
		Input:      inputOf(body.Input),
		Object:     body.Object,
	}, nil
}

func decodeError(err error) error {
	var mistyped *json.UnmarshalTypeError
	if errors.As(err, &mistyped) {
		return bad(cmp.Or(mistyped.Field, "body"), "cannot be "+mistyped.Value)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return bad(strings.Trim(name, `"`), "unknown field")
	}
	return bad("body", err.Error())
}

func (b *specBody) check() error {
	s := b.Shape
	switch {
	case !validName(string(b.Account)):
		return bad("account", "a name of letters, digits, dots and dashes is required")
	case !validName(string(b.Class)):
		return bad("class", "a name of letters, digits, dots and dashes is required")
	case s.Workers < 0 || s.Workers > MaxWorkers:
		return bad("shape.workers", fmt.Sprintf("must be 1 to %d", MaxWorkers))
	case s.Accelerators < 0 || s.Accelerators > floor.MaxAccelerators:
		return bad("shape.accelerators", fmt.Sprintf("must be 0 to %d", floor.MaxAccelerators))
	case s.Cores < 0 || s.Cores > MaxCores:
		return bad("shape.cores", fmt.Sprintf("must be 1 to %d", MaxCores))
	case s.Memory < 0 || s.Memory > MaxMemory:
		return bad("shape.memory", fmt.Sprintf("must be 0 to %d MiB", MaxMemory))
	case !validAdjacency(s.Adjacency):
		return bad("shape.adjacency", "must be worker, rack, datacentre or region")
	case s.Adjacency == floor.AdjacentWorker && s.Workers > 1:
		return bad("shape.adjacency", "several workers cannot be adjacent on one worker")
	case len(b.Input) > job.MaxInline:
		return bad("input", fmt.Sprintf("larger than %d bytes: put it into the object store and name it in object", job.MaxInline))
	case len(b.Input) > 0 && b.Object != "":
		return bad("object", "an input is given already")
	case len(b.Object) > MaxKey:
		return bad("object", "too long")
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
	if err != nil || expected < 0 || expected > MaxExpected {
		return 0, bad("expected", fmt.Sprintf("must be a duration up to %v", MaxExpected))
	}
	return expected, nil
}

// inputOf returns the input's bytes: the text of a JSON string, and other JSON
// as it stands.
func inputOf(raw json.RawMessage) []byte {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return []byte(text)
	}
	return raw
}

func bad(field, reason string) error {
	return &FieldError{Field: field, Reason: reason, Status: http.StatusBadRequest}
}

// reprDigest returns a digest in the form of RFC 9530.
func reprDigest(digest job.Digest) string {
	sum, err := hex.DecodeString(string(digest))
	if err != nil {
		return ""
	}
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum) + ":"
}
