package bench

import (
	"container/heap"
	"time"
)

type (
	// event is an action at a point of virtual time. seq orders the events of
	// one time.
	event struct {
		at     time.Duration
		seq    int
		action func()
	}

	// eventQueue is a heap of events, by time and then by the order in which
	// they were scheduled.
	eventQueue []event
)

// schedule adds an event at a virtual time.
func (sm *simulation) schedule(at time.Duration, action func()) {
	sm.eventCount++
	heap.Push(&sm.events, event{at: at, seq: sm.eventCount, action: action})
}

// scheduleForJob adds an event of a job. It is dropped if the job's timerID has
// changed by then.
func (sm *simulation) scheduleForJob(j *jobState, after time.Duration, action func()) {
	id := j.timerID
	sm.schedule(sm.now+after, func() {
		if j.timerID == id {
			action()
		}
	})
}

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
