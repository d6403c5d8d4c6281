package caller

import (
	"errors"
	"net/http"

	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/problem"
)

// Problem is a refusal in the form of RFC 9457. Ran says whether the job of the
// request ran.
type Problem struct {
	problem.Details
	Job job.ID  `json:"job,omitempty"`
	Ran job.Ran `json:"ran,omitempty"`
}

// FieldError says which field of a request is wrong.
type FieldError struct {
	Field  string
	Reason string
	Status int
}

func (e *FieldError) Error() string {
	return e.Field + ": " + e.Reason
}

func problemOf(err error) Problem {
	var (
		field       *FieldError
		unknown     *gate.UnknownJobError
		mismatch    *gate.MismatchError
		denied      *gate.DeniedError
		limited     *gate.RateError
		unavailable *gate.UnavailableError
	)
	p := Problem{Details: problem.Details{Status: http.StatusInternalServerError, Detail: err.Error()}, Ran: job.MayHaveRun}
	switch {
	case errors.As(err, &field):
		p.Status, p.Field, p.Detail, p.Ran = field.Status, field.Field, field.Reason, job.NotRun
	case errors.As(err, &unknown):
		p.Status, p.Job, p.Ran = http.StatusNotFound, unknown.ID, ""
	case errors.As(err, &mismatch):
		p.Status, p.Job, p.Field, p.Ran = http.StatusUnprocessableEntity, mismatch.ID, "Idempotency-Key", job.NotRun
	case errors.As(err, &denied):
		p.Status, p.Field, p.Ran = http.StatusForbidden, "Authorization", job.NotRun
	case errors.As(err, &limited):
		p.Status = http.StatusTooManyRequests
	case errors.As(err, &unavailable):
		p.Status, p.Ran = http.StatusServiceUnavailable, unavailable.Ran
	}
	return p
}

func writeProblem(w http.ResponseWriter, p Problem) {
	p.Complete()
	problem.Write(w, p.Status, p)
}
