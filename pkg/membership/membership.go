// Package membership tells joining, live, suspect, dead and leaving members
// apart by what is heard of them.
//
// Suspicion is not death: a suspect member gets no new work, and its owner asks
// it directly. A member whose reports arrive but that hears nothing itself stays
// suspect. If most members of a cell fall silent together, the cell is taken for
// cut off and its members for suspect, for as long as the hold. A member that
// changes too often is held down until it has been quiet.
//
// A Detector reads no clock and sends nothing: its owner hands it the time and
// the reports.
package membership

import (
	"time"
)

const (
	// DefaultInterval is the time between two reports of a member.
	DefaultInterval = 2 * time.Second

	// DefaultProbes is the number of intervals between the suspicion and the
	// death of a silent member. Its owner asks it in each.
	DefaultProbes = 4

	// DefaultHold is the longest time for which the members of a cell that is cut
	// off are not taken for dead.
	DefaultHold = 5 * time.Minute

	// DefaultMinCell is the least number of silent members of a cell that is
	// taken for cut off.
	DefaultMinCell = 3

	// DefaultFlaps is the number of returns from suspicion within about a
	// DefaultQuiet after which a member is held down.
	DefaultFlaps = 3

	// DefaultQuiet is the time in which the count of returns halves.
	DefaultQuiet = time.Minute

	// suspectIntervals is the silence in intervals after which a member is
	// suspect: two reports were lost.
	suspectIntervals = 2.5

	// releaseFlaps is the count of returns below which a member is released.
	releaseFlaps = 1
)

const (
	// Unknown is the state of who has not joined.
	Unknown State = iota

	// Joining is the state of a member that has announced itself and is not
	// admitted yet.
	Joining

	// Alive is the state of a member that reports.
	Alive

	// Suspect is the state of a member that may be dead, paused or cut off.
	Suspect

	// Dead is the state of a member that is given up.
	Dead

	// Leaving is the state of a member that gets no new work.
	Leaving
)

const (
	// NoCause is the cause of a change that a report brought about.
	NoCause Cause = iota

	// Silent says that nothing was heard of a member.
	Silent

	// Deaf says that a member reports and does not hear its owner.
	Deaf

	// CutOff says that most of a member's cell fell silent together.
	CutOff
)

type (
	// State is a step in the life of a member.
	State int

	// Cause says why a member is suspect or dead.
	Cause int

	// Report is what a member says of itself.
	Report struct {
		Deaf    bool
		Leaving bool
	}

	// Change is a change of a member's state.
	Change[ID comparable] struct {
		ID    ID
		From  State
		To    State
		Cause Cause
	}

	// Config holds the times and bounds of a Detector.
	Config struct {
		Interval time.Duration
		Probes   int
		Hold     time.Duration
		MinCell  int
		Flaps    float64
		Quiet    time.Duration
	}

	// Option sets a field of a Config.
	Option func(*Config)
)

// WithInterval sets the time between two reports of a member.
func WithInterval(interval time.Duration) Option {
	return func(c *Config) { c.Interval = interval }
}

// WithProbes sets the number of intervals between suspicion and death.
func WithProbes(probes int) Option {
	return func(c *Config) { c.Probes = probes }
}

// WithHold sets the longest time for which a cell is taken for cut off, and the
// least number of its silent members.
func WithHold(hold time.Duration, minCell int) Option {
	return func(c *Config) { c.Hold, c.MinCell = hold, minCell }
}

// WithFlaps sets the number of returns after which a member is held down, and
// the time in which their count halves.
func WithFlaps(flaps float64, quiet time.Duration) Option {
	return func(c *Config) { c.Flaps, c.Quiet = flaps, quiet }
}

// SuspectAfter returns the silence after which a member is suspect.
func (c Config) SuspectAfter() time.Duration {
	return time.Duration(suspectIntervals * float64(c.Interval))
}

// DeadAfter returns the silence after which a member is dead.
func (c Config) DeadAfter() time.Duration {
	return c.SuspectAfter() + time.Duration(c.Probes)*c.Interval
}
