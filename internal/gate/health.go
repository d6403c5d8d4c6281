package gate

import (
	"errors"
	"time"

	"github.com/lovageroad/lovageroad/pkg/table"
)

// maxFailureAge is the age from which a failure is disregarded, as when this
// process has been paused since.
const maxFailureAge = 10 * time.Second

// health tracks from the results of table operations whether the table is
// available. failingSince is when the current series of failures began, or
// zero.
type health struct {
	failingSince time.Time
	lastFailure  time.Time
}

// record records the result of a table operation. A conflict counts as a
// success, since the table has answered.
func (h *health) record(now time.Time, err error) {
	var (
		rejected  *table.RejectedError
		uncertain *table.UncertainError
	)
	switch {
	case !errors.As(err, &rejected) && !errors.As(err, &uncertain):
		h.failingSince = time.Time{}
		return
	case h.failingSince.IsZero() || now.Sub(h.lastFailure) > maxFailureAge:
		h.failingSince = now
	}
	h.lastFailure = now
}

// resumed records that the process was paused until now. A series of failures counts
// from now on.
func (h *health) resumed(now time.Time) {
	if !h.failingSince.IsZero() {
		h.failingSince = now
	}
}

// down reports whether operations have been failing for at least the given
// time, none has succeeded since, and the last failure is recent.
func (h *health) down(now time.Time, atLeast time.Duration) bool {
	return !h.failingSince.IsZero() && now.Sub(h.failingSince) >= atLeast && now.Sub(h.lastFailure) <= maxFailureAge
}
