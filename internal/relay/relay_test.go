package relay_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/relay"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// service is a table service that can be closed to one process.
type service struct {
	closed  error
	commits int
}

func (s *service) Commit(context.Context, table.Txn) (table.Version, error) {
	s.commits++
	return 7, s.closed
}

func (s *service) Read(context.Context, []table.Key) ([]table.Row, error) {
	return []table.Row{{Key: "job/1", Version: 7}}, s.closed
}

func (s *service) Scan(context.Context, table.Key, table.Key, int) ([]table.Row, error) {
	return nil, s.closed
}

func (s *service) Changes(context.Context, table.Key, table.Version, time.Duration) ([]table.Change, table.Version, error) {
	return nil, 7, s.closed
}

func (s *service) Newest(context.Context) (table.Version, error) { return 7, s.closed }

// gates are other gates by name, each with its own way to the service.
type gates map[machine.Node]*relay.Table

func (g gates) Store(ctx context.Context, to machine.Node, call control.StoreCall) (control.StoreReply, error) {
	if g[to] == nil {
		time.Sleep(500 * time.Millisecond)
		return control.StoreReply{}, &net.OpError{Op: "dial", Err: errors.New("timeout")}
	}
	return g[to].Serve(ctx, call), nil
}

func newTable(s *service, g gates, peers ...machine.Node) *relay.Table {
	return relay.New(s, g, func() []machine.Node { return peers }, func(bool, string) {})
}

// TestDetour closes the service to a gate and to the peer that it asks first.
// Reads and writes go on by way of the next peer.
func TestDetour(t *testing.T) {
	ctx := context.Background()
	busy := &table.RejectedError{Reason: "status 503"}
	open, shut, own := &service{}, &service{closed: busy}, &service{closed: busy}
	g := gates{"shut": newTable(shut, nil), "open": newTable(open, nil)}
	own1 := newTable(own, g, "shut", "open")
	if rows, err := own1.Read(ctx, []table.Key{"job/1"}); err != nil || len(rows) != 1 {
		t.Errorf("read: %v, %v", rows, err)
	}
	if version, err := own1.Commit(ctx, table.Txn{}); err != nil || version != 7 {
		t.Errorf("commit: %d, %v", version, err)
	}
	if open.commits != 1 || own.commits != 0 {
		t.Errorf("%d commits at the open service, %d at the closed one", open.commits, own.commits)
	}
}

// TestUncertainCommit loses the answer of a commit. It must not be repeated,
// since it may have been carried out.
func TestUncertainCommit(t *testing.T) {
	open, own := &service{}, &service{closed: &table.UncertainError{Reason: "no answer"}}
	way := newTable(own, gates{"open": newTable(open, nil)}, "open")
	var uncertain *table.UncertainError
	if _, err := way.Commit(context.Background(), table.Txn{}); !errors.As(err, &uncertain) {
		t.Errorf("got %v", err)
	}
	if open.commits != 0 {
		t.Error("commit repeated at a peer")
	}
	if _, err := way.Commit(context.Background(), table.Txn{}); err != nil || open.commits != 1 {
		t.Errorf("next commit took the closed way: %v", err)
	}
}

// TestAllClosed closes the service to all gates, one of which has left for good.
// Only the first call may wait to find out.
func TestAllClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		busy := &table.RejectedError{Reason: "status 503"}
		g := gates{"shut": newTable(&service{closed: busy}, nil), "left": nil}
		way := newTable(&service{closed: busy}, g, "left", "shut")
		for i := range 20 {
			begun := time.Now()
			_, err := way.Commit(ctx, table.Txn{})
			var rejected *table.RejectedError
			if !errors.As(err, &rejected) {
				t.Fatalf("call %d: %v", i, err)
			}
			if took := time.Since(begun); i > 0 && took > 0 {
				t.Errorf("call %d took %s", i, took)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestProbe opens a way again without a call that waits for it.
func TestProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := &service{closed: &table.RejectedError{Reason: "status 503"}}
		peer := &service{}
		way := newTable(own, gates{"open": newTable(peer, nil)}, "open")
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go way.Probe(ctx)
		way.Newest(ctx)
		own.closed = nil
		time.Sleep(time.Second)
		if _, err := way.Commit(ctx, table.Txn{}); err != nil || own.commits != 1 {
			t.Errorf("%d commits by the direct way, %v", own.commits, err)
		}
	})
}
