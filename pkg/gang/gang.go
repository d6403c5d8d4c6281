// Package gang lets the members of a running gang watch each other in a ring,
// so that a gang never computes on part of its members for longer than a lease,
// whether or not anybody leads it.
//
// Each running member beats to its two neighbours by rank. A member whose
// neighbour stays silent stops its own task and tells the others. A member that
// was reserved and missed the order to run learns from a beat that the gang has
// started. A member reads no clock and opens no socket: its owner hands it the
// time and the messages, and carries out the actions that it returns.
package gang

import (
	"time"
)

const (
	// DefaultInterval is the time between two beats to a neighbour.
	DefaultInterval = 2 * time.Second

	// DefaultLease is the longest time for which a gang computes on part of its
	// members.
	DefaultLease = 15 * time.Second

	// tellIntervals are the intervals at the end of a lease that are kept for
	// telling the others, so that one lost message does not exceed the lease.
	tellIntervals = 2
)

const (
	// Reserved is the state of a member that does not know yet whether the gang
	// has started.
	Reserved State = iota

	// Running is the state of a member whose task computes.
	Running

	// Ended is the state of a member whose task has a result.
	Ended

	// Halted is the state of a member whose gang is broken: its task is not to
	// compute.
	Halted
)

type (
	// State is a step in the life of a member.
	State int

	// Rank is the place of a member in the ring, from zero.
	Rank int

	// Beat is a message from one member to another. Ask asks for a beat in
	// return. Lost is the rank that broke the gang if State is Halted.
	Beat struct {
		From  Rank
		State State
		Ask   bool
		Lost  Rank
	}

	// Send is a beat to be delivered, at most once, to a member.
	Send[ID comparable] struct {
		To   ID
		Beat Beat
	}

	// Actions are what the owner of a member is to do: deliver beats, start the
	// member's task, or stop it.
	Actions[ID comparable] struct {
		Sends []Send[ID]
		Start bool
		Stop  bool
	}

	// Config holds the times of a member.
	Config struct {
		Interval time.Duration
		Lease    time.Duration
	}

	// Option sets a field of a Config.
	Option func(*Config)

	// Member is one member of a gang.
	Member[ID comparable] struct {
		config     Config
		ring       []ID
		rank       Rank
		state      State
		broken     bool
		lost       Rank
		neighbours []neighbour
		next       time.Time
		actions    Actions[ID]
	}

	neighbour struct {
		rank  Rank
		heard time.Time
	}
)

// WithInterval sets the time between two beats to a neighbour.
func WithInterval(interval time.Duration) Option {
	return func(c *Config) { c.Interval = interval }
}

// WithLease sets the longest time for which a gang computes on part of its
// members. It must exceed four intervals.
func WithLease(lease time.Duration) Option {
	return func(c *Config) { c.Lease = lease }
}

// NewMember returns the reserved member with a rank in a ring.
func NewMember[ID comparable](ring []ID, rank Rank, options ...Option) *Member[ID] {
	config := Config{Interval: DefaultInterval, Lease: DefaultLease}
	for _, option := range options {
		option(&config)
	}
	m := &Member[ID]{config: config, ring: ring, rank: rank, lost: rank}
	size := Rank(len(ring))
	for _, other := range []Rank{(rank + 1) % size, (rank + size - 1) % size} {
		if other != rank && (len(m.neighbours) == 0 || m.neighbours[0].rank != other) {
			m.neighbours = append(m.neighbours, neighbour{rank: other})
		}
	}
	return m
}

// State returns the state of the member.
func (m *Member[ID]) State() State {
	return m.state
}

// Broken reports whether the gang is broken, and the rank that broke it.
func (m *Member[ID]) Broken() (Rank, bool) {
	return m.lost, m.broken
}

// Start tells a reserved member that the gang has started. It beats at once.
func (m *Member[ID]) Start(now time.Time) Actions[ID] {
	m.start(now)
	return m.take()
}

// End tells the member that its task has a result. It goes on beating, as
// others may still compute, and no longer watches.
func (m *Member[ID]) End() {
	if m.state == Running {
		m.state = Ended
	}
}

// Halt tells the member that its task has stopped or is being stopped. It tells
// the others.
func (m *Member[ID]) Halt() Actions[ID] {
	m.halt(m.rank)
	return m.take()
}

// Ask asks the neighbours for a beat, which tells a reserved member whether the
// gang has started.
func (m *Member[ID]) Ask() Actions[ID] {
	for _, n := range m.neighbours {
		m.send(n.rank, true)
	}
	return m.take()
}

// Receive takes a beat from another member.
func (m *Member[ID]) Receive(now time.Time, beat Beat) Actions[ID] {
	if beat.From < 0 || int(beat.From) >= len(m.ring) || beat.From == m.rank {
		return m.take()
	}
	for i := range m.neighbours {
		if m.neighbours[i].rank == beat.From {
			m.neighbours[i].heard = now
		}
	}
	switch beat.State {
	case Running, Ended:
		m.start(now)
	case Halted:
		m.halt(beat.Lost)
	case Reserved:
	}
	if m.state != Reserved && (beat.Ask || (m.broken && beat.State != Halted)) {
		m.send(beat.From, false)
	}
	return m.take()
}

// Tick beats if that is due, and halts if a neighbour was silent for too long.
// It is to be called at least once in an interval.
func (m *Member[ID]) Tick(now time.Time) Actions[ID] {
	if m.state == Reserved {
		return m.take()
	}
	if rank, silent := m.silent(now); silent {
		m.halt(rank)
		return m.take()
	}
	due := !now.Before(m.next)
	if due {
		m.next = now.Add(m.config.Interval)
	}
	for _, n := range m.neighbours {
		ask := m.state == Running && now.Sub(n.heard) > m.patience()/2
		if due || ask {
			m.send(n.rank, ask)
		}
	}
	return m.take()
}

// patience is the silence of a neighbour after which a running member halts.
func (m *Member[ID]) patience() time.Duration {
	return m.config.Lease - tellIntervals*m.config.Interval
}

func (m *Member[ID]) silent(now time.Time) (Rank, bool) {
	if m.state != Running {
		return 0, false
	}
	for _, n := range m.neighbours {
		if now.Sub(n.heard) >= m.patience() {
			return n.rank, true
		}
	}
	return 0, false
}

func (m *Member[ID]) start(now time.Time) {
	if m.state != Reserved || m.broken {
		return
	}
	m.state = Running
	m.next = now.Add(m.config.Interval)
	m.actions.Start = true
	for i := range m.neighbours {
		m.neighbours[i].heard = now
		m.send(m.neighbours[i].rank, false)
	}
}

// halt breaks the gang. Each member that finds out, or is told, tells those at
// the distances of the powers of two: all know after few hops, on more than one
// path.
func (m *Member[ID]) halt(lost Rank) {
	if m.broken {
		return
	}
	m.broken = true
	m.lost = lost
	if m.state != Ended {
		m.state = Halted
		m.actions.Stop = true
	}
	size := Rank(len(m.ring))
	for distance := Rank(1); 2*distance <= size; distance *= 2 {
		m.send((m.rank+distance)%size, false)
		if 2*distance != size {
			m.send((m.rank+size-distance)%size, false)
		}
	}
}

func (m *Member[ID]) send(to Rank, ask bool) {
	state := m.state
	if m.broken {
		state = Halted
	}
	beat := Beat{From: m.rank, State: state, Ask: ask, Lost: m.lost}
	m.actions.Sends = append(m.actions.Sends, Send[ID]{To: m.ring[to], Beat: beat})
}

func (m *Member[ID]) take() Actions[ID] {
	actions := m.actions
	m.actions = Actions[ID]{}
	return actions
}
