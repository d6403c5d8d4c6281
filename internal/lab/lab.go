// Package lab is a deterministic simulation for tests. It runs the state machines of
// gates and agents in virtual time, one event at a time, over a simulated network,
// a simulated store and fake runners, with faults, and checks the system's
// guarantees after every step. A run with the same seed repeats exactly.
package lab

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lovageroad/lovageroad/pkg/machine"
)

type (
	// Step is one step of one process: the event that it handled and the effects
	// that followed.
	Step struct {
		Process *Process
		Event   machine.Event
		Effects []machine.Effect
	}

	// Check inspects a step and returns an error if a guarantee is violated.
	Check func(step Step) error

	// Violation is the error of a failed check, with the seed, the step and the
	// virtual time since the start.
	Violation struct {
		Seed  uint64
		Step  int
		After time.Duration
		Err   error
	}

	// Simulation runs processes in virtual time, with a simulated network and store.
	Simulation struct {
		Network    *Network
		Store      *Store
		seed       uint64
		random     *rand.Rand
		start      time.Time
		now        time.Time
		timers     timerHeap
		timerCount uint64
		steps      int
		messages   int
		checks     []Check
		err        error
	}

	// timer is a function to call at a time. Timers of the same time run in the order
	// in which they were set.
	timer struct {
		at       time.Time
		sequence uint64
		run      func()
	}

	// timerHeap is a heap of timers with the earliest first.
	timerHeap []timer
)

func (v *Violation) Error() string {
	return fmt.Sprintf("seed %d, step %d, after %v: %v", v.Seed, v.Step, v.After, v.Err)
}

func (v *Violation) Unwrap() error {
	return v.Err
}

// New returns a Simulation without processes and without faults.
func New(seed uint64) *Simulation {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &Simulation{
		seed:   seed,
		random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		start:  start,
		now:    start,
	}
	s.Network = newNetwork(s)
	s.Store = newStore(s)
	return s
}

// Now returns the virtual time.
func (s *Simulation) Now() time.Time {
	return s.now
}

// Elapsed returns the virtual time since the start.
func (s *Simulation) Elapsed() time.Duration {
	return s.now.Sub(s.start)
}

// Random returns the source of all random choices, which the seed determines.
func (s *Simulation) Random() *rand.Rand {
	return s.random
}

// Steps returns the number of steps that the processes have made.
func (s *Simulation) Steps() int {
	return s.steps
}

// Messages returns the number of messages that processes have sent to others.
func (s *Simulation) Messages() int {
	return s.messages
}

// AddCheck adds a check to be made after every step.
func (s *Simulation) AddCheck(check Check) {
	s.checks = append(s.checks, check)
}

// After schedules a call of run after a delay.
func (s *Simulation) After(delay time.Duration, run func()) {
	s.timerCount++
	heap.Push(&s.timers, timer{at: s.now.Add(max(delay, 0)), sequence: s.timerCount, run: run})
}

// Run advances the virtual time by a duration and runs all that is due. It stops and
// returns a Violation if a check fails.
func (s *Simulation) Run(duration time.Duration) error {
	end := s.now.Add(duration)
	for s.err == nil && len(s.timers) > 0 && !s.timers[0].at.After(end) {
		next := heap.Pop(&s.timers).(timer)
		s.now = next.at
		next.run()
	}
	if s.err == nil {
		s.now = end
	}
	return s.err
}

// RunUntil runs until a condition holds, and returns the virtual time that it took. It
// returns a Violation if a check fails or the limit passes.
func (s *Simulation) RunUntil(limit time.Duration, holds func() bool) (time.Duration, error) {
	begin := s.now
	for !holds() {
		if s.err != nil {
			return 0, s.err
		}
		if len(s.timers) == 0 || s.timers[0].at.Sub(begin) > limit {
			return 0, s.violation(fmt.Errorf("condition not met within %v", limit))
		}
		next := heap.Pop(&s.timers).(timer)
		s.now = next.at
		next.run()
	}
	return s.now.Sub(begin), s.err
}

// Chance reports true with the given probability.
func (s *Simulation) Chance(probability float64) bool {
	return s.random.Float64() < probability
}

// RandomDuration returns a random duration, at least low and below high.
func (s *Simulation) RandomDuration(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// check makes all checks for a step and keeps the first error.
func (s *Simulation) check(step Step) {
	s.steps++
	for _, check := range s.checks {
		if err := check(step); err != nil && s.err == nil {
			s.err = s.violation(err)
		}
	}
}

func (s *Simulation) violation(err error) error {
	return &Violation{Seed: s.seed, Step: s.steps, After: s.Elapsed(), Err: err}
}

func (t timerHeap) Len() int { return len(t) }

func (t timerHeap) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].sequence < t[j].sequence
	}
	return t[i].at.Before(t[j].at)
}

func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timerHeap) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}
