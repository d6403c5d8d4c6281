package bench_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/bench"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

var (
	seed   = flag.Uint64("measure.seed", 1, "seed of the workloads")
	hours  = flag.Int("measure.hours", 12, "hours of arrivals at the target size")
	detail = flag.Bool("measure.detail", false, "print each account and class, and each finding")
	only   = flag.String("measure.only", "", "workload or workload/fault to measure")
)

var candidates = append(slices.Clone(bench.Baselines), bench.Candidate{
	Name: "lovageroad",
	New:  func() scheduler.Policy { return scheduler.New() },
})

// TestMeasure prints what docs/MEASUREMENTS.md holds.
func TestMeasure(t *testing.T) {
	loads := []bench.Workload{bench.Agronomy(), bench.Council(), bench.Target(time.Duration(*hours) * time.Hour)}
	faults := bench.Faults
	if name, fault, _ := strings.Cut(*only, "/"); name != "" {
		loads = slices.DeleteFunc(loads, func(load bench.Workload) bool { return load.Name != name })
		if fault != "" {
			faults = []bench.Fault{bench.Fault(fault)}
		}
	}
	for _, load := range loads {
		t.Logf("%s: %d workers, %d accelerators, %d accounts, offered load %.2f", load.Name, len(load.Workers), load.Accelerators(), len(load.Accounts), load.Load())
	}
	rows := bench.Suite(loads, faults, candidates, *seed)
	bench.WriteSummary(os.Stdout, rows)
	for _, row := range rows {
		if *detail {
			bench.WriteGroups(os.Stdout, row)
			fmt.Println(strings.Join(slices.Concat(row.Result.Violated, row.Result.Starved), "\n"))
		}
		if len(row.Result.Broken) > 0 {
			t.Errorf("%s %s %s: %s", row.Workload, row.Fault, row.Policy, row.Result.Broken[0])
		}
	}
}
