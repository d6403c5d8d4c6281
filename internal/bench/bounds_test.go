package bench_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/bench"
)

func TestEndAgronomy(t *testing.T) { testEnd(t, bench.Agronomy(), agronomy()) }
func TestEndCouncil(t *testing.T)  { testEnd(t, bench.Council(), council()) }
func TestEndTarget(t *testing.T)   { testEnd(t, bench.Target(0), target()) }

func TestGuaranteesAgronomy(t *testing.T) { testGuarantees(t, agronomy()) }
func TestGuaranteesCouncil(t *testing.T)  { testGuarantees(t, council()) }
func TestGuaranteesTarget(t *testing.T)   { testGuarantees(t, target()) }

func TestStarvationAgronomy(t *testing.T) { testStarvation(t, agronomy()) }
func TestStarvationCouncil(t *testing.T)  { testStarvation(t, council()) }
func TestStarvationTarget(t *testing.T)   { testStarvation(t, target()) }

func TestUrgentStartAgronomy(t *testing.T) { testUrgentStart(t, agronomy()) }
func TestUrgentStartCouncil(t *testing.T)  { testUrgentStart(t, council()) }
func TestUrgentStartTarget(t *testing.T)   { testUrgentStart(t, target()) }

func TestCompletionAgronomy(t *testing.T) { testCompletion(t, agronomy()) }
func TestCompletionCouncil(t *testing.T)  { testCompletion(t, council()) }
func TestCompletionTarget(t *testing.T)   { testCompletion(t, target()) }

func TestLargeJobsAgronomy(t *testing.T) { testLargeJobs(t, agronomy()) }
func TestLargeJobsCouncil(t *testing.T)  { testLargeJobs(t, council()) }
func TestLargeJobsTarget(t *testing.T)   { testLargeJobs(t, target()) }

func TestFragmentationAgronomy(t *testing.T) { testFragmentation(t, agronomy()) }
func TestFragmentationCouncil(t *testing.T)  { testFragmentation(t, council()) }
func TestFragmentationTarget(t *testing.T)   { testFragmentation(t, target()) }

// testEnd checks that every admitted job ends, that no idempotent job fails for
// good on failing workers, and that few non-idempotent jobs do. These end with
// their first failure, so a failing worker may end as many of them as it has
// slots, because its slots can be filled before the first failure is known.
func testEnd(t *testing.T, workload bench.Workload, rows []measurement) {
	compare(rows, func(fault bench.Fault, ours *bench.Result, _ []*bench.Result) {
		if ours.JobsNotEnded > 0 {
			t.Errorf("%s: %d jobs never ended", fault, ours.JobsNotEnded)
		}
		if ours.FailedIdempotent > 0 {
			t.Errorf("%s: %d idempotent jobs failed for good on failing workers", fault, ours.FailedIdempotent)
		}
		if limit := bench.FailingWorkers * workload.Workers[0].Slots; ours.FailedNonIdempotent > limit {
			t.Errorf("%s: %d non-idempotent jobs failed on failing workers, want at most %d", fault, ours.FailedNonIdempotent, limit)
		}
	})
}

// testGuarantees checks that no job claims guaranteed capacity for longer than
// bench.MaxClaimTime.
func testGuarantees(t *testing.T, rows []measurement) {
	compare(rows, func(fault bench.Fault, ours *bench.Result, _ []*bench.Result) {
		for _, v := range ours.LateClaims {
			t.Errorf("%s: %s", fault, v)
		}
	})
}

// testStarvation checks that no job is delayed too long.
func testStarvation(t *testing.T, rows []measurement) {
	compare(rows, func(fault bench.Fault, ours *bench.Result, _ []*bench.Result) {
		if n := len(ours.Starved); n > 0 {
			t.Errorf("%s: %d starved, the first is %s", fault, n, ours.Starved[0])
		}
	})
}

// testUrgentStart checks the 99th percentile of the waits of urgent work.
func testUrgentStart(t *testing.T, rows []measurement) {
	compare(rows, func(fault bench.Fault, ours *bench.Result, _ []*bench.Result) {
		if got := ours.Urgent.Wait.Percentile(0.99); got > bench.MaxUrgentWait {
			t.Errorf("%s: urgent work starts in %v at p99, want at most %v", fault, got, bench.MaxUrgentWait)
		}
	})
}

// testCompletion checks that the mean completion time is below those of both
// baselines, and not below the lower bound that holds for every policy.
func testCompletion(t *testing.T, rows []measurement) {
	compare(rows, func(fault bench.Fault, ours *bench.Result, others []*bench.Result) {
		got := ours.All.Completion.Mean()
		for _, b := range others {
			if want := b.All.Completion.Mean(); got >= want {
				t.Errorf("%s: mean completion is %v, want below %v", fault, got.Round(time.Second), want.Round(time.Second))
			}
		}
		if got < ours.MeanBound {
			t.Errorf("%s: mean completion of %v is below the bound of %v", fault, got, ours.MeanBound)
		}
	})
}

// testLargeJobs checks that the 99th percentile of the completion times of large
// jobs is below those of both baselines.
func testLargeJobs(t *testing.T, rows []measurement) {
	compare(rows, func(fault bench.Fault, ours *bench.Result, others []*bench.Result) {
		got := ours.Large.Completion.Percentile(0.99)
		for _, b := range others {
			if want := b.Large.Completion.Percentile(0.99); got >= want {
				t.Errorf("%s: large jobs take %v at p99, want below %v", fault, got.Round(time.Second), want.Round(time.Second))
			}
		}
	})
}

// testFragmentation checks the average fragmentation against that of the better
// baseline.
func testFragmentation(t *testing.T, rows []measurement) {
	compare(rows, func(fault bench.Fault, ours *bench.Result, others []*bench.Result) {
		better := min(others[0].Fragmentation, others[1].Fragmentation)
		if got, want := ours.Fragmentation, better*fragmentationShare; got > want {
			t.Errorf("%s: fragmentation is %.3f, want at most %.3f", fault, got, want)
		}
	})
}
