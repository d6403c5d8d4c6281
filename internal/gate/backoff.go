package gate

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/pkg/retry"
)

const (
	// startBackoffBase and startBackoffCap bound the back-off between two
	// starts of a job whose starts fail.
	startBackoffBase = 500 * time.Millisecond
	startBackoffCap  = time.Minute
)

// withhold removes a job from the policy, at least until a time.
func (l *leader) withhold(now time.Time, e *jobEntry, until time.Time) {
	l.removeFromPolicy(now, e, scheduler.Outcome{})
	e.withheld = true
	e.withheldUntil = until
}

// returnToPolicy returns a withheld job to the policy once its time has come. A
// non-idempotent job also waits until the table is available.
func (l *leader) returnToPolicy(now time.Time, e *jobEntry) {
	if now.Before(e.withheldUntil) || (!e.record.Spec.Idempotent && l.writer.tableUnavailable(now)) {
		return
	}
	e.withheld = false
	l.policy.Restore(now, policyJob(e.record), nil)
}

// startDelay returns the back-off before the next start of a job, after a
// number of starts that failed or were aborted.
func (l *leader) startDelay(starts int) time.Duration {
	backoff := retry.Backoff{Base: startBackoffBase, Cap: startBackoffCap, Jitter: l.gate.random.Float64}
	return backoff.Delay(starts)
}
