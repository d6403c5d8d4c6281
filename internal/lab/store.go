package lab

import (
	"context"
	"time"

	"github.com/lovageroad/lovageroad/internal/loop"
	"github.com/lovageroad/lovageroad/internal/platform"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// DefaultStoreDelay is the time that an operation of the store takes.
const DefaultStoreDelay = 5 * time.Millisecond

// Store carries store operations out on a stand-in in memory. An operation whose
// answer is lost may have been carried out. One that takes longer than the time
// limit is answered as uncertain and carried out later.
type Store struct {
	Memory *platform.Memory
	Down   bool
	Silent bool
	Lost   float64
	Delay  time.Duration
	Spread time.Duration
	Limit  time.Duration
	fault  time.Time
	world  *World
	asked  int
	byNode map[machine.Node]int
}

func newStore(w *World) *Store {
	s := &Store{Memory: platform.NewMemory(), Limit: loop.DefaultStoreTimeout, world: w, byNode: make(map[machine.Node]int)}
	s.Heal()
	return s
}

// Heal ends all faults.
func (s *Store) Heal() {
	if s.faulty() {
		s.fault = s.world.now
	}
	s.Down, s.Silent, s.Lost = false, false, 0
	s.Delay, s.Spread = DefaultStoreDelay, DefaultStoreDelay
}

// FaultyWithin reports whether the store has a fault, or had one within the time
// that is given.
func (s *Store) FaultyWithin(past time.Duration) bool {
	return s.faulty() || (!s.fault.IsZero() && s.world.now.Sub(s.fault) <= past)
}

func (s *Store) faulty() bool {
	return s.Down || s.Silent || s.Lost > 0 || s.Delay > DefaultStoreDelay
}

// Asked returns the number of operations that were asked for.
func (s *Store) Asked() int {
	return s.asked
}

// AskedBy returns the number of operations that a process asked for.
func (s *Store) AskedBy(node machine.Node) int {
	return s.byNode[node]
}

// Row returns a row as it is, whatever the faults.
func (s *Store) Row(key table.Key) (table.Row, bool) {
	rows, err := s.Memory.Read(context.Background(), []table.Key{key})
	if err != nil || len(rows) == 0 {
		return table.Row{}, false
	}
	return rows[0], true
}

// Rows returns all rows with a prefix, whatever the faults.
func (s *Store) Rows(prefix table.Key) []table.Row {
	var all []table.Row
	after := table.Key("")
	for {
		rows, err := s.Memory.Scan(context.Background(), prefix, after, table.MaxRows)
		if err != nil || len(rows) == 0 {
			return all
		}
		all = append(all, rows...)
		after = rows[len(rows)-1].Key
	}
}

func (s *Store) carry(p *Process, effect machine.Effect) {
	s.asked++
	s.byNode[p.node]++
	switch {
	case s.Silent:
		p.PostAfter(s.Limit, machine.Stored{ID: id(effect), Err: &table.UncertainError{Reason: "no answer in time"}})
	case s.Down:
		p.PostAfter(s.delay(), machine.Stored{ID: id(effect), Err: &table.RejectedError{Reason: "the store is down"}})
	default:
		s.apply(p, effect)
	}
}

// apply carries an operation out on its arrival, and answers after as long.
func (s *Store) apply(p *Process, effect machine.Effect) {
	there, back := s.delay(), s.delay()
	lost := s.world.Chance(s.Lost)
	late := there+back > s.Limit
	if late {
		p.PostAfter(s.Limit, machine.Stored{ID: id(effect), Err: &table.UncertainError{Reason: "no answer in time"}})
	}
	life := p.life
	s.world.After(there, func() {
		result := loop.Carry(context.Background(), s.Memory, s.Memory, effect)
		if lost {
			result = machine.Stored{ID: result.ID, Err: &table.UncertainError{Reason: "the answer was lost"}}
		}
		if !late && p.life == life {
			p.PostAfter(back, result)
		}
	})
}

func (s *Store) delay() time.Duration {
	return s.world.Between(s.Delay, s.Delay+s.Spread)
}

func id(effect machine.Effect) machine.OpID {
	switch e := effect.(type) {
	case machine.Commit:
		return e.ID
	case machine.Read:
		return e.ID
	case machine.Scan:
		return e.ID
	case machine.Put:
		return e.ID
	case machine.Get:
		return e.ID
	default:
		return 0
	}
}

// Replay carries a store effect out once more, as when a message of a process
// that was paused arrives late, and returns its error.
func (s *Store) Replay(effect machine.Effect) error {
	return loop.Carry(context.Background(), s.Memory, s.Memory, effect).Err
}
