// Package gang provides failure detection among the members of a gang: tasks that
// may only run all together. If a member fails or is cut off, the others stop
// within a bounded time, the lease, without the help of a central scheduler.
//
// The members form a ring by rank. Each running member sends heartbeats to its two
// neighbours. A member that hears nothing from a neighbour for too long stops its
// own task and notifies the others. A reserved member that missed the order to
// start learns from a heartbeat that the gang has started.
//
// A member reads no clock and opens no socket: its owner passes it the time and
// the messages, and carries out the actions that it returns.
package gang

import (
	"time"
)

const (
	// DefaultInterval is the time between two heartbeats to a neighbour.
	DefaultInterval = 2 * time.Second

	// DefaultLease is the longest time for which members keep running after
	// another member has stopped or become unreachable.
	DefaultLease = 15 * time.Second

	// notifyIntervals is the number of intervals at the end of the lease that are
	// reserved for notifying the others, so that the lease holds although one
	// message is lost.
	notifyIntervals = 2
)

const (
	// Reserved is the state of a member that has not yet learned whether the gang
	// has started.
	Reserved State = iota

	// Running is the state of a member whose task runs.
	Running

	// Ended is the state of a member whose task has a result.
	Ended

	// Halted is the state of a member whose gang is broken: its task must not run.
	Halted
)

type (
	// State is the state of a member. It only moves from Reserved to Running,
	// from Running to Ended, and from Reserved or Running to Halted.
	State int

	// Rank is the index of a member in the ring, from zero.
	Rank int

	// Heartbeat is a heartbeat from one member to another. ReplyRequested asks for a
	// heartbeat in return. If State is Halted, FailedRank is the rank of the member
	// that failed.
	Heartbeat struct {
		From           Rank
		State          State
		ReplyRequested bool
		FailedRank     Rank
	}

	// Send requests the best-effort delivery of a heartbeat to a member. Members
	// tolerate lost and duplicate heartbeats. A heartbeat counts from its arrival,
	// so a long delay extends the time for which members keep running after a
	// failure.
	Send[ID comparable] struct {
		To        ID
		Heartbeat Heartbeat
	}

	// Actions are what the owner of a member must do: deliver heartbeats, start
	// the member's task, or stop it.
	Actions[ID comparable] struct {
		Sends []Send[ID]
		Start bool
		Stop  bool
	}

	// Config holds the settings of a Member. The options of the same names
	// describe them.
	Config struct {
		Interval time.Duration
		Lease    time.Duration
	}

	// Option sets one field of a Config.
	Option func(*Config)

	// Member is the state machine of one member of a gang. ID is the address of a
	// member. It is not safe for concurrent use.
	Member[ID comparable] struct {
		config        Config
		ring          []ID
		rank          Rank
		state         State
		broken        bool
		failedRank    Rank
		neighbours    []neighbour
		nextHeartbeat time.Time
		actions       Actions[ID]
	}

	neighbour struct {
		rank      Rank
		lastHeard time.Time
	}
)

// WithInterval sets the time between two heartbeats to a neighbour.
func WithInterval(interval time.Duration) Option {
	return func(c *Config) { c.Interval = interval }
}

// WithLease sets the longest time for which members keep running after another
// member has stopped or become unreachable. It must exceed four intervals.
func WithLease(lease time.Duration) Option {
	return func(c *Config) { c.Lease = lease }
}

// NewMember returns a reserved member. The ring lists the members of the gang by
// rank.
func NewMember[ID comparable](ring []ID, rank Rank, options ...Option) *Member[ID] {
	config := Config{Interval: DefaultInterval, Lease: DefaultLease}
	for _, option := range options {
		option(&config)
	}
	m := &Member[ID]{config: config, ring: ring, rank: rank, failedRank: rank}
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

// Broken returns the rank of the member that failed, and whether the gang is broken.
func (m *Member[ID]) Broken() (Rank, bool) {
	return m.failedRank, m.broken
}

// Start tells a reserved member that the gang has started. The member sends
// heartbeats at once.
func (m *Member[ID]) Start(now time.Time) Actions[ID] {
	m.start(now)
	return m.takeActions()
}

// End tells the member that its task has a result. The member keeps sending
// heartbeats, as others may still run, but no longer monitors its neighbours.
func (m *Member[ID]) End() {
	if m.state == Running {
		m.state = Ended
	}
}

// Halt tells the member that its task has stopped, or is being stopped, without a
// result. The member notifies the others.
func (m *Member[ID]) Halt() Actions[ID] {
	m.halt(m.rank)
	return m.takeActions()
}

// RequestHeartbeats requests heartbeats from the neighbours, from which a reserved
// member learns whether the gang has started.
func (m *Member[ID]) RequestHeartbeats() Actions[ID] {
	for _, n := range m.neighbours {
		m.send(n.rank, true)
	}
	return m.takeActions()
}

// Receive handles a heartbeat from another member. Heartbeats with an invalid rank
// or the member's own rank are ignored.
func (m *Member[ID]) Receive(now time.Time, heartbeat Heartbeat) Actions[ID] {
	if heartbeat.From < 0 || int(heartbeat.From) >= len(m.ring) || heartbeat.From == m.rank {
		return m.takeActions()
	}
	for i := range m.neighbours {
		if m.neighbours[i].rank == heartbeat.From {
			m.neighbours[i].lastHeard = now
		}
	}
	switch heartbeat.State {
	case Running, Ended:
		m.start(now)
	case Halted:
		m.halt(heartbeat.FailedRank)
	case Reserved:
	}
	// A member that does not know that the gang is broken is notified again.
	if m.state != Reserved && (heartbeat.ReplyRequested || (m.broken && heartbeat.State != Halted)) {
		m.send(heartbeat.From, false)
	}
	return m.takeActions()
}

// Tick sends heartbeats that are due, and halts a running member if a neighbour
// has been unresponsive for too long. Call it at least once per interval.
func (m *Member[ID]) Tick(now time.Time) Actions[ID] {
	if m.state == Reserved {
		return m.takeActions()
	}
	if rank, unresponsive := m.unresponsiveNeighbour(now); unresponsive {
		m.halt(rank)
		return m.takeActions()
	}
	due := !now.Before(m.nextHeartbeat)
	if due {
		m.nextHeartbeat = now.Add(m.config.Interval)
	}
	for _, n := range m.neighbours {
		replyRequested := m.state == Running && now.Sub(n.lastHeard) > m.neighbourTimeout()/2
		if due || replyRequested {
			m.send(n.rank, replyRequested)
		}
	}
	return m.takeActions()
}

// neighbourTimeout is the time since the last heartbeat of a neighbour after which
// a running member halts.
func (m *Member[ID]) neighbourTimeout() time.Duration {
	return m.config.Lease - notifyIntervals*m.config.Interval
}

func (m *Member[ID]) unresponsiveNeighbour(now time.Time) (Rank, bool) {
	if m.state != Running {
		return 0, false
	}
	for _, n := range m.neighbours {
		if now.Sub(n.lastHeard) >= m.neighbourTimeout() {
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
	m.nextHeartbeat = now.Add(m.config.Interval)
	m.actions.Start = true
	for i := range m.neighbours {
		m.neighbours[i].lastHeard = now
		m.send(m.neighbours[i].rank, false)
	}
}

// halt records that the gang is broken and notifies the members at distances of
// powers of two in both directions. As each notified member does the same, the
// notice reaches all members after few hops and over several paths.
func (m *Member[ID]) halt(lost Rank) {
	if m.broken {
		return
	}
	m.broken = true
	m.failedRank = lost
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

func (m *Member[ID]) send(to Rank, replyRequested bool) {
	state := m.state
	if m.broken {
		state = Halted
	}
	heartbeat := Heartbeat{From: m.rank, State: state, ReplyRequested: replyRequested, FailedRank: m.failedRank}
	m.actions.Sends = append(m.actions.Sends, Send[ID]{To: m.ring[to], Heartbeat: heartbeat})
}

func (m *Member[ID]) takeActions() Actions[ID] {
	actions := m.actions
	m.actions = Actions[ID]{}
	return actions
}
