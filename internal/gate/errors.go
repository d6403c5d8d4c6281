package gate

import (
	"fmt"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/job"
)

type (
	// UnknownJobError says that the account has no such job.
	UnknownJobError struct {
		ID job.ID
	}

	// MismatchError says that the idempotency key was used with another body.
	MismatchError struct {
		ID job.ID
	}

	// DeniedError says that there is no such account, or that the token is not
	// one of its tokens.
	DeniedError struct {
		Account account.Name
	}

	// RateError says that an account makes too many requests, and how long to
	// wait before the next.
	RateError struct {
		Account account.Name
		After   time.Duration
	}

	// UnavailableError says that the request cannot be carried out now, and
	// whether the job ran.
	UnavailableError struct {
		Reason string
		Ran    job.Ran
	}
)

func (e *UnknownJobError) Error() string {
	return fmt.Sprintf("no job %s", e.ID)
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("the key of job %s was used with another body", e.ID)
}

func (e *DeniedError) Error() string {
	return fmt.Sprintf("the token does not open account %s", e.Account)
}

func (e *RateError) Error() string {
	return fmt.Sprintf("account %s makes too many requests", e.Account)
}

func (e *UnavailableError) Error() string {
	return e.Reason
}
