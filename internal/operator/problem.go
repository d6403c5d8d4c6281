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
	// Problem is a refusal in the form of RFC 9457. Current is the subject as it
	// is, where another change came first. Change identifies a change of which
	// nobody can tell whether it was accepted.
	Problem struct {
		problem.Details
		Current *Body            `json:"current,omitempty"`
		Change  account.ChangeID `json:"change,omitempty"`
	}

	// RequestError says which part of a request is wrong.
	RequestError struct {
		Status int
		Field  string
		Reason string
	}
)

func (e *RequestError) Error() string {
	return e.Reason
}

func problemOf(err error) Problem {
	var (
		request     *RequestError
		field       *account.FieldError
		guarantee   *gate.GuaranteeError
		unavailable *gate.UnavailableError
		unsettled   *gate.UnsettledError
	)
	p := Problem{Details: problem.Details{Status: http.StatusInternalServerError, Detail: err.Error()}}
	switch {
	case errors.As(err, &request):
		p.Status, p.Field = request.Status, request.Field
	case errors.As(err, &field):
		p.Status, p.Field, p.Detail = http.StatusUnprocessableEntity, field.Field, field.Reason
	case errors.As(err, &guarantee):
		p.Status, p.Field = http.StatusConflict, "guarantees"
	case errors.As(err, &unavailable):
		p.Status = http.StatusServiceUnavailable
	case errors.As(err, &unsettled):
		p.Status, p.Change = http.StatusGatewayTimeout, unsettled.ID
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
