package admission

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/work"
)

// maxTurns bounds the refused callers whose turns a gate remembers. The oldest are
// forgotten first.
const maxTurns = 1024

type (
	// Returns gives refused callers turns to come back, so that they don't come all at once
	// when there is room, and in the order in which they were refused. A caller that comes
	// back early keeps its turn. It is not safe for use by several goroutines.
	Returns struct {
		turns map[work.JobID]turn

		// order has the jobs of turns, the oldest first.
		order []work.JobID

		// last is the last turn given to each class.
		last map[Class]time.Time
	}

	// turn is when a refused caller may come back, and when it was first refused.
	turn struct {
		at, first time.Time
	}

	// Class is the callers that wait for the same room.
	Class struct {
		Pool     work.PoolID
		Priority work.Priority
	}
)

// NewReturns returns a Returns without turns.
func NewReturns() *Returns {
	return &Returns{turns: make(map[work.JobID]turn), last: make(map[Class]time.Time)}
}

// Turn returns how long a refused caller is asked to wait, in whole seconds between
// MinRetryAfter and MaxRetryAfter. It is at least wait, when there is room for the job, and
// spacing after the turn of the caller of its class that was refused before it.
func (r *Returns) Turn(now time.Time, id work.JobID, class Class, wait, spacing time.Duration) time.Duration {
	given, known := r.turns[id]
	if !known {
		given.first = now
	}
	if !given.at.After(now) {
		given.at = now.Add(min(wait, MaxRetryAfter))
		if next := r.last[class].Add(min(max(spacing, 0), MaxRetryAfter)); next.After(given.at) {
			given.at = next
		}
		if latest := now.Add(MaxRetryAfter); given.at.After(latest) {
			given.at = latest
		}
		r.last[class] = given.at
		r.remember(id, given)
	}
	return min(max((given.at.Sub(now)+time.Second-1).Truncate(time.Second), MinRetryAfter), MaxRetryAfter)
}

// Waited returns how long ago a caller was first refused, 0 if it was not. The latency
// objective of its job counts from then.
func (r *Returns) Waited(now time.Time, id work.JobID) time.Duration {
	given, known := r.turns[id]
	if !known {
		return 0
	}
	return max(now.Sub(given.first), 0)
}

// remember stores a turn, and forgets the oldest ones beyond maxTurns.
func (r *Returns) remember(id work.JobID, given turn) {
	if _, known := r.turns[id]; !known {
		r.order = append(r.order, id)
	}
	r.turns[id] = given
	for len(r.order) > maxTurns {
		delete(r.turns, r.order[0])
		r.order = r.order[1:]
	}
}
