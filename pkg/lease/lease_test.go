package lease_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// rows is a table in memory that can be away.
type rows struct {
	rows    map[table.Key]table.Row
	version table.Version
	away    bool
}

func newRows() *rows {
	return &rows{rows: make(map[table.Key]table.Row)}
}

func (r *rows) commit(txn table.Txn) ([]table.Row, error) {
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

func (r *rows) read(keys []table.Key) []table.Row {
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

// tick lets the elector act and answers what it asks of the table.
func (n node) tick(now time.Time, r *rows) {
	n.store.Advance(now)
	n.Tick(now)
	for effects := n.store.Take(); len(effects) > 0; effects = n.store.Take() {
		for _, effect := range effects {
			n.store.Resolve(r.answer(effect))
		}
	}
}

func (r *rows) answer(effect machine.Effect) machine.Stored {
	var stored machine.Stored
	switch e := effect.(type) {
	case machine.Commit:
		stored.ID = e.ID
		if r.away {
			stored.Err = &table.RejectedError{Reason: "away"}
			return stored
		}
		stored.Rows, stored.Err = r.commit(e.Txn)
	case machine.Read:
		stored.ID = e.ID
		if r.away {
			stored.Err = &table.RejectedError{Reason: "away"}
			return stored
		}
		stored.Rows = r.read(e.Keys)
	}
	return stored
}

func ExampleElector() {
	r := newRows()
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

// TestOutage takes the table away for an hour. The holder holds on, and is the
// holder still when the table is back, though the other asks it first, and twice.
func TestOutage(t *testing.T) {
	for _, order := range [][]int{{0, 1}, {1, 0}} {
		r := newRows()
		nodes := []node{newNode("first"), newNode("second")}
		now := start
		step := func(count int) {
			for range count {
				for _, i := range order {
					nodes[i].tick(now, r)
				}
				now = now.Add(lease.DefaultRenewal)
			}
		}
		step(5)
		before, _ := nodes[0].Lease()
		r.away = true
		step(3600)
		r.away = false
		for range 2 {
			nodes[1].tick(now, r)
			now = now.Add(lease.DefaultRenewal)
		}
		step(20)
		after, _ := nodes[0].Lease()
		if after.Epoch != before.Epoch || after.Holder != before.Holder {
			t.Errorf("order %v: got %+v, want %+v", order, after, before)
		}
	}
}

// TestResign gives the lease up while the table is away and then back. The holder
// holds it until the table has that, and the other takes it at once.
func TestResign(t *testing.T) {
	r := newRows()
	first, second := newNode("first"), newNode("second")
	now := start
	step := func(count int) {
		for range count {
			first.tick(now, r)
			second.tick(now, r)
			now = now.Add(lease.DefaultRenewal)
		}
	}
	step(5)
	r.away = true
	first.store.Advance(now)
	first.Resign(now)
	step(10)
	if _, held := first.Lease(); !held || first.Vacant() {
		t.Error("the holder gave up though nobody else can hold the lease")
	}
	r.away = false
	step(3)
	if _, held := second.Lease(); !held || !first.Vacant() {
		t.Error("the lease was not handed over")
	}
}

// TestHandicap has a node with a handicap and one without see a lease that is
// free, and one whose holder is silent. The one without gets it, though it looks
// later; alone, the one with the handicap takes it too.
func TestHandicap(t *testing.T) {
	handicap := lease.WithHandicap(func() time.Duration { return lease.DefaultRenewal })
	for _, alone := range []bool{false, true} {
		r := newRows()
		weak, strong := newNode("weak", handicap), newNode("strong")
		now := start
		run := func(d time.Duration, nodes ...node) {
			for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
				for _, n := range nodes {
					n.tick(now, r)
				}
			}
		}
		run(300*time.Millisecond, weak)
		if alone {
			run(3*time.Second, weak)
		} else {
			run(3*time.Second, weak, strong)
		}
		_, held := weak.Lease()
		if held != alone {
			t.Errorf("alone %t: the weak node holds a free lease: %t", alone, held)
		}
		if alone {
			continue
		}
		other := newNode("other")
		run(2*time.Second, weak, other)
		run(lease.DefaultTerm+3*time.Second, weak, other)
		if _, held := other.Lease(); !held {
			t.Error("the weak node took the lease of one that fell silent")
		}
	}
}
