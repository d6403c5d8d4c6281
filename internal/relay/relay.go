// Package relay is a client of the table service that goes through another gate
// while its own way to the service is closed.
package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// directTimeout bounds a call of the service: a service that is slow by a
	// factor of fifty still answers in it.
	directTimeout = 700 * time.Millisecond

	// peerTimeout bounds a call by way of another gate, which bounds its own
	// call of the service by directTimeout.
	peerTimeout = 900 * time.Millisecond

	// probePause is the time between two looks whether a closed way is open
	// again.
	probePause = 400 * time.Millisecond

	// maxPeers bounds how many other gates are tried for one call.
	maxPeers = 4

	// absentPause is how long a gate is not asked that could not be reached: it
	// may have left for good.
	absentPause = 3 * time.Second

	// closedPause is how long calls are rejected at once after all ways were
	// found closed, a few round trips between data centres.
	closedPause = 200 * time.Millisecond
)

type (
	// Service is the table service with its feed.
	Service interface {
		table.Table
		table.Feed
	}

	// Caller has another gate carry out a call.
	Caller interface {
		Store(ctx context.Context, to machine.Node, call control.StoreCall) (control.StoreReply, error)
	}

	// Table is a Service that takes a detour when its own way is closed. It is
	// safe for use by several goroutines.
	Table struct {
		direct Service
		caller Caller
		peers  func() []machine.Node
		log    func(open bool, reason string)

		mu   sync.Mutex
		shut bool

		// turn is the peer that is tried first: the one that answered last.
		turn int

		// absent tells when peers could not be reached, and closed when all ways
		// were closed.
		absent map[machine.Node]time.Time
		closed time.Time
	}
)

var _ Service = (*Table)(nil)

// New returns a Table that asks the peers while the direct way is closed. Each
// change of the way is told to log.
func New(direct Service, caller Caller, peers func() []machine.Node, log func(open bool, reason string)) *Table {
	return &Table{direct: direct, caller: caller, peers: peers, log: log, absent: make(map[machine.Node]time.Time)}
}

// Serve carries out a call for another process, by the direct way only.
func (t *Table) Serve(ctx context.Context, call control.StoreCall) control.StoreReply {
	if !t.open() {
		return control.StoreReply{Rejected: &table.RejectedError{Reason: "the way to the table is closed here too"}}
	}
	reply := carry(ctx, t.direct, call)
	t.observe(ctx, reply)
	return reply
}

// Commit applies a transaction.
func (t *Table) Commit(ctx context.Context, txn table.Txn) (table.Version, error) {
	reply := t.call(ctx, control.StoreCall{Commit: &txn})
	return reply.Version, failure(reply)
}

// Read returns the rows that exist among the given keys.
func (t *Table) Read(ctx context.Context, keys []table.Key) ([]table.Row, error) {
	reply := t.call(ctx, control.StoreCall{Read: keys})
	return reply.Rows, failure(reply)
}

// Scan returns up to limit rows with the prefix and after the key after.
func (t *Table) Scan(ctx context.Context, prefix, after table.Key, limit int) ([]table.Row, error) {
	reply := t.call(ctx, control.StoreCall{Scan: true, Prefix: prefix, From: after, Limit: limit})
	return reply.Rows, failure(reply)
}

// Changes returns what has changed after a version.
func (t *Table) Changes(ctx context.Context, prefix table.Key, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	reply := t.call(ctx, control.StoreCall{Changes: true, Prefix: prefix, After: after, Wait: wait})
	return reply.Changes, reply.Version, failure(reply)
}

// Newest returns the version of the newest transaction.
func (t *Table) Newest(ctx context.Context) (table.Version, error) {
	reply := t.call(ctx, control.StoreCall{Newest: true})
	return reply.Version, failure(reply)
}

// Probe looks whether a closed way is open again, until the context ends, so
// that no other call has to wait for that.
func (t *Table) Probe(ctx context.Context) {
	for ctx.Err() == nil {
		if !t.open() {
			t.observe(ctx, carry(ctx, t.direct, control.StoreCall{Newest: true}))
		}
		select {
		case <-ctx.Done():
		case <-time.After(probePause):
		}
	}
}

// call takes the direct way while it is open, and else that of a peer. A commit
// that may have been carried out is not tried again: only its caller can tell
// whether it was.
func (t *Table) call(ctx context.Context, call control.StoreCall) control.StoreReply {
	peers := t.peers()
	var reply control.StoreReply
	if t.open() || len(peers) == 0 {
		reply = carry(ctx, t.direct, call)
		t.observe(ctx, reply)
		if final(call, reply) {
			return reply
		}
	}
	first, closed := t.detour()
	if closed {
		return control.StoreReply{Rejected: &table.RejectedError{Reason: "all ways to the table are closed"}}
	}
	asked := 0
	for i := 0; i < len(peers) && asked < maxPeers; i++ {
		turn := (first + i) % len(peers)
		if t.skips(peers[turn]) {
			continue
		}
		asked++
		reply = t.ask(ctx, peers[turn], call)
		if final(call, reply) || ctx.Err() != nil {
			t.found(turn)
			return reply
		}
	}
	t.mu.Lock()
	t.turn, t.closed = first+maxPeers, time.Now()
	t.mu.Unlock()
	if asked == 0 && reply.Rejected == nil && reply.Uncertain == nil {
		reply.Rejected = &table.RejectedError{Reason: "no gate can be reached"}
	}
	return reply
}

// detour returns the peer to try first, and whether all ways were closed just
// now.
func (t *Table) detour() (first int, closed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.turn, time.Since(t.closed) < closedPause
}

// skips reports whether a peer could not be reached just now.
func (t *Table) skips(peer machine.Node) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.absent[peer]) < absentPause
}

func (t *Table) found(turn int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn, t.closed = turn, time.Time{}
}

// final reports whether a reply stands: the call was carried out, or it may
// have been and must not be repeated.
func final(call control.StoreCall, reply control.StoreReply) bool {
	return reply.Rejected == nil && (reply.Uncertain == nil || call.Commit != nil)
}

// ask has a peer carry out a call.
func (t *Table) ask(ctx context.Context, peer machine.Node, call control.StoreCall) control.StoreReply {
	limit, cancel := context.WithTimeout(ctx, call.Wait+peerTimeout)
	defer cancel()
	reply, err := t.caller.Store(limit, peer, call)
	var dial *net.OpError
	switch {
	case err == nil:
		return reply
	case errors.As(err, &dial) && dial.Op == "dial":
		t.mu.Lock()
		t.absent[peer] = time.Now()
		t.mu.Unlock()
		return control.StoreReply{Rejected: &table.RejectedError{Reason: "no connection to gate " + string(peer)}}
	}
	return control.StoreReply{Uncertain: &table.UncertainError{Reason: "no answer from gate " + string(peer)}}
}

// open reports whether the direct way is open.
func (t *Table) open() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.shut
}

// observe takes note of whether the direct way is open.
func (t *Table) observe(ctx context.Context, reply control.StoreReply) {
	reason := ""
	switch {
	case reply.Rejected != nil:
		reason = reply.Rejected.Reason
	case reply.Uncertain != nil && errors.Is(ctx.Err(), context.Canceled):
		return
	case reply.Uncertain != nil:
		reason = reply.Uncertain.Reason
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if shut := reason != ""; shut != t.shut {
		t.shut = shut
		t.log(!shut, reason)
	}
}

// carry carries a call out at a service.
func carry(ctx context.Context, s Service, call control.StoreCall) control.StoreReply {
	ctx, cancel := context.WithTimeout(ctx, call.Wait+directTimeout)
	defer cancel()
	var (
		reply control.StoreReply
		err   error
	)
	switch {
	case call.Commit != nil:
		reply.Version, err = s.Commit(ctx, *call.Commit)
	case call.Scan:
		reply.Rows, err = s.Scan(ctx, call.Prefix, call.From, call.Limit)
	case call.Changes:
		reply.Changes, reply.Version, err = s.Changes(ctx, call.Prefix, call.After, call.Wait)
	case call.Newest:
		reply.Version, err = s.Newest(ctx)
	default:
		reply.Rows, err = s.Read(ctx, call.Read)
	}
	var uncertain *table.UncertainError
	switch {
	case err == nil:
	case errors.As(err, &reply.Conflict), errors.As(err, &reply.Rejected), errors.As(err, &reply.History):
	case errors.As(err, &uncertain):
		reply.Uncertain = uncertain
	default:
		reply.Uncertain = &table.UncertainError{Reason: err.Error()}
	}
	return reply
}

// failure returns the error of a reply, or nil.
func failure(reply control.StoreReply) error {
	switch {
	case reply.Conflict != nil:
		return reply.Conflict
	case reply.Rejected != nil:
		return reply.Rejected
	case reply.Uncertain != nil:
		return reply.Uncertain
	case reply.History != nil:
		return reply.History
	}
	return nil
}
