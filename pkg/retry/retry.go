// Package retry bounds retries: a Backoff says when to try again, a Budget
// whether retries may add to the load at all, and a Group keeps both for each
// of many destinations.
//
// Nothing here reads a clock or draws random numbers by itself. Times and
// sources of jitter are given by the caller, so that tests repeat.
package retry

import "time"

const (
	// DefaultBase is the delay after the first failure, before jitter.
	DefaultBase = 250 * time.Millisecond

	// DefaultCap is the longest delay, before jitter.
	DefaultCap = 10 * time.Second

	// DefaultShare is the part of the first tries that retries may add.
	DefaultShare = 0.2

	// DefaultFloor is the number of retries a second that are always allowed.
	DefaultFloor = 5

	// DefaultBurst is the number of retries that may be saved up.
	DefaultBurst = 50
)

type (
	// Backoff doubles the delay with each failure, from Base to Cap. Jitter takes
	// up to half of each delay off, so that many clients do not return at once.
	Backoff struct {
		Base   time.Duration
		Cap    time.Duration
		Jitter func() float64
	}

	// Budget allows retries up to a share of the first tries, and a few a second
	// besides so that a quiet client can recover.
	Budget struct {
		Share float64
		Floor float64
		Burst float64

		tokens float64
		at     time.Time
	}

	// Option sets a field of a group's Backoff and of its Budgets.
	Option func(*Backoff, *Budget)

	// Group keeps a Backoff and a Budget for each destination. K names a
	// destination.
	Group[K comparable] struct {
		backoff Backoff
		budget  Budget
		states  map[K]*state
	}

	state struct {
		budget   Budget
		failures int
		next     time.Time
	}
)

// WithBackoff sets the shortest and the longest delay.
func WithBackoff(base, limit time.Duration) Option {
	return func(b *Backoff, _ *Budget) { b.Base, b.Cap = base, limit }
}

// WithJitter sets the source of jitter, which returns numbers from 0 to 1.
func WithJitter(jitter func() float64) Option {
	return func(b *Backoff, _ *Budget) { b.Jitter = jitter }
}

// WithShare sets the part of the first tries that retries may add, the retries a
// second that are always allowed, and the retries that may be saved up.
func WithShare(share, floor, burst float64) Option {
	return func(_ *Backoff, b *Budget) { b.Share, b.Floor, b.Burst = share, floor, burst }
}

// Delay returns the delay after the given number of failures in a row.
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

// First counts a first try, which is always allowed.
func (b *Budget) First(now time.Time) {
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
	if b.at.IsZero() {
		b.at = now
		b.tokens = min(b.Floor, b.Burst)
		return
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(b.tokens+b.Floor*elapsed.Seconds(), b.Burst)
		b.at = now
	}
}

// NewGroup returns a group without destinations.
func NewGroup[K comparable](options ...Option) *Group[K] {
	g := &Group[K]{
		backoff: Backoff{Base: DefaultBase, Cap: DefaultCap},
		budget:  Budget{Share: DefaultShare, Floor: DefaultFloor, Burst: DefaultBurst},
		states:  make(map[K]*state),
	}
	for _, option := range options {
		option(&g.backoff, &g.budget)
	}
	return g
}

// First counts a first try at a destination.
func (g *Group[K]) First(now time.Time, destination K) {
	g.state(destination).budget.First(now)
}

// Allow reports whether a retry at a destination is due and within the budget,
// and counts it if so.
func (g *Group[K]) Allow(now time.Time, destination K) bool {
	s := g.state(destination)
	return !now.Before(s.next) && s.budget.Retry(now)
}

// Ready reports whether the delay after the last failure has passed. It counts
// nothing.
func (g *Group[K]) Ready(now time.Time, destination K) bool {
	return !now.Before(g.state(destination).next)
}

// Failed counts a failure and returns the time of the next retry.
func (g *Group[K]) Failed(now time.Time, destination K) time.Time {
	s := g.state(destination)
	s.failures++
	s.next = now.Add(g.backoff.Delay(s.failures))
	return s.next
}

// Succeeded forgets the failures of a destination.
func (g *Group[K]) Succeeded(destination K) {
	s := g.state(destination)
	s.failures = 0
	s.next = time.Time{}
}

// Failures returns the number of failures in a row at a destination.
func (g *Group[K]) Failures(destination K) int {
	return g.state(destination).failures
}

// Forget drops a destination.
func (g *Group[K]) Forget(destination K) {
	delete(g.states, destination)
}

func (g *Group[K]) state(destination K) *state {
	s, ok := g.states[destination]
	if !ok {
		s = &state{budget: g.budget}
		g.states[destination] = s
	}
	return s
}
