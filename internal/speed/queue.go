package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// queueDeviation is the deviation of the logarithms of the usual run times from the
	// declared ones in a queue of which nothing is known, queuePrior the number of steps
	// that it weighs as. leastDeviation is the least deviation.
	queueDeviation = 0.3
	queuePrior     = 3
	leastDeviation = 0.15

	// undeclaredDeviation takes the place of queueDeviation for run times without an
	// estimate.
	undeclaredDeviation = 1.5

	// queueWindow caps the steps that a queue's estimates are judged by.
	queueWindow = 50

	// maxQueues bounds the queues.
	maxQueues = 1024

	// minTook and maxTook bound run times that say something about a worker. Shorter ones
	// say more about the network.
	minTook = 300 * time.Millisecond
	maxTook = 30 * 24 * time.Hour
)

type (
	// queueError says how far the usual run times of a queue's tasks are from the declared
	// ones, and from 1 s for those without an estimate.
	queueError struct{ declared, undeclared errorStats }

	// errorStats are the mean of the errors' logarithms and the mean of their squares
	// around it.
	errorStats struct{ count, mean, variance float64 }
)

// checked leaves out implausible samples. It returns false if none is left.
func (l *Learner[W, Q]) checked(s Step[W, Q]) (Step[W, Q], bool) {
	n := len(s.Samples)
	s.Samples = slices.DeleteFunc(slices.Clone(s.Samples), func(sample Sample[W]) bool {
		return sample.Took < minTook || sample.Took > maxTook || !(sample.Deviation >= 0 && sample.Deviation < math.MaxFloat32)
	})
	l.dropped += uint64(n - len(s.Samples))
	if s.Declared < 0 || s.Declared > maxTook {
		s.Declared = 0
	}
	return s, len(s.Samples) > 0
}

// reference returns the logarithm of the declared run time, or that of 1 s.
func (s *Step[W, Q]) reference() float64 {
	if s.Declared > 0 {
		return math.Log(s.Declared.Seconds())
	}
	return 0
}

// stats returns the errors of the queue that apply to a step.
func (l *Learner[W, Q]) stats(s *Step[W, Q]) *errorStats {
	q := l.queues[s.Queue]
	if q == nil {
		q = &queueError{}
		if len(l.queues) < maxQueues {
			l.queues[s.Queue] = q
		}
	}
	if s.Declared > 0 {
		return &q.declared
	}
	return &q.undeclared
}

// anchor returns the expected logarithm of the usual run time of a step's tasks, and its
// variance.
func (l *Learner[W, Q]) anchor(s *Step[W, Q]) (mean, variance float64) {
	stats := l.stats(s)
	prior := queueDeviation * queueDeviation
	if s.Declared <= 0 {
		prior = undeclaredDeviation * undeclaredDeviation
	}
	weight := stats.count / (stats.count + queuePrior)
	variance = max(weight*stats.variance+(1-weight)*prior, leastDeviation*leastDeviation)
	return s.reference() + weight*stats.mean, variance * (1 + 1/(stats.count+queuePrior))
}

// learnQueue adds a step that has ended to the errors of its queue.
func (l *Learner[W, Q]) learnQueue(e *evidence[W, Q]) {
	stats := l.stats(e.step)
	value := e.usual() + l.center - e.step.reference()
	stats.count = min(stats.count+1, queueWindow)
	weight := 1 / stats.count
	delta := value - stats.mean
	stats.mean += weight * delta
	stats.variance += weight * (delta*(value-stats.mean) - stats.variance)
}

// Usual returns what a task with the declared run time is expected to take on a usual
// worker. It returns false if the queue is too little known.
func (l *Learner[W, Q]) Usual(queue Q, declared time.Duration) (time.Duration, bool) {
	q := l.queues[queue]
	if q == nil {
		return 0, false
	}
	s := Step[W, Q]{Queue: queue, Declared: declared}
	if l.stats(&s).count < queuePrior {
		return 0, false
	}
	mean, _ := l.anchor(&s)
	return time.Duration(math.Exp(mean) * float64(time.Second)), true
}
