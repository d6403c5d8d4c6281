package bench

import (
	"math"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/baseline"
	"github.com/lovageroad/lovageroad/internal/job"
)

const (
	// Open is the ending of a job that had not ended when its run did.
	Open Ending = iota

	// Done is the ending of a job that ran whole.
	Done

	// Refused is the ending of a job that was not admitted.
	Refused

	// Cancelled is the ending of a job that its caller gave up.
	Cancelled

	// Failed is the ending of a job that failed too often.
	Failed
)

type (
	// Ending is how a job ended.
	Ending int

	// Durations are measurements of one kind.
	Durations []time.Duration

	// Group is the work of one class of an account.
	Group struct {
		Account account.Name
		Class   account.Class
	}

	// Figures are measured over the jobs of a group.
	Figures struct {
		Completion Durations
		Slowdown   []float64
		Wait       Durations
	}

	// Result is what was measured in a run. Fragmentation is the share of free
	// accelerators that cannot serve the largest waiting shape, Stranded the
	// same as a share of all accelerators, and WholeWorkers and WholeRacks how
	// many are wholly free, as a share of the best possible packing; all are
	// averages over the horizon. Lost is in accelerator time. Never counts jobs
	// that did not end, Stopped non-idempotent jobs that were reclaimed, Burnt
	// jobs that bad workers failed as often as a job may fail, and Spoilt
	// non-idempotent jobs, which one failure ends.
	Result struct {
		Groups        map[Group]*Figures
		All           Figures
		Large         Figures
		Urgent        Figures
		Claims        Durations
		Violated      []string
		Starved       []string
		Broken        []string
		Never         int
		Stopped       int
		Burnt         int
		Spoilt        int
		Declined      int
		Reclaims      int
		Lost          time.Duration
		LostShare     float64
		Utilisation   float64
		Fragmentation float64
		Stranded      float64
		WholeWorkers  float64
		WholeRacks    float64
		Overdraw      float64
		Tasks         float64
		Bound         time.Duration
		LargeBound    time.Duration
	}
)

// Mean returns the mean, or zero of nothing.
func (d Durations) Mean() time.Duration {
	if len(d) == 0 {
		return 0
	}
	var sum time.Duration
	for _, x := range d {
		sum += x
	}
	return sum / time.Duration(len(d))
}

// Percentile returns the least duration that the given share is not above.
func (d Durations) Percentile(share float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return sorted[int(math.Ceil(share*float64(len(sorted))))-1]
}

// finish works the result out when the run is over.
func (r *runner) finish() {
	res := r.result
	res.Groups = make(map[Group]*Figures)
	allowed := r.patience()
	var all, large []baseline.Work
	for _, e := range r.entries {
		r.settle(e, allowed[e.ID])
		if e.Uncounted || e.outcome != Done {
			continue
		}
		work := baseline.Work{Submitted: e.At, Run: e.Run, Accelerators: size(e.Shape)}
		all = append(all, work)
		if e.Large {
			large = append(large, work)
		}
	}
	res.Bound = baseline.MeanBound(all, r.load.Accelerators())
	var alone Durations
	for _, w := range large {
		alone = append(alone, w.Run)
	}
	res.LargeBound = alone.Percentile(0.99)
	r.gauge.settle(r)
}

// settle adds a job to the figures.
func (r *runner) settle(e *entry, allowed time.Duration) {
	res := r.result
	if e.outcome == Open {
		res.Never++
		if e.claim.open && !e.claim.void && r.now-e.claim.since > ReclaimBound {
			res.Violated = append(res.Violated, finding(e, "claimed", r.now-e.claim.since))
		}
	}
	if e.Uncounted || (e.outcome != Done && e.outcome != Open) {
		return
	}
	took := e.done - e.At
	if e.outcome == Open {
		took = r.now - e.At
	}
	if delay := took - e.Run; delay > allowed {
		res.Starved = append(res.Starved, finding(e, "was delayed", delay))
	}
	if !e.started {
		e.first = r.now
	}
	group := Group{e.Account, e.Class}
	if res.Groups[group] == nil {
		res.Groups[group] = &Figures{}
	}
	for _, f := range []*Figures{res.Groups[group], &res.All} {
		f.add(e, took)
	}
	if e.Large {
		res.Large.add(e, took)
	}
	if e.Urgent {
		res.Urgent.add(e, took)
	}
}

func (f *Figures) add(e *entry, took time.Duration) {
	f.Completion = append(f.Completion, took)
	f.Slowdown = append(f.Slowdown, float64(took)/float64(e.Run))
	f.Wait = append(f.Wait, e.first-e.At)
}

// patience returns how long each job may be delayed before it counts as starved:
// twice the time that the floor needs at least for the work then at hand, the
// longest run time once, and the time in which part of the floor was impaired.
func (r *runner) patience() map[job.ID]time.Duration {
	speeds := [...]float64{float64(r.load.Accelerators()), 0, 0, 0}
	for _, w := range r.load.Workers {
		speeds[1] += float64(w.Cores)
		speeds[2] += float64(w.Memory)
		speeds[3] += float64(w.Slots)
	}
	allowed := make(map[job.ID]time.Duration)
	var backlog [4]float64
	var last, longest time.Duration
	for _, e := range r.entries {
		members := e.Run.Seconds() * float64(e.Shape.Workers)
		needs := [...]float64{
			members * float64(e.Shape.Accelerators), members * float64(e.Shape.Cores),
			members * float64(e.Shape.Memory), members,
		}
		worst := 0.0
		for i := range backlog {
			backlog[i] = max(0, backlog[i]-speeds[i]*(e.At-last).Seconds())
			if !e.Never {
				backlog[i] += needs[i]
			}
			worst = max(worst, backlog[i]/speeds[i])
		}
		last = e.At
		longest = max(longest, e.Run)
		allowed[e.ID] = time.Duration(2 * worst * float64(time.Second))
	}
	for id := range allowed {
		allowed[id] += longest + r.impairedFor
	}
	return allowed
}
