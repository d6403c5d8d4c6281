package gate_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/lab"
)

const (
	seeds     = 40
	stormTime = 2 * time.Minute
	restTime  = 4 * time.Minute

	// partialBound is the longest time for which a gang may compute in part under
	// faults of 30 s: the fault, the takeover of the lease, the silence of an
	// agent after it, and the lease of a task at its runner.
	partialBound = 30*time.Second + 10*time.Second + 15*time.Second + lab.DefaultTaskLease
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed of the random tests")
	seedCount = flag.Uint64("seeds", seeds, "number of seeds of the random tests")
)

// TestChaos checks all promises under random faults, with and without faults of
// the store.
func TestChaos(t *testing.T) {
	for _, outages := range []bool{false, true} {
		for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
			t.Run(fmt.Sprintf("outages=%v/seed=%d", outages, seed), func(t *testing.T) {
				t.Parallel()
				storm(t, seed, outages)
			})
		}
	}
}

// TestToldEnds runs the seeds under which the end of a job that was told while the
// store was away is not what the table keeps.
func TestToldEnds(t *testing.T) {
	stormSeeds(t, 66, 123, 205, 221, 283, 322, 5104, 5183, 5210, 5655, 5921, 747406006)
}

// TestToldEndsLost runs the seeds under which an end that was told still does not
// last: the gate that keeps it and the leader that knows it are cut off or lost.
func TestToldEndsLost(t *testing.T) {
	stormSeeds(t, 5146, 5705, 747406028, 747406040, 747406078)
}

func stormSeeds(t *testing.T, seeds ...uint64) {
	t.Helper()
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			storm(t, seed, true)
		})
	}
}

// storm checks all promises under the random faults of one seed.
func storm(t *testing.T, seed uint64, outages bool) {
	t.Helper()
	r := lab.NewRegion(seed, 3, 9)
	ledger := lab.NewLedger(r)
	ledger.PartialBound = partialBound
	trace(r)
	chaos := lab.NewChaos(r)
	chaos.Outages = outages
	if err := chaos.Run(stormTime, restTime); err != nil {
		t.Fatal(err)
	}
	if err := ledger.Settled(); err != nil {
		explain(r)
		t.Fatalf("seed %d: %v", seed, err)
	}
	if r.Steps() < 2000 {
		t.Fatalf("seed %d: %d steps", seed, r.Steps())
	}
}
