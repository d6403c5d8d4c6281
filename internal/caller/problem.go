package caller

import (
	"errors"
	"net/http"

	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/problem"
)

// Problem is an error response in the format of RFC 9457. Ran says whether the
// job of the request did not run or may have run. It is empty if there is no such
// job, or if the job has an answer that cannot be delivered.
type Problem struct {
	problem.Details
	Job job.ID        `json:"job,omitempty"`
	Ran job.RunStatus `json:"ran,omitempty"`
}

// RequestError reports an invalid field or header of a request, the reason, and the
// HTTP status of the response.
type RequestError struct {
	Field  string
	Reason string
	Status int
}

func (e *RequestError) Error() string {
	return e.Field + ": " + e.Reason
}

// problemOf returns the response for an error. Ran is MayHaveRun unless the error
// shows that the job did not run. It is empty if there is no such job.
func problemOf(err error) Problem {
	var (
		invalid     *RequestError
		unknown     *gate.UnknownJobError
		mismatch    *gate.BodyMismatchError
		denied      *gate.DeniedError
		rateLimited *gate.RateError
		unavailable *gate.UnavailableError
	)
	p := Problem{Details: problem.Details{Status: http.StatusInternalServerError, Detail: err.Error()}, Ran: job.MayHaveRun}
	switch {
	case errors.As(err, &invalid):
		p.Status, p.Field, p.Detail, p.Ran = invalid.Status, invalid.Field, invalid.Reason, job.NotRun
	case errors.As(err, &unknown):
		p.Status, p.Job, p.Ran = http.StatusNotFound, unknown.ID, ""
	case errors.As(err, &mismatch):
		p.Status, p.Job, p.Field, p.Ran = http.StatusUnprocessableEntity, mismatch.ID, "Idempotency-Key", job.NotRun
	case errors.As(err, &denied):
		p.Status, p.Field, p.Ran = http.StatusForbidden, "Authorization", job.NotRun
	case errors.As(err, &rateLimited):
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
