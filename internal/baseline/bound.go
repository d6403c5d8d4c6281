package baseline

import (
	"container/heap"
	"slices"
	"time"
)

type (
	// Work is what a job needs at least: its run time, and the accelerators that
	// it holds meanwhile.
	Work struct {
		Submitted    time.Duration
		Run          time.Duration
		Accelerators int
	}

	remaining []float64
)

// MeanBound returns a mean completion time that no scheduler can pass: that of
// the jobs alone on an empty floor, or, if longer, that of one machine with the
// speed of all accelerators together, which may stop and share at no cost and
// always serves the job with the least work left.
func MeanBound(jobs []Work, accelerators int) time.Duration {
	if len(jobs) == 0 {
		return 0
	}
	var alone time.Duration
	for _, j := range jobs {
		alone += j.Run
	}
	pooled := shortestFirst(jobs, float64(accelerators))
	return max(alone, pooled) / time.Duration(len(jobs))
}

// shortestFirst returns the sum of the completion times on the one machine.
// Work is in accelerator seconds.
func shortestFirst(jobs []Work, speed float64) time.Duration {
	sorted := slices.SortedFunc(slices.Values(jobs), func(x, y Work) int { return int(x.Submitted - y.Submitted) })
	var queue remaining
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

// serve works on the queue from now until the given time, or without end if
// that is negative. It returns the job seconds spent in the queue.
func (r *remaining) serve(now, until, speed float64) float64 {
	spent := 0.0
	for r.Len() > 0 {
		length := float64(r.Len())
		need := (*r)[0] / speed
		if until >= 0 && now+need > until {
			(*r)[0] -= (until - now) * speed
			return spent + length*(until-now)
		}
		spent += length * need
		now += need
		heap.Pop(r)
	}
	return spent
}

func (r remaining) Len() int           { return len(r) }
func (r remaining) Less(i, j int) bool { return r[i] < r[j] }
func (r remaining) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *remaining) Push(x any) { *r = append(*r, x.(float64)) }

// Pop implements heap.Interface.
func (r *remaining) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}
