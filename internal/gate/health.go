package gate

import (
	"errors"
	"time"

	"github.com/lovageroad/lovageroad/pkg/table"
)

// healthRecent is the time after which a failure says nothing of the store any
// more, as when this process was paused since.
const healthRecent = 10 * time.Second

// health tells from the ends of store operations whether the store answers.
type health struct {
	failing time.Time
	failed  time.Time
}

func (h *health) note(now time.Time, err error) {
	var (
		rejected  *table.RejectedError
		uncertain *table.UncertainError
	)
	switch {
	case !errors.As(err, &rejected) && !errors.As(err, &uncertain):
		h.failing = time.Time{}
		return
	case h.failing.IsZero() || now.Sub(h.failed) > healthRecent:
		h.failing = now
	}
	h.failed = now
}

// down reports whether no operation has succeeded for the time that is given,
// and some have failed.
func (h *health) down(now time.Time, slow time.Duration) bool {
	return !h.failing.IsZero() && now.Sub(h.failing) >= slow && now.Sub(h.failed) <= healthRecent
}
