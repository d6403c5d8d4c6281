// Package revision provides a register for replicated settings whose revision
// only increases and whose staleness is bounded.
//
// A Register accepts a value only at a higher revision than the one it holds, so
// delayed, duplicate and reordered updates have no effect. It counts as fresh
// until a given time has passed since it was last confirmed to hold the newest
// revision. A confirmation dates from when the query for the newest revision was
// sent, not from when the answer arrived, by the clock of the process that asked.
// Clocks of different processes are never compared.
package revision

import "time"

type (
	// Number is a revision: the number of changes accepted so far. Zero stands
	// for the time before the first change.
	Number uint64

	// Register holds a value and its revision, and when it was last confirmed to
	// be up to date. The zero Register holds no value and is ready to use. A
	// Register is not safe for concurrent use.
	Register[T any] struct {
		number    Number
		value     T
		hasValue  bool
		highest   Number
		confirmed time.Time
	}
)

// Advance stores a value if its revision is higher than the one held, and
// reports whether it did.
func (r *Register[T]) Advance(number Number, value T) bool {
	if r.hasValue && number <= r.number {
		return false
	}
	r.number = number
	r.value = value
	r.hasValue = true
	r.Observe(number)
	return true
}

// Observe records that a revision exists and reports whether the register is
// behind.
func (r *Register[T]) Observe(number Number) bool {
	r.highest = max(r.highest, number)
	return r.Behind()
}

// Confirm records that number was the newest revision at the time asOf. It marks
// the register as confirmed at asOf if the register holds that revision or a
// higher one and has no later confirmation.
func (r *Register[T]) Confirm(asOf time.Time, number Number) {
	r.Observe(number)
	if r.hasValue && r.number >= number && asOf.After(r.confirmed) {
		r.confirmed = asOf
	}
}

// Get returns the value, its revision, and false if no value is held yet.
func (r *Register[T]) Get() (T, Number, bool) {
	return r.value, r.number, r.hasValue
}

// Number returns the revision of the value held, or zero.
func (r *Register[T]) Number() Number {
	return r.number
}

// HasValue reports whether the register holds a value.
func (r *Register[T]) HasValue() bool {
	return r.hasValue
}

// Behind reports whether a higher revision than the one held is known to exist.
func (r *Register[T]) Behind() bool {
	return r.highest > r.number
}

// Confirmed returns the time of the latest confirmation, and false if there was
// none.
func (r *Register[T]) Confirmed() (time.Time, bool) {
	return r.confirmed, !r.confirmed.IsZero()
}

// Fresh reports whether the register was confirmed to be up to date no longer
// than bound before now.
func (r *Register[T]) Fresh(now time.Time, bound time.Duration) bool {
	return r.hasValue && !r.confirmed.IsZero() && now.Sub(r.confirmed) <= bound
}
