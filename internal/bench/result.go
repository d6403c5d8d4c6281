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
	// NotEnded is the outcome of a job that had not ended at the end of the
	// simulation.
	NotEnded Outcome = iota

	// Done is the outcome of a job that completed.
	Done

	// Refused is the outcome of a job that was not admitted.
	Refused

	// Cancelled is the outcome of a job that its caller cancelled.
	Cancelled

	// Failed is the outcome of a job that would fail on every worker.
	Failed
)

type (
	// Outcome is how a job ended.
	Outcome int

	// Durations are measurements of one kind.
	Durations []time.Duration

	// Group identifies the jobs of one class of an account.
	Group struct {
		Account account.Name
		Class   account.Class
	}

	// Figures are measurements of a set of jobs, one value for each job.
	// Completion is the time from arrival to end, Slowdown that time divided by
	// the run time, and Wait the time from arrival to the first start.
	Figures struct {
		Completion Durations
		Slowdown   []float64
		Wait       Durations
	}

	// Result is what was measured in a run. Groups, All, Large and Urgent hold
	// the figures of the jobs that completed or did not end, without the
	// unmeasured ones.
	//
	// Averages over the horizon: Utilisation is the share of accelerators in
	// use; Fragmentation is the share of free accelerators that jobs of the
	// largest waiting shape cannot use, and Stranded the same as a share of all
	// accelerators; WholeWorkers and WholeRacks are the wholly free workers and
	// racks, as a share of those that the best possible packing would leave
	// free; Overdraw is the draw above the cooling budget, as a share of the
	// budget; Tasks is the number of running tasks.
	//
	// Counts of jobs: JobsNotEnded did not end; ReclaimedNonIdempotent are
	// non-idempotent and were reclaimed; FailedIdempotent are idempotent and were
	// given up after failures on failing workers; FailedNonIdempotent are
	// non-idempotent and ended with one failure on a failing worker.
	//
	// LateClaims are jobs that claimed guaranteed capacity for longer than
	// MaxClaimTime, Starved jobs that were delayed too long, InvalidDecisions
	// invalid decisions of the policy. ClaimTimes are the times from claim to
	// start. DeclinedChanges counts changes of guarantees that the policy
	// declined, Reclaims the jobs that the policy reclaimed. LostWork is the
	// accelerator time of work that has to be repeated, LostShare its share of
	// the accelerator time in use. MeanBound is a lower bound of the mean
	// completion time, LargeBound that of the 99th percentile for large jobs.
	Result struct {
		Groups                 map[Group]*Figures
		All                    Figures
		Large                  Figures
		Urgent                 Figures
		ClaimTimes             Durations
		LateClaims             []string
		Starved                []string
		InvalidDecisions       []string
		JobsNotEnded           int
		ReclaimedNonIdempotent int
		FailedIdempotent       int
		FailedNonIdempotent    int
		DeclinedChanges        int
		Reclaims               int
		LostWork               time.Duration
		LostShare              float64
		Utilisation            float64
		Fragmentation          float64
		Stranded               float64
		WholeWorkers           float64
		WholeRacks             float64
		Overdraw               float64
		Tasks                  float64
		MeanBound              time.Duration
		LargeBound             time.Duration
	}
)

// Mean returns the mean, or zero if there are no durations.
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

// Percentile returns the smallest duration that the given share of the durations
// does not exceed, or zero if there are none.
func (d Durations) Percentile(share float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return sorted[int(math.Ceil(share*float64(len(sorted))))-1]
}

// computeResult completes the result after the end of the simulation.
func (sm *simulation) computeResult() {
	res := sm.result
	res.Groups = make(map[Group]*Figures)
	allowed := sm.allowedDelays()
	var demands, large []baseline.Demand
	for _, j := range sm.jobs {
		sm.recordJob(j, allowed[j.ID])
		if j.Unmeasured || j.outcome != Done {
			continue
		}
		demand := baseline.Demand{Submitted: j.Arrival, Run: j.Run, Accelerators: acceleratorCount(j.Shape)}
		demands = append(demands, demand)
		if j.Large {
			large = append(large, demand)
		}
	}
	res.MeanBound = baseline.MeanCompletionBound(demands, sm.workload.Accelerators())
	var runTimes Durations
	for _, w := range large {
		runTimes = append(runTimes, w.Run)
	}
	res.LargeBound = runTimes.Percentile(0.99)
	sm.averages.writeTo(sm)
}

// recordJob adds a job to the result. A delay above allowedDelay counts as
// starvation.
func (sm *simulation) recordJob(j *jobState, allowedDelay time.Duration) {
	res := sm.result
	if j.outcome == NotEnded {
		res.JobsNotEnded++
		if j.claim.active && !j.claim.excluded && sm.now-j.claim.since > MaxClaimTime {
			res.LateClaims = append(res.LateClaims, describeDelay(j, "claimed", sm.now-j.claim.since))
		}
	}
	if j.Unmeasured || (j.outcome != Done && j.outcome != NotEnded) {
		return
	}
	took := j.endedAt - j.Arrival
	if j.outcome == NotEnded {
		took = sm.now - j.Arrival
	}
	if delay := took - j.Run; delay > allowedDelay {
		res.Starved = append(res.Starved, describeDelay(j, "was delayed", delay))
	}
	if !j.started {
		j.firstStart = sm.now
	}
	group := Group{j.Account, j.Class}
	if res.Groups[group] == nil {
		res.Groups[group] = &Figures{}
	}
	for _, f := range []*Figures{res.Groups[group], &res.All} {
		f.add(j, took)
	}
	if j.Large {
		res.Large.add(j, took)
	}
	if j.Urgent {
		res.Urgent.add(j, took)
	}
}

// add adds the values of a job that took the given time from arrival to end.
func (f *Figures) add(j *jobState, took time.Duration) {
	f.Completion = append(f.Completion, took)
	f.Slowdown = append(f.Slowdown, float64(took)/float64(j.Run))
	f.Wait = append(f.Wait, j.firstStart-j.Arrival)
}

// allowedDelays returns how long each job may be delayed before it counts as
// starved. The delay is the sum of twice the time that the floor needs at least
// for the backlog at the job's arrival, the longest run time of any job, and the
// time in which part of the floor was lost or failing.
func (sm *simulation) allowedDelays() map[job.ID]time.Duration {
	// The indexes stand for accelerators, cores, memory and slots.
	capacities := [...]float64{float64(sm.workload.Accelerators()), 0, 0, 0}
	for _, w := range sm.workload.Workers {
		capacities[1] += float64(w.Cores)
		capacities[2] += float64(w.Memory)
		capacities[3] += float64(w.Slots)
	}
	allowed := make(map[job.ID]time.Duration)
	var backlog [4]float64
	var lastArrival, longestRun time.Duration
	for _, j := range sm.jobs {
		memberSeconds := j.Run.Seconds() * float64(j.Shape.Workers)
		needs := [...]float64{
			memberSeconds * float64(j.Shape.Accelerators), memberSeconds * float64(j.Shape.Cores),
			memberSeconds * float64(j.Shape.Memory), memberSeconds,
		}
		drainSeconds := 0.0
		for i := range backlog {
			backlog[i] = max(0, backlog[i]-capacities[i]*(j.Arrival-lastArrival).Seconds())
			if !j.Infeasible {
				backlog[i] += needs[i]
			}
			drainSeconds = max(drainSeconds, backlog[i]/capacities[i])
		}
		lastArrival = j.Arrival
		longestRun = max(longestRun, j.Run)
		allowed[j.ID] = time.Duration(2 * drainSeconds * float64(time.Second))
	}
	for id := range allowed {
		allowed[id] += longestRun + sm.impairedTime
	}
	return allowed
}
