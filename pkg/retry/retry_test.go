package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/pkg/retry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The delay doubles with each failure up to the cap.
func ExampleBackoff() {
	backoff := retry.Backoff{Base: time.Second, Cap: 5 * time.Second}
	for failures := 1; failures <= 4; failures++ {
		fmt.Println(backoff.Delay(failures))
	}
	// Output:
	// 1s
	// 2s
	// 4s
	// 5s
}

// Two first attempts with a share of 0.5 permit one retry, once the back-off has
// passed.
func ExampleGroup() {
	group := retry.NewGroup[string](retry.WithBudget(0.5, 0, 10), retry.WithBackoff(time.Second, time.Minute))
	group.FirstAttempt(start, "table")
	group.FirstAttempt(start, "table")
	next := group.Failed(start, "table")
	fmt.Println(group.Allow(start, "table"))
	fmt.Println(group.Allow(next, "table"))
	fmt.Println(group.Allow(next, "table"))
	// Output:
	// false
	// true
	// false
}

// TestBudgetBound checks, over random sequences of attempts, that retries never
// exceed the share of the first attempts, the floor for each second and the burst
// together.
func TestBudgetBound(t *testing.T) {
	for seed := uint64(1); seed <= 50; seed++ {
		random := rand.New(rand.NewPCG(seed, 0))
		budget := retry.Budget{Share: 0.2, Floor: 2, Burst: 20}
		first, retries := 0, 0
		now := start
		for range 5000 {
			now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
			if random.IntN(4) == 0 {
				budget.FirstAttempt(now)
				first++
			} else if budget.Retry(now) {
				retries++
			}
			bound := 0.2*float64(first) + 2*now.Sub(start).Seconds() + 20
			if float64(retries) > bound {
				t.Fatalf("seed %d: %d retries for %d first attempts in %v", seed, retries, first, now.Sub(start))
			}
		}
	}
}

// TestBackoffJitter checks that jittered delays differ and lie between half of the
// plain delay and all of it.
func TestBackoffJitter(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	backoff := retry.Backoff{Base: time.Second, Cap: 8 * time.Second, Jitter: random.Float64}
	seen := make(map[time.Duration]bool)
	for range 100 {
		delay := backoff.Delay(4)
		if delay < 4*time.Second || delay > 8*time.Second {
			t.Errorf("got %v", delay)
		}
		seen[delay] = true
	}
	if len(seen) < 90 {
		t.Errorf("100 clients have %d delays", len(seen))
	}
}
