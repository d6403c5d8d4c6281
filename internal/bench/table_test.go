package bench_test

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/lovageroad/lovageroad/internal/bench"
)

// writeSummary writes one row for each measurement. Times are in minutes, those of
// urgent work and reclaims in seconds.
func writeSummary(w io.Writer, rows []measurement) {
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(writer, "workload\tfault\tpolicy\tmean\tbound\tp99\tlarge p50\tlarge p99\tlarge bound\tlarge wait\turgent p99\treclaim p99\treclaim max\tviolated\tstarved\tnever\tstopped\tburnt\tspoilt\tfrag\tstranded\tworkers\tracks\tused\tlost\treclaims\tdeclined\toverdraw\ttasks\tbroken\t")
	for _, row := range rows {
		result := row.Result
		fmt.Fprintf(writer, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.2f\t%.2f\t%.3f\t%.4f\t%d\t%d\t%.4f\t%.0f\t%d\t\n",
			row.Workload, row.Fault, row.Policy,
			minutes(result.All.Completion.Mean()), minutes(result.MeanBound), minutes(result.All.Completion.Percentile(0.99)),
			minutes(result.Large.Completion.Percentile(0.5)), minutes(result.Large.Completion.Percentile(0.99)), minutes(result.LargeBound),
			minutes(result.Large.Wait.Percentile(1)), seconds(result.Urgent.Wait.Percentile(0.99)),
			seconds(result.ClaimTimes.Percentile(0.99)), seconds(result.ClaimTimes.Percentile(1)),
			len(result.LateClaims), len(result.Starved), result.JobsNotEnded, result.ReclaimedNonIdempotent, result.FailedIdempotent, result.FailedNonIdempotent,
			result.Fragmentation, result.Stranded, result.WholeWorkers, result.WholeRacks, result.Utilisation, result.LostShare, result.Reclaims,
			result.DeclinedChanges, result.Overdraw, result.Tasks, len(result.InvalidDecisions))
	}
	writer.Flush()
}

// writeGroups writes one row for each account and class of a measurement. Times
// are in minutes.
func writeGroups(w io.Writer, row measurement) {
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(writer, "workload\tfault\tpolicy\taccount\tclass\tjobs\tmean\tp50\tp95\tp99\tslowdown mean\tslowdown p95\t")
	groups := slices.SortedFunc(maps.Keys(row.Result.Groups), func(x, y bench.Group) int {
		return cmp.Or(cmp.Compare(x.Account, y.Account), cmp.Compare(x.Class, y.Class))
	})
	for _, key := range groups {
		figures := row.Result.Groups[key]
		mean, p95 := slowdown(figures)
		fmt.Fprintf(writer, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%.2f\t%.2f\t\n",
			row.Workload, row.Fault, row.Policy, key.Account, key.Class, len(figures.Completion),
			minutes(figures.Completion.Mean()), minutes(figures.Completion.Percentile(0.5)),
			minutes(figures.Completion.Percentile(0.95)), minutes(figures.Completion.Percentile(0.99)), mean, p95)
	}
	writer.Flush()
}

// slowdown returns the mean and the 95th percentile.
func slowdown(f *bench.Figures) (mean, p95 float64) {
	sorted := slices.Sorted(slices.Values(f.Slowdown))
	for _, s := range sorted {
		mean += s / float64(len(sorted))
	}
	return mean, sorted[len(sorted)*95/100]
}

func minutes(d time.Duration) string {
	return fmt.Sprintf("%.1f", d.Minutes())
}

func seconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", d.Seconds())
}
