package lease

import (
	"time"

	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// AcquisitionSent says that the node has proposed itself as the next holder.
	AcquisitionSent EventKind = "lease acquisition sent"

	// AcquisitionUnresolved says that an acquisition had no answer, or found another
	// row than it expected, so that the row is read again.
	AcquisitionUnresolved EventKind = "lease acquisition unresolved"

	// RenewalUnresolved is the same for a renewal.
	RenewalUnresolved EventKind = "lease renewal unresolved"

	// WriteFound says that the row holds what an unresolved write proposed.
	WriteFound EventKind = "lease write found applied"

	// WriteNotFound says that the row holds something else, or could not be read.
	WriteNotFound EventKind = "lease write not found applied"

	// ReleaseSent says that the node has proposed a lease without a holder.
	ReleaseSent EventKind = "lease release sent"

	// ReleaseUnresolved says that a release had no answer, or found another row than
	// it expected.
	ReleaseUnresolved EventKind = "lease release unresolved"

	// ReleaseRejected says that a release was not carried out.
	ReleaseRejected EventKind = "lease release rejected"

	// ReleaseDurable says that the row has no holder any more.
	ReleaseDurable EventKind = "lease release durable"

	// SteppedDown says that the node has stopped acting as the holder.
	SteppedDown EventKind = "lease holder stepped down"

	// NewerObserved says that another process has reported a later epoch.
	NewerObserved EventKind = "newer lease observed"
)

type (
	// EventKind is the kind of an Event.
	EventKind string

	// Event is a step of an Elector by which a change of the holder can be explained
	// afterwards. Lease is the content that the event is about, Version the version of
	// the row as the node knows it, Held whether the node acts as the holder, Age the
	// time since the write was sent, and Err why it was not confirmed.
	Event struct {
		Kind    EventKind
		Lease   Lease
		Version table.Version
		Held    bool
		Age     time.Duration
		Err     error
	}
)

// WithLog sets a callback for events. It must not call the elector.
func WithLog(log func(Event)) Option {
	return func(c *Config) { c.Log = log }
}

// log passes an event about a write of the row, or about a change of the known lease,
// to the callback.
func (e *Elector) log(kind EventKind, about Lease, err error) {
	event := Event{Kind: kind, Lease: about, Version: e.version, Held: e.held, Err: err}
	if !e.writeSentAt.IsZero() {
		event.Age = e.store.Now().Sub(e.writeSentAt)
	}
	e.config.Log(event)
}
