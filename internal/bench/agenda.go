package bench

import (
	"container/heap"
	"time"
)

type (
	event struct {
		at  time.Duration
		seq int
		do  func()
	}

	// agenda is a heap of events by time, then by the order of planning.
	agenda []event
)

func (r *runner) plan(at time.Duration, do func()) {
	r.planned++
	heap.Push(&r.events, event{at: at, seq: r.planned, do: do})
}

// planFor plans what happens to a job unless its timer is set anew by
// then.
func (r *runner) planFor(e *entry, after time.Duration, do func()) {
	timer := e.timer
	r.plan(r.now+after, func() {
		if e.timer == timer {
			do()
		}
	})
}

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].seq < a[j].seq
}

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(event)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	*a = (*a)[:last]
	return e
}
