// Package retry limits retries. A Backoff says when to retry, a Budget limits the
// load that retries add, and a Group keeps both for each of many destinations.
//
// The package reads no clock and draws no random numbers. The caller passes times
// and a source of jitter, so that tests are reproducible.
package retry

import "time"

const (
	// DefaultBase is the delay after the first failure, before jitter.
	DefaultBase = 250 * time.Millisecond

	// DefaultCap is the longest delay, before jitter.
	DefaultCap = 10 * time.Second

	// DefaultShare is the number of retries allowed for each first attempt.
	DefaultShare = 0.2

	// DefaultFloor is the number of retries allowed per second in addition to the
	// share.
	DefaultFloor = 5

	// DefaultBurst is the largest number of unused retries that accumulate.
	DefaultBurst = 50
)

type (
	// Backoff computes exponential delays: they double with each failure, from
	// Base up to Cap. Jitter, if set, returns numbers from 0 to 1 and shortens
	// each delay by up to half, so that clients do not retry at the same moment.
	Backoff struct {
		Base   time.Duration
		Cap    time.Duration
		Jitter func() float64
	}

	// Budget is a token bucket that limits retries. Each first attempt adds Share
	// tokens and each second adds Floor tokens, up to Burst; a retry takes one.
	// The bucket starts with Floor tokens, at most Burst.
	// Floor lets a client with little traffic recover.
	Budget struct {
		Share float64
		Floor float64
		Burst float64

		tokens     float64
		refilledAt time.Time
	}

	// Option sets fields of the Backoff and the Budgets of a Group.
	Option func(*Backoff, *Budget)

	// Group tracks failures, back-off and retry budget for each destination. K
	// identifies a destination. It is not safe for concurrent use.
	Group[K comparable] struct {
		backoff Backoff
		budget  Budget
		states  map[K]*destinationState
	}

	destinationState struct {
		budget   Budget
		failures int
		next     time.Time
	}
)

// WithBackoff sets the delay after the first failure and the longest delay, both before
// jitter.
func WithBackoff(base, limit time.Duration) Option {
	return func(b *Backoff, _ *Budget) { b.Base, b.Cap = base, limit }
}

// WithJitter sets the source of jitter, which returns numbers from 0 to 1.
func WithJitter(jitter func() float64) Option {
	return func(b *Backoff, _ *Budget) { b.Jitter = jitter }
}

// WithBudget sets the retries allowed for each first attempt, the retries allowed
// per second in addition, and the largest number of unused retries that
// accumulate.
func WithBudget(share, floor, burst float64) Option {
	return func(_ *Backoff, b *Budget) { b.Share, b.Floor, b.Burst = share, floor, burst }
}

// Delay returns the delay after the given number of consecutive failures.
func (b Backoff) Delay(failures int) time.Duration {
	delay := b.Base
	for i := 1; i < failures && delay < b.Cap; i++ {
		delay *= 2
	}
	delay = min(delay, b.Cap)
	if b.Jitter == nil {
		return delay
	}
	return delay - time.Duration(float64(delay)*b.Jitter()/2)
}

// FirstAttempt counts a first attempt, which is always allowed.
func (b *Budget) FirstAttempt(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+b.Share, b.Burst)
}

// Retry reports whether a retry is allowed, and counts it if so.
func (b *Budget) Retry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
		b.tokens = min(b.Floor, b.Burst)
		return
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.tokens+b.Floor*elapsed.Seconds(), b.Burst)
		b.refilledAt = now
	}
}

// NewGroup returns a group without destinations.
func NewGroup[K comparable](options ...Option) *Group[K] {
	g := &Group[K]{
		backoff: Backoff{Base: DefaultBase, Cap: DefaultCap},
		budget:  Budget{Share: DefaultShare, Floor: DefaultFloor, Burst: DefaultBurst},
		states:  make(map[K]*destinationState),
	}
	for _, option := range options {
		option(&g.backoff, &g.budget)
	}
	return g
}

// FirstAttempt counts a first attempt at a destination.
func (g *Group[K]) FirstAttempt(now time.Time, destination K) {
	g.state(destination).budget.FirstAttempt(now)
}

// Allow reports whether the back-off of a destination has passed and its budget
// permits a retry. If so, it counts the retry.
func (g *Group[K]) Allow(now time.Time, destination K) bool {
	s := g.state(destination)
	return !now.Before(s.next) && s.budget.Retry(now)
}

// Ready reports whether the back-off of a destination has passed. It does not use
// the budget.
func (g *Group[K]) Ready(now time.Time, destination K) bool {
	return !now.Before(g.state(destination).next)
}

// Failed counts a failure and returns when the back-off ends.
func (g *Group[K]) Failed(now time.Time, destination K) time.Time {
	s := g.state(destination)
	s.failures++
	s.next = now.Add(g.backoff.Delay(s.failures))
	return s.next
}

// Succeeded resets the failures and the back-off of a destination.
func (g *Group[K]) Succeeded(destination K) {
	s := g.state(destination)
	s.failures = 0
	s.next = time.Time{}
}

// Failures returns the number of consecutive failures at a destination.
func (g *Group[K]) Failures(destination K) int {
	return g.state(destination).failures
}

// Forget removes a destination and its state.
func (g *Group[K]) Forget(destination K) {
	delete(g.states, destination)
}

func (g *Group[K]) state(destination K) *destinationState {
	s, ok := g.states[destination]
	if !ok {
		s = &destinationState{budget: g.budget}
		g.states[destination] = s
	}
	return s
}
