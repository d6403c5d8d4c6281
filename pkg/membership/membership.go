// Package membership provides a failure detector for a group of members that
// report periodically to one owner.
//
// A member that misses reports is first suspect and later dead. A suspect member
// should get no new work, and the owner probes it directly. A member whose reports
// arrive but that does not receive the owner's messages stays suspect.
//
// Members are spread over failure domains, such as racks or data centres. If most
// members of a domain become unresponsive together, a network partition is more
// likely than the failure of all, so its members stay suspect for a hold time
// before they are declared dead. A member that repeatedly fails and returns is
// suppressed, as in route flap damping, until it has been stable for a while.
//
// A Detector reads no clock and sends nothing: its owner passes it the time and the
// reports, and probes the members that Probes lists.
package membership

import (
	"time"
)

const (
	// DefaultInterval is the time between two reports of a member.
	DefaultInterval = 2 * time.Second

	// DefaultProbes is the number of intervals for which an unresponsive member is
	// suspect before it is dead. The owner probes it in each.
	DefaultProbes = 4

	// DefaultPartitionHold is the longest time for which the unresponsive members of a
	// partitioned domain stay suspect.
	DefaultPartitionHold = 5 * time.Minute

	// DefaultMinPartition is the least number of unresponsive members for which a
	// domain may count as partitioned.
	DefaultMinPartition = 3

	// DefaultFlaps is the count of returns at which a member is suppressed. A
	// return is a change from Suspect to Alive, or a new Join of a suspect or
	// dead member. The count halves in each DefaultFlapHalfLife, so it takes about as
	// many returns within one DefaultFlapHalfLife.
	DefaultFlaps = 3

	// DefaultFlapHalfLife is the half-life of the count of returns.
	DefaultFlapHalfLife = time.Minute

	// suspectIntervals is the time since the last report, in intervals, after
	// which a member is suspect: two reports were lost.
	suspectIntervals = 2.5

	// releaseFlaps is the count of returns below which a member is no longer
	// suppressed.
	releaseFlaps = 1
)

const (
	// Unknown is the state of an ID that has not joined or was removed.
	Unknown State = iota

	// Joining is the state of a member that has joined and is not admitted yet.
	Joining

	// Alive is the state of an admitted member whose reports arrive.
	Alive

	// Suspect is the state of a member that may be dead, paused or partitioned.
	Suspect

	// Dead is the state of a member that is taken to have failed. Only a new Join
	// ends it.
	Dead

	// Draining is the state of a member that shuts down and gets no new work.
	Draining
)

const (
	// NoCause is the cause of all states but Suspect and Dead.
	NoCause Cause = iota

	// Unresponsive says that no reports of a member arrive.
	Unresponsive

	// OwnerUnresponsive says that a member reports that it does not receive messages of
	// the owner.
	OwnerUnresponsive

	// Partitioned says that most members of a domain became unresponsive together, so
	// that the domain is probably partitioned.
	Partitioned
)

type (
	// State is the state of a member.
	State int

	// Cause says why a member is suspect or dead.
	Cause int

	// Report is the content of a member's report. OwnerUnresponsive says that the
	// member does not receive messages of the owner, Draining that it shuts down.
	Report struct {
		OwnerUnresponsive bool
		Draining          bool
	}

	// Change is a change of a member's state, or only of its cause, in which case
	// From and To are the same. Cause is the new cause.
	Change[ID comparable] struct {
		ID    ID
		From  State
		To    State
		Cause Cause
	}

	// Config holds the settings of a Detector. The defaults of the same names
	// describe them.
	Config struct {
		Interval      time.Duration
		Probes        int
		PartitionHold time.Duration
		MinPartition  int
		Flaps         float64
		FlapHalfLife  time.Duration
	}

	// Option sets fields of a Config.
	Option func(*Config)
)

// WithInterval sets the time between two reports of a member.
func WithInterval(interval time.Duration) Option {
	return func(c *Config) { c.Interval = interval }
}

// WithProbes sets the number of intervals for which an unresponsive member is
// suspect before it is dead.
func WithProbes(probes int) Option {
	return func(c *Config) { c.Probes = probes }
}

// WithPartitionHold sets the longest time for which the unresponsive members of a
// partitioned domain stay suspect, and the least number of unresponsive members for
// which a domain may count as partitioned.
func WithPartitionHold(hold time.Duration, minPartition int) Option {
	return func(c *Config) { c.PartitionHold, c.MinPartition = hold, minPartition }
}

// WithFlaps sets the count of returns at which a member is suppressed, and the
// half-life of that count.
func WithFlaps(flaps float64, halfLife time.Duration) Option {
	return func(c *Config) { c.Flaps, c.FlapHalfLife = flaps, halfLife }
}

// SuspectAfter returns the time since the last report after which a member is
// suspect.
func (c Config) SuspectAfter() time.Duration {
	return time.Duration(suspectIntervals * float64(c.Interval))
}

// DeadAfter returns the time since the last report after which a member is dead,
// unless its domain is partitioned.
func (c Config) DeadAfter() time.Duration {
	return c.SuspectAfter() + time.Duration(c.Probes)*c.Interval
}
