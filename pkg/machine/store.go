package machine

import (
	"time"

	"github.com/lovageroad/lovageroad/pkg/table"
)

// Store issues store operations from a machine and hands each result to the
// function that waits for it.
type Store struct {
	now     time.Time
	next    OpID
	waiting map[OpID]func(Stored)
	effects []Effect
}

// NewStore returns a Store with no operation under way.
func NewStore() *Store {
	return &Store{waiting: make(map[OpID]func(Stored))}
}

// Advance sets the time of the step that a machine takes.
func (s *Store) Advance(now time.Time) {
	s.now = now
}

// Now returns the time of the present step, for functions that wait for results.
func (s *Store) Now() time.Time {
	return s.now
}

// Commit asks for a transaction and calls done with its result.
func (s *Store) Commit(txn table.Txn, done func(Stored)) {
	id := s.add(done)
	s.effects = append(s.effects, Commit{ID: id, Txn: txn})
}

// Read asks for rows by key and calls done with its result.
func (s *Store) Read(keys []table.Key, done func(Stored)) {
	id := s.add(done)
	s.effects = append(s.effects, Read{ID: id, Keys: keys})
}

// Scan asks for up to limit rows by prefix and calls done with its result.
func (s *Store) Scan(prefix, after table.Key, limit int, done func(Stored)) {
	id := s.add(done)
	s.effects = append(s.effects, Scan{ID: id, Prefix: prefix, After: after, Limit: limit})
}

// Put asks for an object to be written and calls done with its result.
func (s *Store) Put(name string, data []byte, done func(Stored)) {
	id := s.add(done)
	s.effects = append(s.effects, Put{ID: id, Name: name, Data: data})
}

// Get asks for an object and calls done with its result.
func (s *Store) Get(name string, done func(Stored)) {
	id := s.add(done)
	s.effects = append(s.effects, Get{ID: id, Name: name})
}

// Resolve hands a result to the function that waits for it. A result that
// nothing waits for is dropped.
func (s *Store) Resolve(result Stored) {
	done, ok := s.waiting[result.ID]
	if !ok {
		return
	}
	delete(s.waiting, result.ID)
	done(result)
}

// Take returns the effects gathered since the last call.
func (s *Store) Take() []Effect {
	effects := s.effects
	s.effects = nil
	return effects
}

// Pending returns the number of operations under way.
func (s *Store) Pending() int {
	return len(s.waiting)
}

func (s *Store) add(done func(Stored)) OpID {
	s.next++
	s.waiting[s.next] = done
	return s.next
}
