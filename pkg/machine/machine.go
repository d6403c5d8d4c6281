// Package machine defines deterministic state machines and the events and
// effects by which they meet the outside world.
//
// A machine reads no clock, opens no socket and starts no goroutine. It takes
// the time and one event, and returns effects. The same machine runs under a
// test, in a process, or in a simulation.
package machine

import (
	"time"

	"github.com/lovageroad/lovageroad/pkg/table"
)

type (
	// Node is the address of a process in the form IP:port.
	Node string

	// OpID identifies a store operation within one machine.
	OpID uint64

	// Event is something that happened to a machine: a Message, a Tick, a
	// Stored, or a type that the machine's own package defines.
	Event any

	// Effect is something that a machine asks for: a Send, a Wake, a Commit, a
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

	// Tick is an event: a time asked for by a Wake has come.
	Tick struct{}

	// Stored is an event: a store operation ended. Err is nil, or one of the
	// error types of package table.
	Stored struct {
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

	// Commit is an effect: apply a transaction to the table.
	Commit struct {
		ID  OpID
		Txn table.Txn
	}

	// Read is an effect: read rows of the table by key.
	Read struct {
		ID   OpID
		Keys []table.Key
	}

	// Scan is an effect: read rows of the table by prefix, in the order of
	// their keys, after the key After and no more than Limit.
	Scan struct {
		ID     OpID
		Prefix table.Key
		After  table.Key
		Limit  int
	}

	// Put is an effect: write an object.
	Put struct {
		ID   OpID
		Name string
		Data []byte
	}

	// Get is an effect: read an object.
	Get struct {
		ID   OpID
		Name string
	}
)
