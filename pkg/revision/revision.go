// Package revision holds settings at a revision that only ever moves forward,
// and knows until when they may be applied.
//
// A Register advances to higher revisions and refuses all others, so late,
// doubled and reordered news changes nothing. It is fresh for a bound of time
// after the last moment at which it is known to have held all changes. The
// moment is that at which the question was asked, by the asker's own clock: no
// clocks are compared.
package revision

import "time"

type (
	// Number counts the accepted changes. Zero is before the first change.
	Number uint64

	// Register holds a value at the highest revision that it was given. The zero
	// Register holds nothing.
	Register[T any] struct {
		number    Number
		value     T
		known     bool
		seen      Number
		confirmed time.Time
	}
)

// Advance takes a value at a revision. It returns false, and changes nothing,
// if the register holds that revision or a higher one.
func (r *Register[T]) Advance(number Number, value T) bool {
	if r.known && number <= r.number {
		return false
	}
	r.number = number
	r.value = value
	r.known = true
	r.Observe(number)
	return true
}

// Observe takes note that a revision exists and returns whether the register is
// behind it.
func (r *Register[T]) Observe(number Number) bool {
	r.seen = max(r.seen, number)
	return r.Behind()
}

// Confirm takes note that at the time asked no revision above number existed. It
// counts if the register holds that revision or a higher one.
func (r *Register[T]) Confirm(asked time.Time, number Number) {
	r.Observe(number)
	if r.known && r.number >= number && asked.After(r.confirmed) {
		r.confirmed = asked
	}
}

// Get returns the value and its revision, and false if there is none yet.
func (r *Register[T]) Get() (T, Number, bool) {
	return r.value, r.number, r.known
}

// Number returns the revision that is held.
func (r *Register[T]) Number() Number {
	return r.number
}

// Known reports whether the register holds a value.
func (r *Register[T]) Known() bool {
	return r.known
}

// Behind reports whether a higher revision exists than the one held.
func (r *Register[T]) Behind() bool {
	return r.seen > r.number
}

// Confirmed returns the last time at which no revision above the one held
// existed, as far as is known, and false if there is none.
func (r *Register[T]) Confirmed() (time.Time, bool) {
	return r.confirmed, !r.confirmed.IsZero()
}

// Fresh reports whether the register holds all that was accepted until the bound
// before now, or longer.
func (r *Register[T]) Fresh(now time.Time, bound time.Duration) bool {
	return r.known && !r.confirmed.IsZero() && now.Sub(r.confirmed) <= bound
}
