package lease_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// hold makes the node acquire the lease, and returns the time after that.
func hold(t *testing.T, n node, r *memoryTable) time.Time {
	t.Helper()
	n.tick(start, r)
	n.tick(start.Add(lease.DefaultRenewal), r)
	if _, held := n.Lease(); !held {
		t.Fatal("the node did not acquire a free lease")
	}
	return start.Add(2 * lease.DefaultRenewal)
}

// request calls act and returns the only table operation that it requests.
func (n node) request(t *testing.T, now time.Time, act func(now time.Time)) machine.Effect {
	t.Helper()
	n.store.Advance(now)
	act(now)
	effects := n.store.Take()
	if len(effects) != 1 {
		t.Fatalf("%d table operations requested, want 1", len(effects))
	}
	return effects[0]
}

// resolve passes the outcome of an operation to the node and returns the operation that
// it requests then, if any.
func (n node) resolve(now time.Time, result machine.StoreResult) []machine.Effect {
	n.store.Advance(now)
	n.store.Resolve(result)
	return n.store.Take()
}

// unanswered is the result of a commit whose answer was lost.
func unanswered(effect machine.Effect) machine.StoreResult {
	return machine.StoreResult{ID: effect.(machine.Commit).ID, Err: &table.UncertainError{Reason: "no answer"}}
}

// TestValidWhileReleasing guards against two valid leases while the answer to a release is late or lost.
func TestValidWhileReleasing(t *testing.T) {
	r := newMemoryTable()
	first, second := newNode("first"), newNode("second")
	now := hold(t, first, r)
	second.tick(now, r)
	release := first.request(t, now, first.Resign)
	r.answer(release)
	now = now.Add(lease.DefaultRenewal)
	second.tick(now, r)
	now = now.Add(lease.DefaultRenewal)
	second.tick(now, r)
	if !second.Valid(now) {
		t.Fatal("the second node did not acquire the released lease")
	}
	if first.Valid(now) {
		t.Error("both nodes hold a valid lease while the answer to a release is late")
	}
	first.resolve(now, unanswered(release))
	if first.Valid(now) {
		t.Error("both nodes hold a valid lease after the answer to a release was lost")
	}
}

// TestValidAfterRelease guards against a release that counts as failed although it may still land.
func TestValidAfterRelease(t *testing.T) {
	rejected := &table.RejectedError{Reason: "table unavailable"}
	uncertain := &table.UncertainError{Reason: "no answer"}
	for _, test := range []struct {
		name  string
		errs  []error
		valid bool
	}{
		{name: "rejected", errs: []error{rejected}, valid: true},
		{name: "no answer", errs: []error{uncertain}},
		{name: "no answer, then rejected", errs: []error{uncertain, rejected}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newMemoryTable()
			n := newNode("node")
			now := hold(t, n, r)
			act := n.Resign
			for _, err := range test.errs {
				release := n.request(t, now, act)
				reads := n.resolve(now, machine.StoreResult{ID: release.(machine.Commit).ID, Err: err})
				n.resolve(now, r.answer(reads[0]))
				now = now.Add(lease.DefaultRenewal)
				act = func(now time.Time) { n.Tick(now) }
			}
			if _, held := n.Lease(); !held || n.Valid(now) != test.valid {
				t.Errorf("held %t, valid %t, want held and valid %t", held, n.Valid(now), test.valid)
			}
		})
	}
}

// TestReleaseOvertaken guards against a holder that stops for a release which can't land any more.
func TestReleaseOvertaken(t *testing.T) {
	r := newMemoryTable()
	n := newNode("node")
	now := hold(t, n, r)
	renewal := n.request(t, now, func(now time.Time) { n.Tick(now) })
	reads := n.resolve(now, unanswered(renewal))
	n.resolve(now, r.answer(reads[0]))
	now = now.Add(lease.DefaultRenewal)
	release := n.request(t, now, n.Resign)
	r.answer(renewal)
	reads = n.resolve(now, r.answer(release))
	n.resolve(now, r.answer(reads[0]))
	if _, held := n.Lease(); !held || !n.Valid(now) {
		t.Errorf("held %t, valid %t, want both", held, n.Valid(now))
	}
}

// TestEpochLedOnce guards against an epoch that one node leads twice.
func TestEpochLedOnce(t *testing.T) {
	for _, test := range []struct {
		name  string
		cease func(n node, now time.Time)
		lost  bool
	}{
		{name: "stepped down", cease: func(n node, now time.Time) { n.StepDown(now) }},
		{name: "stepped down, answer lost", cease: func(n node, now time.Time) { n.StepDown(now) }, lost: true},
		{name: "later epoch", cease: func(n node, now time.Time) { n.Observe(now, lease.Lease{Holder: "other", Epoch: 2}) }},
		{name: "later epoch, answer lost", cease: func(n node, now time.Time) { n.Observe(now, lease.Lease{Holder: "other", Epoch: 2}) }, lost: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newMemoryTable()
			led := make(map[lease.Epoch]int)
			n := newNode("node", lease.WithChanged(func(current lease.Lease, held bool) {
				if held {
					led[current.Epoch]++
				}
			}))
			now := hold(t, n, r)
			renewal := n.request(t, now, func(now time.Time) { n.Tick(now) })
			result := r.answer(renewal)
			test.cease(n, now)
			if test.lost {
				result = unanswered(renewal)
			}
			for _, read := range n.resolve(now, result) {
				n.resolve(now, r.answer(read))
			}
			if _, held := n.Lease(); held || led[1] != 1 {
				t.Errorf("held %t, epoch 1 led %d times, want not held and once", held, led[1])
			}
			for range 3 {
				now = now.Add(lease.DefaultRenewal)
				n.tick(now, r)
			}
			if current, held := n.Lease(); !held || current.Epoch != 2 || led[1] != 1 || led[2] != 1 {
				t.Errorf("lease %+v held %t, led %v, want epoch 2 acquired once", current, held, led)
			}
		})
	}
}

// TestLateWriteIsNotTheNext guards against a lease that counts from a later write than the one that landed.
func TestLateWriteIsNotTheNext(t *testing.T) {
	for _, acquisition := range []bool{true, false} {
		r := newMemoryTable()
		n := newNode("node")
		now := start
		n.tick(now, r)
		if !acquisition {
			now = hold(t, n, r)
		}
		now = now.Add(lease.DefaultRenewal)
		late := n.request(t, now, func(now time.Time) { n.Tick(now) })
		landedAt := now.Add(lease.DefaultRenewal / 2)
		reads := n.resolve(landedAt, unanswered(late))
		n.resolve(landedAt, r.answer(reads[0]))
		r.answer(late)
		now = now.Add(lease.DefaultRenewal)
		next := n.request(t, now, func(now time.Time) { n.Tick(now) })
		reads = n.resolve(now, r.answer(next))
		n.resolve(now, r.answer(reads[0]))
		if expiry := landedAt.Add(lease.DefaultTerm); n.Valid(expiry) {
			t.Errorf("acquisition %t: the lease is valid a term after the row has changed", acquisition)
		}
		now = now.Add(lease.DefaultRenewal)
		n.tick(now, r)
		if current, held := n.Lease(); !held || !n.Valid(now) {
			t.Errorf("acquisition %t: lease %+v held %t, want it held and valid after the next write", acquisition, current, held)
		}
	}
}
