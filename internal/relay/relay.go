// Package relay is a client of the table service that sends its calls through
// another gate while its own process has no direct access to the service.
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
	// directTimeout bounds a direct call to the service. A service that is slowed
	// down by a factor of 50 still answers within it.
	directTimeout = 700 * time.Millisecond

	// peerTimeout bounds a call through another gate, which bounds its own call
	// to the service by directTimeout.
	peerTimeout = 900 * time.Millisecond

	// probeInterval is the time between two probes whether direct access works
	// again.
	probeInterval = 400 * time.Millisecond

	// maxPeers is the greatest number of other gates that are tried for a call.
	maxPeers = 4

	// unreachableBackoff is how long a gate that could not be reached is
	// excluded: it may be gone for good.
	unreachableBackoff = 3 * time.Second

	// allFailedBackoff is how long calls are rejected at once after direct access
	// and all tried gates have failed: a few round trips between data centres.
	allFailedBackoff = 200 * time.Millisecond
)

type (
	// Service is the table service with its change feed.
	Service interface {
		table.Table
		table.Feed
	}

	// PeerClient has another gate make a call to the table service.
	PeerClient interface {
		CallTable(ctx context.Context, to machine.Node, call control.TableCall) (control.TableReply, error)
	}

	// Table is a Service that calls the table service directly, or through
	// another gate while that fails. It is safe for use by several goroutines.
	Table struct {
		direct Service
		client PeerClient
		peers  func() []machine.Node
		log    func(available bool, reason string)

		mu sync.Mutex

		// directLost says that the last direct call was rejected or had no answer.
		directLost bool

		// firstPeer, modulo the number of peers, is the index of the peer that is
		// tried first: the one that answered last, or the next one after all tried
		// peers have failed.
		firstPeer int

		// unreachableAt is when peers could not be reached, and allFailedAt when
		// direct access and all tried peers failed.
		unreachableAt map[machine.Node]time.Time
		allFailedAt   time.Time
	}
)

var _ Service = (*Table)(nil)

// New returns a Table that sends its calls through the peers while there is no
// direct access. Each loss and recovery of direct access is passed to log:
// available says whether there is direct access now, reason why not.
func New(direct Service, client PeerClient, peers func() []machine.Node, log func(available bool, reason string)) *Table {
	return &Table{direct: direct, client: client, peers: peers, log: log, unreachableAt: make(map[machine.Node]time.Time)}
}

// Serve makes a call for another process. It uses direct access only, so that a call
// is passed on at most once.
func (t *Table) Serve(ctx context.Context, call control.TableCall) control.TableReply {
	if !t.hasDirect() {
		return control.TableReply{Rejected: &table.RejectedError{Reason: "no direct table access here either"}}
	}
	reply := execute(ctx, t.direct, call)
	t.recordDirect(ctx, reply)
	return reply
}

// Commit applies a transaction.
func (t *Table) Commit(ctx context.Context, txn table.Txn) (table.Version, error) {
	reply := t.call(ctx, control.TableCall{Commit: &txn})
	return reply.Version, replyError(reply)
}

// Read returns the rows that exist among the given keys.
func (t *Table) Read(ctx context.Context, keys []table.Key) ([]table.Row, error) {
	reply := t.call(ctx, control.TableCall{Read: keys})
	return reply.Rows, replyError(reply)
}

// Scan returns up to limit rows whose keys have the prefix and are greater than after.
func (t *Table) Scan(ctx context.Context, prefix, after table.Key, limit int) ([]table.Row, error) {
	reply := t.call(ctx, control.TableCall{Scan: true, Prefix: prefix, AfterKey: after, Limit: limit})
	return reply.Rows, replyError(reply)
}

// Changes returns the changes of rows with the prefix after a version, and the
// version up to which they are complete. It waits for a change for up to wait.
func (t *Table) Changes(ctx context.Context, prefix table.Key, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	reply := t.call(ctx, control.TableCall{Changes: true, Prefix: prefix, AfterVersion: after, Wait: wait})
	return reply.Changes, reply.Version, replyError(reply)
}

// Newest returns the version of the last committed transaction.
func (t *Table) Newest(ctx context.Context) (table.Version, error) {
	reply := t.call(ctx, control.TableCall{Newest: true})
	return reply.Version, replyError(reply)
}

// Probe checks, until the context ends, whether lost direct access works again, so
// that no other call has to wait to find out.
func (t *Table) Probe(ctx context.Context) {
	for ctx.Err() == nil {
		if !t.hasDirect() {
			t.recordDirect(ctx, execute(ctx, t.direct, control.TableCall{Newest: true}))
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// call makes a call directly, or through a peer if that fails or direct access is
// lost. A commit that may have been carried out is not repeated: only its caller can
// find out whether it was.
func (t *Table) call(ctx context.Context, call control.TableCall) control.TableReply {
	peers := t.peers()
	var reply control.TableReply
	if t.hasDirect() || len(peers) == 0 {
		reply = execute(ctx, t.direct, call)
		t.recordDirect(ctx, reply)
		if final(call, reply) {
			return reply
		}
	}
	first, allFailed := t.peerOrder()
	if allFailed {
		return control.TableReply{Rejected: &table.RejectedError{Reason: "no table access, neither direct nor through another gate"}}
	}
	asked := 0
	for i := 0; i < len(peers) && asked < maxPeers; i++ {
		index := (first + i) % len(peers)
		if t.excluded(peers[index]) {
			continue
		}
		asked++
		reply = t.ask(ctx, peers[index], call)
		if final(call, reply) || ctx.Err() != nil {
			t.preferPeer(index)
			return reply
		}
	}
	t.mu.Lock()
	t.firstPeer, t.allFailedAt = first+maxPeers, time.Now()
	t.mu.Unlock()
	if asked == 0 && reply.Rejected == nil && reply.Uncertain == nil {
		reply.Rejected = &table.RejectedError{Reason: "no direct table access, and no other gate can be reached"}
	}
	return reply
}

// peerOrder returns the index of the peer to try first, and whether direct access and
// all tried peers have failed within allFailedBackoff.
func (t *Table) peerOrder() (first int, allFailed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.firstPeer, time.Since(t.allFailedAt) < allFailedBackoff
}

// excluded reports whether a peer could not be reached within unreachableBackoff.
func (t *Table) excluded(peer machine.Node) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.unreachableAt[peer]) < unreachableBackoff
}

// preferPeer makes the peer at an index the first to be tried, and stops the immediate
// rejection of calls.
func (t *Table) preferPeer(index int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.firstPeer, t.allFailedAt = index, time.Time{}
}

// final reports whether a call must not be tried elsewhere: the service has
// answered it, or it is a commit that may have been carried out.
func final(call control.TableCall, reply control.TableReply) bool {
	if reply.Rejected != nil {
		return reply.Rejected.Invalid
	}
	return reply.Uncertain == nil || call.Commit != nil
}

// ask makes a call through a peer. Rejected means that it had no effect, Uncertain that
// it may have had one.
func (t *Table) ask(ctx context.Context, peer machine.Node, call control.TableCall) control.TableReply {
	askCtx, cancel := context.WithTimeout(ctx, call.Wait+peerTimeout)
	defer cancel()
	reply, err := t.client.CallTable(askCtx, peer, call)
	var opErr *net.OpError
	switch {
	case err == nil:
		return reply
	case errors.As(err, &opErr) && opErr.Op == "dial":
		t.mu.Lock()
		t.unreachableAt[peer] = time.Now()
		t.mu.Unlock()
		return control.TableReply{Rejected: &table.RejectedError{Reason: "no connection to gate " + string(peer)}}
	}
	return control.TableReply{Uncertain: &table.UncertainError{Reason: "no answer from gate " + string(peer)}}
}

// hasDirect reports whether there is direct access.
func (t *Table) hasDirect() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.directLost
}

// recordDirect updates whether there is direct access from the reply to a direct call.
// A call that its caller cancelled does not show it, and one that the service can't accept
// shows that the service answers.
func (t *Table) recordDirect(ctx context.Context, reply control.TableReply) {
	reason := ""
	switch {
	case reply.Rejected != nil && !reply.Rejected.Invalid:
		reason = reply.Rejected.Reason
	case reply.Uncertain != nil && errors.Is(ctx.Err(), context.Canceled):
		return
	case reply.Uncertain != nil:
		reason = reply.Uncertain.Reason
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if lost := reason != ""; lost != t.directLost {
		t.directLost = lost
		t.log(!lost, reason)
	}
}

// execute makes a call to a service and returns the outcome as a reply. An error of
// an unknown kind counts as uncertain.
func execute(ctx context.Context, s Service, call control.TableCall) control.TableReply {
	ctx, cancel := context.WithTimeout(ctx, call.Wait+directTimeout)
	defer cancel()
	var (
		reply control.TableReply
		err   error
	)
	switch {
	case call.Commit != nil:
		reply.Version, err = s.Commit(ctx, *call.Commit)
	case call.Scan:
		reply.Rows, err = s.Scan(ctx, call.Prefix, call.AfterKey, call.Limit)
	case call.Changes:
		reply.Changes, reply.Version, err = s.Changes(ctx, call.Prefix, call.AfterVersion, call.Wait)
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

// replyError returns the error that a reply holds, or nil.
func replyError(reply control.TableReply) error {
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
