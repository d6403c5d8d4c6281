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

// writeSummary writes one row for each result.
func writeSummary(w io.Writer, rows []row) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "workload\tfault\tpolicy\tmean\tbound\tp99\tlarge p50\tlarge p99\tlarge bound\tlarge wait\turgent p99\treclaim p99\treclaim max\tviolated\tstarved\tnever\tstopped\tburnt\tspoilt\tfrag\tstranded\tworkers\tracks\tused\tlost\treclaims\tdeclined\toverdraw\ttasks\tbroken\t")
	for _, run := range rows {
		r := run.Result
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.2f\t%.2f\t%.3f\t%.4f\t%d\t%d\t%.4f\t%.0f\t%d\t\n",
			run.Workload, run.Fault, run.Policy,
			minutes(r.All.Completion.Mean()), minutes(r.Bound), minutes(r.All.Completion.Percentile(0.99)),
			minutes(r.Large.Completion.Percentile(0.5)), minutes(r.Large.Completion.Percentile(0.99)), minutes(r.LargeBound),
			minutes(r.Large.Wait.Percentile(1)), seconds(r.Urgent.Wait.Percentile(0.99)),
			seconds(r.Claims.Percentile(0.99)), seconds(r.Claims.Percentile(1)),
			len(r.Violated), len(r.Starved), r.Never, r.Stopped, r.Burnt, r.Spoilt,
			r.Fragmentation, r.Stranded, r.WholeWorkers, r.WholeRacks, r.Utilisation, r.LostShare, r.Reclaims,
			r.Declined, r.Overdraw, r.Tasks, len(r.Broken))
	}
	t.Flush()
}

// writeGroups writes one row for each account and class of a result.
func writeGroups(w io.Writer, r row) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "workload\tfault\tpolicy\taccount\tclass\tjobs\tmean\tp50\tp95\tp99\tslowdown mean\tslowdown p95\t")
	groups := slices.SortedFunc(maps.Keys(r.Result.Groups), func(x, y bench.Group) int {
		return cmp.Or(cmp.Compare(x.Account, y.Account), cmp.Compare(x.Class, y.Class))
	})
	for _, g := range groups {
		f := r.Result.Groups[g]
		mean, high := slowdown(f)
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%.2f\t%.2f\t\n",
			r.Workload, r.Fault, r.Policy, g.Account, g.Class, len(f.Completion),
			minutes(f.Completion.Mean()), minutes(f.Completion.Percentile(0.5)),
			minutes(f.Completion.Percentile(0.95)), minutes(f.Completion.Percentile(0.99)), mean, high)
	}
	t.Flush()
}

func slowdown(f *bench.Figures) (mean, high float64) {
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
