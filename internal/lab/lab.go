// Package lab runs the state machines of the system's processes in virtual time
// over a seeded network and a seeded store, one event at a time. It is for
// tests: a run repeats exactly under its seed.
package lab

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lovageroad/lovageroad/pkg/machine"
)

type (
	// Trace is one step of one process.
	Trace struct {
		Process *Process
		Event   machine.Event
		Effects []machine.Effect
	}

	// Check looks at a step and returns an error if a promise is broken.
	Check func(t Trace) error

	// Violation says which check failed, and when.
	Violation struct {
		Seed  uint64
		Step  int
		After time.Duration
		Err   error
	}

	// World holds the processes, the network, the store and the virtual time.
	World struct {
		Network  *Network
		Store    *Store
		seed     uint64
		random   *rand.Rand
		start    time.Time
		now      time.Time
		queue    timers
		order    uint64
		steps    int
		messages int
		checks   []Check
		err      error
	}

	timer struct {
		at    time.Time
		order uint64
		run   func()
	}

	timers []timer
)

func (v *Violation) Error() string {
	return fmt.Sprintf("seed %d, step %d, after %v: %v", v.Seed, v.Step, v.After, v.Err)
}

func (v *Violation) Unwrap() error {
	return v.Err
}

// New returns a world without processes, whose network and store are without
// faults.
func New(seed uint64) *World {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &World{
		seed:   seed,
		random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		start:  start,
		now:    start,
	}
	w.Network = newNetwork(w)
	w.Store = newStore(w)
	return w
}

// Now returns the virtual time.
func (w *World) Now() time.Time {
	return w.now
}

// Elapsed returns the virtual time since the start.
func (w *World) Elapsed() time.Duration {
	return w.now.Sub(w.start)
}

// Random returns the source of all random choices.
func (w *World) Random() *rand.Rand {
	return w.random
}

// Steps returns the number of steps that processes have taken.
func (w *World) Steps() int {
	return w.steps
}

// Messages returns the number of messages that processes have sent to others.
func (w *World) Messages() int {
	return w.messages
}

// Watch adds a check that is made after every step.
func (w *World) Watch(check Check) {
	w.checks = append(w.checks, check)
}

// After calls run when the delay has passed.
func (w *World) After(delay time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, timer{at: w.now.Add(max(delay, 0)), order: w.order, run: run})
}

// Run lets the given time pass. It returns a Violation if a check fails.
func (w *World) Run(duration time.Duration) error {
	end := w.now.Add(duration)
	for w.err == nil && len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(timer)
		w.now = next.at
		next.run()
	}
	if w.err == nil {
		w.now = end
	}
	return w.err
}

// Until runs until a condition holds, and returns the time that it took. It
// returns an error if a check fails or the limit passes.
func (w *World) Until(limit time.Duration, holds func() bool) (time.Duration, error) {
	begin := w.now
	for !holds() {
		if w.err != nil {
			return 0, w.err
		}
		if len(w.queue) == 0 || w.queue[0].at.Sub(begin) > limit {
			return 0, w.violation(fmt.Errorf("not within %v", limit))
		}
		next := heap.Pop(&w.queue).(timer)
		w.now = next.at
		next.run()
	}
	return w.now.Sub(begin), w.err
}

// Chance reports true with the given probability.
func (w *World) Chance(probability float64) bool {
	return w.random.Float64() < probability
}

// Between returns a duration between the bounds.
func (w *World) Between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

func (w *World) check(t Trace) {
	w.steps++
	for _, check := range w.checks {
		if err := check(t); err != nil && w.err == nil {
			w.err = w.violation(err)
		}
	}
}

func (w *World) violation(err error) error {
	return &Violation{Seed: w.seed, Step: w.steps, After: w.Elapsed(), Err: err}
}

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].order < t[j].order
	}
	return t[i].at.Before(t[j].at)
}

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push is for container/heap.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop is for container/heap.
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}
