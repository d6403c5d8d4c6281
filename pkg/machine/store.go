package machine

import (
	"time"

	"github.com/lovageroad/lovageroad/pkg/table"
)

// Store lets a machine issue store operations with callbacks. It collects the
// effects that the machine returns from its step, and passes each result to the
// callback of its operation. It is not safe for concurrent use.
type Store struct {
	now       time.Time
	lastID    OpID
	callbacks map[OpID]func(StoreResult)
	effects   []Effect
}

// NewStore returns a Store with no operation in flight.
func NewStore() *Store {
	return &Store{callbacks: make(map[OpID]func(StoreResult))}
}

// Advance sets the time of the current step.
func (s *Store) Advance(now time.Time) {
	s.now = now
}

// Now returns the time of the current step, for use in callbacks.
func (s *Store) Now() time.Time {
	return s.now
}

// Commit requests a transaction and calls done with its result.
func (s *Store) Commit(txn table.Txn, done func(StoreResult)) {
	id := s.add(done)
	s.effects = append(s.effects, Commit{ID: id, Txn: txn})
}

// Read requests rows by key and calls done with the result.
func (s *Store) Read(keys []table.Key, done func(StoreResult)) {
	id := s.add(done)
	s.effects = append(s.effects, Read{ID: id, Keys: keys})
}

// Scan requests up to limit rows that have the prefix and keys greater than after,
// and calls done with the result.
func (s *Store) Scan(prefix, after table.Key, limit int, done func(StoreResult)) {
	id := s.add(done)
	s.effects = append(s.effects, Scan{ID: id, Prefix: prefix, After: after, Limit: limit})
}

// Put requests that an object be written and calls done with the result.
func (s *Store) Put(name string, data []byte, done func(StoreResult)) {
	id := s.add(done)
	s.effects = append(s.effects, Put{ID: id, Name: name, Data: data})
}

// Get requests an object and calls done with the result.
func (s *Store) Get(name string, done func(StoreResult)) {
	id := s.add(done)
	s.effects = append(s.effects, Get{ID: id, Name: name})
}

// Resolve passes a result to the callback of its operation. Results of unknown
// operations, and duplicates, are ignored.
func (s *Store) Resolve(result StoreResult) {
	done, ok := s.callbacks[result.ID]
	if !ok {
		return
	}
	delete(s.callbacks, result.ID)
	done(result)
}

// Take returns the effects requested since the last call and clears them.
func (s *Store) Take() []Effect {
	effects := s.effects
	s.effects = nil
	return effects
}

// Pending returns the number of operations in flight.
func (s *Store) Pending() int {
	return len(s.callbacks)
}

func (s *Store) add(done func(StoreResult)) OpID {
	s.lastID++
	s.callbacks[s.lastID] = done
	return s.lastID
}
