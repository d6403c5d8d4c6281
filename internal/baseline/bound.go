package baseline

import (
	"container/heap"
	"slices"
	"time"
)

type (
	// Demand is the least that a job needs: its run time, and the accelerators that
	// it holds during it.
	Demand struct {
		Submitted    time.Duration
		Run          time.Duration
		Accelerators int
	}

	// workHeap is a heap of the work left of each job, in accelerator seconds.
	workHeap []float64
)

// MeanCompletionBound returns a lower bound for the mean completion time that any
// scheduler can reach. It is the mean run time, as if each job were alone, or, if that
// is longer, the mean completion time on one machine with the speed of all accelerators
// together, which preempts at no cost and always serves the job with the least work
// left.
func MeanCompletionBound(jobs []Demand, accelerators int) time.Duration {
	if len(jobs) == 0 {
		return 0
	}
	var alone time.Duration
	for _, j := range jobs {
		alone += j.Run
	}
	pooled := shortestRemainingFirst(jobs, float64(accelerators))
	return max(alone, pooled) / time.Duration(len(jobs))
}

// shortestRemainingFirst returns the sum of the completion times on that one
// machine, which serves by shortest remaining processing time (SRPT). speed is
// its number of accelerators.
func shortestRemainingFirst(jobs []Demand, speed float64) time.Duration {
	sorted := slices.SortedFunc(slices.Values(jobs), func(x, y Demand) int { return int(x.Submitted - y.Submitted) })
	var queue workHeap
	now, sum := 0.0, 0.0
	for i, j := range sorted {
		now = j.Submitted.Seconds()
		if j.Accelerators == 0 {
			sum += j.Run.Seconds()
			continue
		}
		heap.Push(&queue, j.Run.Seconds()*float64(j.Accelerators))
		until := -1.0
		if i+1 < len(sorted) {
			until = sorted[i+1].Submitted.Seconds()
		}
		sum += queue.serve(now, until, speed)
	}
	return time.Duration(sum * float64(time.Second))
}

// serve runs the queued jobs from now until the given time, in seconds, or until
// the queue is empty if that is negative. It returns the time that jobs spent in
// the queue, summed over the jobs.
func (r *workHeap) serve(now, until, speed float64) float64 {
	spent := 0.0
	for r.Len() > 0 {
		jobs := float64(r.Len())
		need := (*r)[0] / speed
		if until >= 0 && now+need > until {
			(*r)[0] -= (until - now) * speed
			return spent + jobs*(until-now)
		}
		spent += jobs * need
		now += need
		heap.Pop(r)
	}
	return spent
}

func (r workHeap) Len() int           { return len(r) }
func (r workHeap) Less(i, j int) bool { return r[i] < r[j] }
func (r workHeap) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *workHeap) Push(x any) { *r = append(*r, x.(float64)) }

// Pop implements heap.Interface.
func (r *workHeap) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}
