package lab

import (
	"context"
	"time"

	"github.com/lovageroad/lovageroad/internal/loop"
	"github.com/lovageroad/lovageroad/internal/platform"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// DefaultStoreDelay is the shortest delay of a request to the store and of its
// response. Each has a random part that is at most as long.
const DefaultStoreDelay = 5 * time.Millisecond

// Store simulates the table service and the object store on a platform.Memory, with
// delays and faults. Down rejects all operations, Silent answers none, and
// LossProbability is the probability that an operation is applied but its response is
// lost. An operation that takes longer than Timeout fails as uncertain, but is still
// applied later.
type Store struct {
	Memory           *platform.Memory
	Down             bool
	Silent           bool
	LossProbability  float64
	Delay            time.Duration
	Jitter           time.Duration
	Timeout          time.Duration
	lastFault        time.Time
	simulation       *Simulation
	operations       int
	operationsByNode map[machine.Node]int
}

func newStore(sim *Simulation) *Store {
	s := &Store{Memory: platform.NewMemory(), Timeout: loop.DefaultStoreTimeout, simulation: sim, operationsByNode: make(map[machine.Node]int)}
	s.Heal()
	return s
}

// Heal ends all faults of the store.
func (s *Store) Heal() {
	if s.faulty() {
		s.lastFault = s.simulation.now
	}
	s.Down, s.Silent, s.LossProbability = false, false, 0
	s.Delay, s.Jitter = DefaultStoreDelay, DefaultStoreDelay
}

// FaultyWithin reports whether the store has a fault now or had one within the given
// time.
func (s *Store) FaultyWithin(past time.Duration) bool {
	return s.faulty() || (!s.lastFault.IsZero() && s.simulation.now.Sub(s.lastFault) <= past)
}

// faulty reports whether the store has a fault now.
func (s *Store) faulty() bool {
	return s.Down || s.Silent || s.LossProbability > 0 || s.Delay > DefaultStoreDelay
}

// Operations returns the number of operations that were requested.
func (s *Store) Operations() int {
	return s.operations
}

// OperationsBy returns the number of operations that a process requested.
func (s *Store) OperationsBy(node machine.Node) int {
	return s.operationsByNode[node]
}

// Row returns a row, regardless of faults.
func (s *Store) Row(key table.Key) (table.Row, bool) {
	rows, err := s.Memory.Read(context.Background(), []table.Key{key})
	if err != nil || len(rows) == 0 {
		return table.Row{}, false
	}
	return rows[0], true
}

// Rows returns all rows with a prefix, regardless of faults.
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

// execute simulates an operation that a process requests.
func (s *Store) execute(p *Process, effect machine.Effect) {
	s.operations++
	s.operationsByNode[p.node]++
	switch {
	case s.Silent:
		p.PostAfter(s.Timeout, machine.StoreResult{ID: operationID(effect), Err: &table.UncertainError{Reason: "no response within the time-out"}})
	case s.Down:
		p.PostAfter(s.delay(), machine.StoreResult{ID: operationID(effect), Err: &table.RejectedError{Reason: "the store is down"}})
	default:
		s.apply(p, effect)
	}
}

// apply applies an operation after a request delay and answers after a response delay.
func (s *Store) apply(p *Process, effect machine.Effect) {
	requestDelay, responseDelay := s.delay(), s.delay()
	lost := s.simulation.Chance(s.LossProbability)
	late := requestDelay+responseDelay > s.Timeout
	if late {
		p.PostAfter(s.Timeout, machine.StoreResult{ID: operationID(effect), Err: &table.UncertainError{Reason: "no response within the time-out"}})
	}
	incarnation := p.incarnation
	s.simulation.After(requestDelay, func() {
		result := loop.Execute(context.Background(), s.Memory, s.Memory, effect)
		if lost {
			result = machine.StoreResult{ID: result.ID, Err: &table.UncertainError{Reason: "the response was lost"}}
		}
		if !late && p.incarnation == incarnation {
			p.PostAfter(responseDelay, result)
		}
	})
}

// delay returns the random delay of one direction.
func (s *Store) delay() time.Duration {
	return s.simulation.RandomDuration(s.Delay, s.Delay+s.Jitter)
}

// operationID returns the ID of a store operation.
func operationID(effect machine.Effect) machine.OpID {
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

// Replay applies a store operation once more, as if a paused process's request arrived
// late, and returns its error.
func (s *Store) Replay(effect machine.Effect) error {
	return loop.Execute(context.Background(), s.Memory, s.Memory, effect).Err
}
