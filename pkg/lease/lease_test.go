package lease_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// memoryTable is a table in memory that can be made unavailable.
type memoryTable struct {
	rows        map[table.Key]table.Row
	version     table.Version
	unavailable bool
}

func newMemoryTable() *memoryTable {
	return &memoryTable{rows: make(map[table.Key]table.Row)}
}

func (r *memoryTable) commit(txn table.Txn) ([]table.Row, error) {
	for _, check := range txn.Checks {
		if have := r.rows[check.Key].Version; have != check.Version {
			return nil, &table.ConflictError{Key: check.Key, Want: check.Version, Have: have}
		}
	}
	r.version++
	var written []table.Row
	for _, w := range txn.Writes {
		row := table.Row{Key: w.Key, Version: r.version, Value: w.Value}
		r.rows[w.Key] = row
		written = append(written, row)
	}
	return written, nil
}

func (r *memoryTable) read(keys []table.Key) []table.Row {
	var found []table.Row
	for _, key := range keys {
		if row, ok := r.rows[key]; ok {
			found = append(found, row)
		}
	}
	return found
}

// node is an elector with its store.
type node struct {
	*lease.Elector
	store *machine.Store
}

func newNode(name machine.Node, options ...lease.Option) node {
	store := machine.NewStore()
	return node{Elector: lease.NewElector("lease", name, store, options...), store: store}
}

// tick calls the elector and answers its table operations until there are none.
func (n node) tick(now time.Time, r *memoryTable) {
	n.store.Advance(now)
	n.Tick(now)
	for effects := n.store.Take(); len(effects) > 0; effects = n.store.Take() {
		for _, effect := range effects {
			n.store.Resolve(r.answer(effect))
		}
	}
}

func (r *memoryTable) answer(effect machine.Effect) machine.StoreResult {
	var stored machine.StoreResult
	switch e := effect.(type) {
	case machine.Commit:
		stored.ID = e.ID
		if r.unavailable {
			stored.Err = &table.RejectedError{Reason: "table unavailable"}
			return stored
		}
		stored.Rows, stored.Err = r.commit(e.Txn)
	case machine.Read:
		stored.ID = e.ID
		if r.unavailable {
			stored.Err = &table.RejectedError{Reason: "table unavailable"}
			return stored
		}
		stored.Rows = r.read(e.Keys)
	}
	return stored
}

// The first node stops renewing its lease. The second acquires it with a higher epoch,
// after which guarded transactions of the first fail.
func ExampleElector() {
	r := newMemoryTable()
	first, second := newNode("first"), newNode("second")
	now := start
	for range 3 {
		first.tick(now, r)
		second.tick(now, r)
		now = now.Add(lease.DefaultRenewal)
	}
	_, held := first.Lease()
	fmt.Println("first holds:", held)
	for range 8 {
		second.tick(now, r)
		now = now.Add(lease.DefaultRenewal)
	}
	current, held := second.Lease()
	fmt.Println("second holds:", held, "epoch", current.Epoch)
	_, err := r.commit(table.Txn{Checks: []table.Check{first.Guard()}})
	var conflict *table.ConflictError
	fmt.Println("a guarded write of the first is refused:", errors.As(err, &conflict))
	// Output:
	// first holds: true
	// second holds: true epoch 2
	// a guarded write of the first is refused: true
}

// TestOutage makes the table unavailable for an hour. The holder must keep the lease
// through the outage and afterwards, even if the challenger reads the row twice before
// the holder can renew the lease, and reads it first from then on.
func TestOutage(t *testing.T) {
	for _, order := range [][]int{{0, 1}, {1, 0}} {
		r := newMemoryTable()
		nodes := []node{newNode("first"), newNode("second")}
		now := start
		advance := func(count int) {
			for range count {
				for _, i := range order {
					nodes[i].tick(now, r)
				}
				now = now.Add(lease.DefaultRenewal)
			}
		}
		advance(5)
		before, _ := nodes[0].Lease()
		r.unavailable = true
		advance(3600)
		r.unavailable = false
		for range 2 {
			nodes[1].tick(now, r)
			now = now.Add(lease.DefaultRenewal)
		}
		advance(20)
		after, _ := nodes[0].Lease()
		if after.Epoch != before.Epoch || after.Holder != before.Holder {
			t.Errorf("order %v: got %+v, want %+v", order, after, before)
		}
	}
}

// TestResign resigns during an outage of the table. The holder must keep the lease
// until the release is durable; then the other node must acquire it at once.
func TestResign(t *testing.T) {
	r := newMemoryTable()
	first, second := newNode("first"), newNode("second")
	now := start
	advance := func(count int) {
		for range count {
			first.tick(now, r)
			second.tick(now, r)
			now = now.Add(lease.DefaultRenewal)
		}
	}
	advance(5)
	r.unavailable = true
	first.store.Advance(now)
	first.Resign(now)
	advance(10)
	if _, held := first.Lease(); !held || first.Released() {
		t.Error("the holder gave up the lease before its release was durable")
	}
	r.unavailable = false
	advance(3)
	if _, held := second.Lease(); !held || !first.Released() {
		t.Error("the other node did not acquire the released lease")
	}
}

// TestAcquireDelay lets a node with an acquire delay and one without compete for a
// lease that is free, and for one whose holder no longer renews it. The node without an
// acquire delay must acquire it even if it reads the row later. A node with an acquire
// delay that is alone must acquire it too.
func TestAcquireDelay(t *testing.T) {
	delay := lease.WithAcquireDelay(func() time.Duration { return lease.DefaultRenewal })
	for _, alone := range []bool{false, true} {
		r := newMemoryTable()
		delayed, plain := newNode("weak", delay), newNode("strong")
		now := start
		run := func(d time.Duration, nodes ...node) {
			for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
				for _, n := range nodes {
					n.tick(now, r)
				}
			}
		}
		run(300*time.Millisecond, delayed)
		if alone {
			run(3*time.Second, delayed)
		} else {
			run(3*time.Second, delayed, plain)
		}
		_, held := delayed.Lease()
		if held != alone {
			t.Errorf("alone %t: the node with an acquire delay holds a free lease: %t", alone, held)
		}
		if alone {
			continue
		}
		other := newNode("other")
		run(2*time.Second, delayed, other)
		run(lease.DefaultTerm+3*time.Second, delayed, other)
		if _, held := other.Lease(); !held {
			t.Error("the node with an acquire delay acquired the lease of an unresponsive holder")
		}
	}
}

// TestEvents releases a lease with a lost answer. The events must tell the acquisition,
// and the release with its uncertain outcome.
func TestEvents(t *testing.T) {
	var kinds []lease.EventKind
	r := newMemoryTable()
	n := newNode("node", lease.WithLog(func(e lease.Event) { kinds = append(kinds, e.Kind) }))
	n.tick(start, r)
	n.tick(start.Add(lease.DefaultRenewal), r)
	n.store.Advance(start.Add(2 * lease.DefaultRenewal))
	n.Resign(start.Add(2 * lease.DefaultRenewal))
	r.answer(n.store.Take()[0])
	n.store.Resolve(machine.StoreResult{ID: 3, Err: &table.UncertainError{Reason: "no answer"}})
	want := []lease.EventKind{lease.AcquisitionSent, lease.ReleaseSent, lease.ReleaseUnresolved}
	if !slices.Equal(kinds, want) {
		t.Errorf("got events %q, want %q", kinds, want)
	}
}
