// Package machine defines deterministic state machines, their input events, and
// the effects that they request from their environment.
//
// A machine reads no clock, opens no socket and starts no goroutine. Each step
// takes the time and one event, and returns effects for the environment to carry
// out. The same machine therefore runs in a unit test, a process or a simulation.
package machine

import (
	"time"

	"github.com/lovageroad/lovageroad/pkg/table"
)

type (
	// Node identifies a process by its address, IP:port.
	Node string

	// OpID identifies a store operation within one machine.
	OpID uint64

	// Event is an input of a machine: a Message, a Tick, a StoreResult, or a type that
	// the machine's own package defines.
	Event any

	// Effect is an operation that a machine requests: a Send, a Wake, a Commit, a
	// Read, a Scan, a Put, a Get, or a type that the machine's own package
	// defines.
	Effect any

	// Machine is a deterministic state machine.
	Machine interface {
		// Step applies one event at the given time and returns the effects in
		// the order in which they are to be carried out.
		Step(now time.Time, event Event) []Effect
	}

	// Message is an event: a message from another process arrived.
	Message struct {
		From Node
		Body any
	}

	// Tick is an event: the time of a Wake has been reached.
	Tick struct{}

	// StoreResult is an event: the result of a store operation. Rows are the rows that
	// a Read or Scan found or a Commit wrote, Data is the object of a Get. Err is
	// nil, or one of the error types of package table.
	StoreResult struct {
		ID   OpID
		Rows []table.Row
		Data []byte
		Err  error
	}

	// Send is an effect: deliver a message at most once.
	Send struct {
		To   Node
		Body any
	}

	// Wake is an effect: deliver a Tick no earlier than At.
	Wake struct {
		At time.Time
	}

	// Commit is an effect: commit a transaction to the table.
	Commit struct {
		ID  OpID
		Txn table.Txn
	}

	// Read is an effect: read rows of the table by key.
	Read struct {
		ID   OpID
		Keys []table.Key
	}

	// Scan is an effect: read up to Limit rows of the table that have the prefix
	// and keys greater than After, in key order.
	Scan struct {
		ID     OpID
		Prefix table.Key
		After  table.Key
		Limit  int
	}

	// Put is an effect: write an object to the object store.
	Put struct {
		ID   OpID
		Name string
		Data []byte
	}

	// Get is an effect: read an object from the object store.
	Get struct {
		ID   OpID
		Name string
	}
)
