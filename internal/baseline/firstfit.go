package baseline

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/scheduler"
)

type (
	// firstFit is the policy that NewFirstFit returns.
	firstFit struct {
		base
	}
)

// NewFirstFit returns a policy that starts jobs in the order of submission, each
// on the first workers that have the capacity free.
func NewFirstFit() scheduler.Policy {
	return &firstFit{base: newBase()}
}

// Decide starts jobs until the first in the queue does not fit.
func (f *firstFit) Decide(now time.Time) []scheduler.Decision {
	var decisions []scheduler.Decision
	for len(f.queue) > 0 {
		head := f.queue[0]
		placement := f.pool.place(head.Shape, firstFitting)
		if placement == nil {
			break
		}
		f.queue = f.queue[1:]
		f.start(now, head, placement)
		decisions = append(decisions, scheduler.Start{Job: head.ID, Placement: placement})
	}
	return decisions
}
