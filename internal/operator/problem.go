package operator

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/problem"
)

type (
	// Problem is an error response in the format of RFC 9457. Current is the
	// present state of the subject if another change came first. Change identifies
	// the change if it is uncertain whether it was accepted.
	Problem struct {
		problem.Details
		Current *SubjectBody     `json:"current,omitempty"`
		Change  account.ChangeID `json:"change,omitempty"`
	}

	// RequestError reports an invalid field, header or query key of a request, the
	// reason, and the HTTP status of the response.
	RequestError struct {
		Status int
		Field  string
		Reason string
	}
)

func (e *RequestError) Error() string {
	return e.Reason
}

// problemOf returns the response for an error. Errors of other types than those
// listed give status 500.
func problemOf(err error) Problem {
	var (
		invalid     *RequestError
		field       *account.FieldError
		guarantee   *gate.GuaranteeError
		unavailable *gate.UnavailableError
		uncertain   *gate.UncertainChangeError
	)
	p := Problem{Details: problem.Details{Status: http.StatusInternalServerError, Detail: err.Error()}}
	switch {
	case errors.As(err, &invalid):
		p.Status, p.Field = invalid.Status, invalid.Field
	case errors.As(err, &field):
		p.Status, p.Field, p.Detail = http.StatusUnprocessableEntity, field.Field, field.Reason
	case errors.As(err, &guarantee):
		p.Status, p.Field = http.StatusConflict, "guarantees"
	case errors.As(err, &unavailable):
		p.Status = http.StatusServiceUnavailable
	case errors.As(err, &uncertain):
		p.Status, p.Change = http.StatusGatewayTimeout, uncertain.ID
	}
	return p
}

func writeError(w http.ResponseWriter, err error) {
	writeProblem(w, problemOf(err))
}

func writeProblem(w http.ResponseWriter, p Problem) {
	p.Complete()
	problem.Write(w, p.Status, p)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return
	}
}
