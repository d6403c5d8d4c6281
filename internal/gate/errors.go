package gate

import (
	"fmt"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/job"
)

type (
	// UnknownJobError reports that the account has no job with the ID.
	UnknownJobError struct {
		ID job.ID
	}

	// BodyMismatchError reports that the idempotency key was used before with a
	// different request body.
	BodyMismatchError struct {
		ID job.ID
	}

	// DeniedError reports that there is no such account, or that the token is
	// not one of its tokens.
	DeniedError struct {
		Account account.Name
	}

	// RateError reports that an account exceeds its request rate, and how long
	// to wait before the next request.
	RateError struct {
		Account account.Name
		After   time.Duration
	}

	// UnavailableError reports that the request cannot be carried out now, why,
	// and whether the job may have run.
	UnavailableError struct {
		Reason string
		Ran    job.RunStatus
	}
)

func (e *UnknownJobError) Error() string {
	return fmt.Sprintf("unknown job %s", e.ID)
}

func (e *BodyMismatchError) Error() string {
	return fmt.Sprintf("the idempotency key of job %s was used with a different body", e.ID)
}

func (e *DeniedError) Error() string {
	return fmt.Sprintf("the token is not valid for account %s", e.Account)
}

func (e *RateError) Error() string {
	return fmt.Sprintf("account %s exceeds its request rate", e.Account)
}

func (e *UnavailableError) Error() string {
	return e.Reason
}
