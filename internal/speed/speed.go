// Package speed learns how fast each worker runs tasks, from how long its runs took and
// how far running ones have come. It reads no clock and does no input or output.
//
// The belief about a worker is a distribution over the logarithm of its slowdown: the run
// time there against the usual one. Three things keep what isn't the worker's doing out of
// it. The tasks of a step are compared with each other, so that the size of the step's work
// cancels out. Of a gang, whose members advance at the pace of the slowest, a fast run says
// that all are fast, and a slow one only that some member is slow. And each step may turn
// out to be an outlier, so that an impairment or a cold start that passes moves no belief
// by much.
package speed

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// levels is the number of values of the logarithm of the slowdown that a belief
	// tells apart, levelWidth their distance. They reach from 0.3 to 3.3.
	levels     = 25
	levelWidth = 0.1

	// priorDeviation is the deviation of the logarithms of the slowdowns of workers of
	// which nothing is known.
	priorDeviation = 0.4

	// outlierShare is the share of steps that are taken to say nothing about the workers.
	outlierShare = 0.03

	// certainty bounds the logarithm of the odds that a belief gives to any two levels,
	// so that a few runs can refute it after the worker has changed.
	certainty = 8

	// halfLife is after how long old evidence weighs half.
	halfLife = 10 * time.Minute

	// sweeps is how often the evidence of the steps is weighed against each other.
	sweeps = 3

	// maxWorkers bounds the workers of which beliefs are kept.
	maxWorkers = 4096
)

type (
	// Learner holds the beliefs about workers and the estimates of queues. Names of
	// workers are of the type W, those of queues of the type Q.
	Learner[W, Q ~string] struct {
		workers map[W]*belief
		queues  map[Q]*queueError

		// closed are the steps that have ended since the last Learn.
		closed []Step[W, Q]

		// faded is when old evidence was last made to weigh less.
		faded time.Time

		// center is the logarithm of the slowdown that is taken for the usual one. uneven says that workers were found to differ.
		center float64
		uneven bool

		// dropped counts the samples that were implausible.
		dropped uint64

		// changes counts the calls of Learn with evidence.
		changes uint64
	}

	// Step is what is known of the run times of the tasks of one step.
	Step[W, Q ~string] struct {
		Queue Q

		// Declared is the run time that the caller estimates, 0 if there is no estimate.
		Declared time.Duration

		// Gang says that all tasks advance together.
		Gang    bool
		Samples []Sample[W]
	}

	// Sample is the run time of a task on a worker. Deviation is the uncertainty of its
	// logarithm by the way it was measured.
	Sample[W ~string] struct {
		Worker    W
		Took      time.Duration
		Deviation float64
	}

	// Estimate is what is believed of a worker's slowdown.
	Estimate struct {
		// Mean and Deviation are of the logarithm of the slowdown.
		Mean, Deviation float64

		// Count is the number of steps with runs on the worker.
		Count float64
	}

	// distribution are the logarithms of the weights of levels.
	distribution [levels]float64

	// belief is what is known of a worker. kept is from the steps that have ended,
	// current from all steps.
	belief struct {
		kept, current distribution
		estimate      Estimate
		count         float64
	}
)

// New returns a Learner without evidence.
func New[W, Q ~string]() *Learner[W, Q] {
	return &Learner[W, Q]{workers: make(map[W]*belief), queues: make(map[Q]*queueError)}
}

// Close adds a step that has ended.
func (l *Learner[W, Q]) Close(s Step[W, Q]) {
	if s, ok := l.checked(s); ok {
		l.closed = append(l.closed, s)
	}
}

// Dropped returns how many implausible samples were left out.
func (l *Learner[W, Q]) Dropped() uint64 { return l.dropped }

// Changes returns how often the beliefs have changed.
func (l *Learner[W, Q]) Changes() uint64 { return l.changes }

// Learn weighs the steps that have ended since the last call and the given ones that
// still run, and updates all beliefs.
func (l *Learner[W, Q]) Learn(now time.Time, running []Step[W, Q]) {
	l.fade(now)
	steps := l.closed
	for _, s := range running {
		if s, ok := l.checked(s); ok {
			steps = append(steps, s)
		}
	}
	all := make([]*evidence[W, Q], len(steps))
	for i := range steps {
		all[i] = l.newEvidence(&steps[i])
	}
	for range sweeps {
		for _, e := range all {
			e.update()
		}
	}
	for i, e := range all {
		if i < len(l.closed) {
			e.keep()
			l.learnQueue(e)
		}
	}
	if len(steps) > 0 {
		l.changes++
	}
	l.closed = l.closed[:0]
	for _, b := range l.workers {
		b.estimate = b.current.estimate(b.count)
	}
	for _, e := range all {
		e.countRunning()
	}
	for _, b := range l.workers {
		b.current = b.kept
	}
	l.judge()
	l.bound()
}

// Estimate returns the belief about a worker.
func (l *Learner[W, Q]) Estimate(w W) Estimate {
	b := l.workers[w]
	if b == nil {
		return Estimate{Deviation: priorDeviation}
	}
	e := b.estimate
	e.Mean -= l.center
	return e
}

// All returns the workers of which there is evidence, in order.
func (l *Learner[W, Q]) All() []W { return slices.Sorted(maps.Keys(l.workers)) }

// belief returns the belief about a worker.
func (l *Learner[W, Q]) belief(w W) *belief {
	b := l.workers[w]
	if b == nil {
		b = &belief{}
		b.kept.setNormal(0, priorDeviation)
		b.current = b.kept
		b.estimate = Estimate{Deviation: priorDeviation}
		l.workers[w] = b
	}
	return b
}

// fade makes old evidence weigh less.
func (l *Learner[W, Q]) fade(now time.Time) {
	age := now.Sub(l.faded)
	if l.faded.IsZero() || age < 0 {
		l.faded = now
		return
	}
	if age < halfLife/100 {
		return
	}
	l.faded = now
	weight := math.Exp2(-age.Seconds() / halfLife.Seconds())
	var prior distribution
	prior.setNormal(0, priorDeviation)
	for _, b := range l.workers {
		for k := range b.kept {
			b.kept[k] = prior[k] + weight*(b.kept[k]-prior[k])
		}
		b.count *= weight
		b.current = b.kept
	}
}

// bound drops the beliefs with the least evidence if there are too many.
func (l *Learner[W, Q]) bound() {
	if len(l.workers) <= maxWorkers {
		return
	}
	names := l.All()
	slices.SortStableFunc(names, func(a, b W) int {
		return compare(l.workers[a].count, l.workers[b].count)
	})
	for _, w := range names[:len(names)-maxWorkers] {
		delete(l.workers, w)
	}
}
