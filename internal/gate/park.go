package gate

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/pkg/retry"
)

const (
	// attemptBase and attemptCap bound the time between two starts of a job whose
	// starts do not succeed.
	attemptBase = 500 * time.Millisecond
	attemptCap  = time.Minute
)

// park keeps a job from the policy until a time, and a non-idempotent one while
// the store is down.
func (l *leader) park(now time.Time, e *entry, until time.Time) {
	l.forgetJob(now, e, scheduler.Outcome{})
	e.parked = true
	e.until = until
}

// unpark gives a job back to the policy when it may start.
func (l *leader) unpark(now time.Time, e *entry) {
	if now.Before(e.until) || (!e.record.Spec.Idempotent && l.writer.stalled(now)) {
		return
	}
	e.parked = false
	l.policy.Restore(now, described(e.record), nil)
}

// delay returns the time to the next start of a job after starts that did not
// succeed.
func (l *leader) delay(starts int) time.Duration {
	backoff := retry.Backoff{Base: attemptBase, Cap: attemptCap, Jitter: l.gate.random.Float64}
	return backoff.Delay(starts)
}
