package bench_test

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/baseline"
	"github.com/lovageroad/lovageroad/internal/bench"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

type (
	// corruptingPolicy corrupts the placements of the starts that the embedded
	// policy decides.
	corruptingPolicy struct {
		scheduler.Policy
		corrupt func(floor.Placement) floor.Placement
	}
)

func (p corruptingPolicy) Decide(now time.Time) []scheduler.Decision {
	decisions := p.Policy.Decide(now)
	for i, d := range decisions {
		if start, ok := d.(scheduler.Start); ok {
			start.Placement = p.corrupt(start.Placement)
			decisions[i] = start
		}
	}
	return decisions
}

func TestRunReportsInvalidStarts(t *testing.T) {
	eachAllocation := func(modify func(*floor.Allocation)) func(floor.Placement) floor.Placement {
		return func(placement floor.Placement) floor.Placement {
			corrupted := append(floor.Placement(nil), placement...)
			for i := range corrupted {
				modify(&corrupted[i])
			}
			return corrupted
		}
	}
	tests := []struct {
		name    string
		corrupt func(floor.Placement) floor.Placement
		want    string
	}{
		{"same accelerators", eachAllocation(func(allocation *floor.Allocation) { allocation.Accelerators = 1<<allocation.Accelerators.Count() - 1 }), "accelerators are in use"},
		{"beyond the worker", eachAllocation(func(allocation *floor.Allocation) { allocation.Accelerators <<= 8 }), "wrong accelerators"},
		{"part of a gang", func(placement floor.Placement) floor.Placement { return placement[:(len(placement)+1)/2] }, "members started instead of"},
		{"one worker", func(placement floor.Placement) floor.Placement {
			return floor.Placement{placement[0], placement[0], placement[0]}[:len(placement)]
		}, "has a member already"},
		{"no cores", eachAllocation(func(allocation *floor.Allocation) { allocation.Cores = 0 }), "too few cores"},
		{"no memory", eachAllocation(func(allocation *floor.Allocation) { allocation.Memory = 0 }), "too little memory"},
		{"unknown worker", eachAllocation(func(allocation *floor.Allocation) { allocation.Worker = "gone" }), "lost"},
	}
	workload := bench.Council()
	workload.Horizon = 12 * time.Hour
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			result := bench.Run(workload, bench.NoFault, corruptingPolicy{baseline.NewBackfill(), test.corrupt}, 1)
			if !strings.Contains(strings.Join(result.InvalidDecisions, "\n"), test.want) {
				t.Errorf("%d invalid decisions, none with %q", len(result.InvalidDecisions), test.want)
			}
		})
	}
}

func TestRunDeterministic(t *testing.T) {
	for _, fault := range bench.Faults {
		workload := bench.Council()
		workload.Horizon = 12 * time.Hour
		first := bench.Run(workload, fault, baseline.NewBackfill(), 3)
		second := bench.Run(workload, fault, baseline.NewBackfill(), 3)
		if !reflect.DeepEqual(first, second) {
			t.Errorf("%s: two runs with one seed differ", fault)
		}
	}
}
