// Package platform speaks to the platform's table service and object store, and
// holds a stand-in for both that runs in memory.
package platform

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// FaultNone lets every operation through.
	FaultNone Fault = "none"

	// FaultDown refuses every operation.
	FaultDown Fault = "down"

	// FaultLost carries every operation out and loses its answer.
	FaultLost Fault = "lost"
)

type (
	// Fault is a way in which the stand-in fails.
	Fault string

	// Counts are the operations that the stand-in carried out.
	Counts struct {
		Commits int `json:"commits"`
		Writes  int `json:"writes"`
		Reads   int `json:"reads"`
		Scans   int `json:"scans"`
		Puts    int `json:"puts"`
		Gets    int `json:"gets"`
	}

	// Memory is a table and an object store in memory. It is the stand-in for
	// the platform in tests and in the command dev.
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

// NewMemory returns an empty stand-in.
func NewMemory() *Memory {
	return &Memory{
		rows:    make(map[table.Key]table.Row),
		objects: make(map[string][]byte),
		fault:   FaultNone,
	}
}

// SetFault switches a fault on, or off with FaultNone.
func (m *Memory) SetFault(fault Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = fault
}

// Counts returns the operations carried out so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Commit applies a transaction.
func (m *Memory) Commit(_ context.Context, txn table.Txn) (table.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == FaultDown {
		return 0, &table.RejectedError{Reason: "the table service is down"}
	}
	for _, check := range txn.Checks {
		if have := m.rows[check.Key].Version; have != check.Version {
			return 0, m.lost(&table.ConflictError{Key: check.Key, Want: check.Version, Have: have})
		}
	}
	m.version++
	for _, write := range txn.Writes {
		m.apply(write)
	}
	m.counts.Commits++
	m.counts.Writes += len(txn.Writes)
	return m.version, m.lost(nil)
}

// Read returns the rows that exist among the keys.
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
	return rows, m.lost(nil)
}

// Scan returns up to limit rows with the prefix and after the key after.
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
	return rows, m.lost(nil)
}

// Put writes an object.
func (m *Memory) Put(_ context.Context, name string, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == FaultDown {
		return &table.RejectedError{Reason: "the object store is down"}
	}
	m.counts.Puts++
	m.objects[name] = slices.Clone(data)
	return m.lost(nil)
}

// Get returns an object.
func (m *Memory) Get(_ context.Context, name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == FaultDown {
		return nil, &table.RejectedError{Reason: "the object store is down"}
	}
	m.counts.Gets++
	data, ok := m.objects[name]
	if !ok {
		return nil, m.lost(&table.NotFoundError{Name: name})
	}
	return data, m.lost(nil)
}

func (m *Memory) lost(err error) error {
	if m.fault == FaultLost {
		return &table.UncertainError{Reason: "the answer was lost"}
	}
	return err
}

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
