// Package platform has a client of the platform's table service and object store,
// and an in-memory fake of both, with an HTTP server, that can simulate
// faults. It is for tests and the command dev.
package platform

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// FaultNone means that no failure is simulated.
	FaultNone Fault = "none"

	// FaultDown means that every operation is rejected.
	FaultDown Fault = "down"

	// FaultResponseLost means that every operation is applied, but its response is lost.
	FaultResponseLost Fault = "lost"
)

type (
	// Fault is the kind of a simulated failure of a Memory.
	Fault string

	// Counts has the numbers of operations that a Memory applied. Writes counts rows,
	// Reads the keys asked for, also those without a row.
	Counts struct {
		Commits int `json:"commits"`
		Writes  int `json:"writes"`
		Reads   int `json:"reads"`
		Scans   int `json:"scans"`
		Puts    int `json:"puts"`
		Gets    int `json:"gets"`
	}

	// Memory is a table and an object store in memory. It replaces the platform in
	// tests and in the command dev. It is safe for concurrent use.
	Memory struct {
		mu      sync.Mutex
		version table.Version
		rows    map[table.Key]table.Row
		keys    []table.Key
		objects map[string][]byte
		fault   Fault
		counts  Counts
	}
)

var (
	_ table.Table   = (*Memory)(nil)
	_ table.Objects = (*Memory)(nil)
)

// NewMemory returns an empty Memory without faults.
func NewMemory() *Memory {
	return &Memory{
		rows:    make(map[table.Key]table.Row),
		objects: make(map[string][]byte),
		fault:   FaultNone,
	}
}

// SetFault sets the simulated failure. FaultNone ends it.
func (m *Memory) SetFault(fault Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = fault
}

// Counts returns the numbers of operations applied so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Commit applies a transaction. It returns a table.ConflictError if a check does not
// hold.
func (m *Memory) Commit(_ context.Context, txn table.Txn) (table.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == FaultDown {
		return 0, &table.RejectedError{Reason: "the table service is down"}
	}
	for _, check := range txn.Checks {
		if have := m.rows[check.Key].Version; have != check.Version {
			return 0, m.loseResponse(&table.ConflictError{Key: check.Key, Want: check.Version, Have: have})
		}
	}
	m.version++
	for _, write := range txn.Writes {
		m.apply(write)
	}
	m.counts.Commits++
	m.counts.Writes += len(txn.Writes)
	return m.version, m.loseResponse(nil)
}

// Read returns those rows of the given keys that exist.
func (m *Memory) Read(_ context.Context, keys []table.Key) ([]table.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == FaultDown {
		return nil, &table.RejectedError{Reason: "the table service is down"}
	}
	m.counts.Reads += len(keys)
	var rows []table.Row
	for _, key := range keys {
		if row, ok := m.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows, m.loseResponse(nil)
}

// Scan returns up to limit rows that have the prefix and follow the key after, in
// the order of their keys.
func (m *Memory) Scan(_ context.Context, prefix, after table.Key, limit int) ([]table.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == FaultDown {
		return nil, &table.RejectedError{Reason: "the table service is down"}
	}
	m.counts.Scans++
	start, found := slices.BinarySearch(m.keys, max(prefix, after))
	if found && after >= prefix {
		start++
	}
	var rows []table.Row
	for _, key := range m.keys[start:] {
		if len(rows) >= min(limit, table.MaxRows) || !strings.HasPrefix(string(key), string(prefix)) {
			break
		}
		rows = append(rows, m.rows[key])
	}
	return rows, m.loseResponse(nil)
}

// Put stores an object under a name.
func (m *Memory) Put(_ context.Context, name string, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == FaultDown {
		return &table.RejectedError{Reason: "the object store is down"}
	}
	m.counts.Puts++
	m.objects[name] = slices.Clone(data)
	return m.loseResponse(nil)
}

// Get returns an object, or a table.NotFoundError.
func (m *Memory) Get(_ context.Context, name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == FaultDown {
		return nil, &table.RejectedError{Reason: "the object store is down"}
	}
	m.counts.Gets++
	data, ok := m.objects[name]
	if !ok {
		return nil, m.loseResponse(&table.NotFoundError{Name: name})
	}
	return data, m.loseResponse(nil)
}

// loseResponse returns err, or a table.UncertainError under FaultResponseLost.
func (m *Memory) loseResponse(err error) error {
	if m.fault == FaultResponseLost {
		return &table.UncertainError{Reason: "the response was lost"}
	}
	return err
}

// apply writes or deletes one row. The caller holds the lock.
func (m *Memory) apply(write table.Write) {
	i, found := slices.BinarySearch(m.keys, write.Key)
	if write.Delete {
		if found {
			m.keys = slices.Delete(m.keys, i, i+1)
			delete(m.rows, write.Key)
		}
		return
	}
	if !found {
		m.keys = slices.Insert(m.keys, i, write.Key)
	}
	m.rows[write.Key] = table.Row{Key: write.Key, Version: m.version, Value: slices.Clone(write.Value)}
}
