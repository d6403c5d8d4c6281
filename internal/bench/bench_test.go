package bench_test

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/bench"
)

var (
	seed  = flag.Uint64("measure.seed", 1, "seed of the workloads")
	hours = flag.Int("measure.hours", 12, "hours of arrivals at the target size")
	only  = flag.String("measure.only", "", "workload or workload/fault to measure")
)

// TestMeasure prints what docs/MEASUREMENTS.md holds.
func TestMeasure(t *testing.T) {
	loads := []bench.Workload{bench.Agronomy(), bench.Council(), bench.Target(time.Duration(*hours) * time.Hour)}
	faults := bench.Faults
	if name, fault, _ := strings.Cut(*only, "/"); name != "" {
		for _, load := range loads {
			if load.Name == name {
				loads = []bench.Workload{load}
			}
		}
		if fault != "" {
			faults = []bench.Fault{bench.Fault(fault)}
		}
	}
	for _, load := range loads {
		t.Logf("%s: %d workers, %d accelerators, %d accounts, offered load %.2f", load.Name, len(load.Workers), load.Accelerators(), len(load.Accounts), load.Load())
	}
	rows := bench.Suite(loads, faults, bench.Baselines, *seed)
	bench.WriteSummary(os.Stdout, rows)
	for _, row := range rows {
		for _, b := range row.Result.Broken {
			t.Errorf("%s %s %s: %s", row.Workload, row.Fault, row.Policy, b)
		}
		if len(row.Result.Broken) > 0 {
			break
		}
	}
}
