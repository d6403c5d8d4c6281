package revision_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/pkg/revision"
)

var start = time.Date(2026, 5, 1, 6, 0, 0, 0, time.UTC)

// A register rejects a late update and counts as fresh for 18 s after its last
// confirmation.
func ExampleRegister() {
	var limits revision.Register[string]
	limits.Advance(4, "queue 100")
	limits.Confirm(start, 4)
	fmt.Println(limits.Advance(3, "queue 10"))
	fmt.Println(limits.Fresh(start.Add(10*time.Second), 18*time.Second))
	fmt.Println(limits.Fresh(start.Add(20*time.Second), 18*time.Second))
	value, number, _ := limits.Get()
	fmt.Println(value, number)
	// Output:
	// false
	// true
	// false
	// queue 100 4
}

// TestConfirm checks when a confirmation makes a register fresh.
func TestConfirm(t *testing.T) {
	tests := []struct {
		name   string
		held   revision.Number
		seen   revision.Number
		newest revision.Number
		fresh  bool
	}{
		{"the same", 4, 4, 4, true},
		{"a higher one", 4, 4, 5, false},
		{"an answer older than what is held", 4, 4, 3, true},
		{"an answer older than what was heard of", 4, 5, 4, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r revision.Register[int]
			r.Advance(test.held, 0)
			r.Observe(test.seen)
			r.Confirm(start, test.newest)
			if r.Fresh(start, time.Second) != test.fresh {
				t.Errorf("fresh is %v", !test.fresh)
			}
		})
	}
}

// TestMonotonic applies updates and confirmations in random order and checks that
// neither the revision nor the confirmation time ever decreases.
func TestMonotonic(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var r revision.Register[revision.Number]
		var last revision.Number
		var confirmed time.Time
		for range 60 {
			number := revision.Number(random.IntN(20))
			asked := start.Add(time.Duration(random.IntN(60)) * time.Second)
			if random.IntN(2) == 0 {
				r.Advance(number, number)
			} else {
				r.Confirm(asked, number)
			}
			value, current, known := r.Get()
			at, _ := r.Confirmed()
			if current < last || at.Before(confirmed) || (known && value != current) {
				t.Fatalf("seed %d: revision %d (value %d) after %d, confirmed %v after %v", seed, current, value, last, at, confirmed)
			}
			last, confirmed = current, at
		}
	}
}
