package scheduler

import (
	"math"
	"time"
)

const (
	// estimateMemory is the number of runs that an estimate leans on.
	estimateMemory = 16

	// estimatePrior is the number of runs that the declared times weigh.
	estimatePrior = 3

	// estimateBound is the factor beyond which no estimate is trusted.
	estimateBound = 10.0
)

// estimate learns by which factor the declared run times of an account's class
// are off: the mean and variance of the logarithm.
type estimate struct {
	runs     float64
	mean     float64
	variance float64

	// middle is the factor in the middle of what is expected, high one that most
	// runs stay below.
	middle, high float64
}

func newEstimate() *estimate {
	e := &estimate{}
	e.settle()
	return e
}

// learn takes a run that ended.
func (e *estimate) learn(declared, actual time.Duration) {
	if declared <= 0 || actual <= 0 {
		return
	}
	bound := math.Log(estimateBound)
	x := math.Log(actual.Seconds() / declared.Seconds())
	x = max(-bound, min(bound, x))
	e.runs++
	weight := 1 / min(e.runs, estimateMemory)
	off := x - e.mean
	e.mean += weight * off
	e.variance = (1 - weight) * (e.variance + weight*off*off)
	e.settle()
}

// settle works the factors out, which lean on the declared times while there are
// few runs.
func (e *estimate) settle() {
	prior := math.Log(estimateBound) / 2
	runs := e.runs + estimatePrior
	e.middle = math.Exp(e.runs / runs * e.mean)
	variance := (e.variance*e.runs + prior*prior*estimatePrior) / runs
	e.high = min(e.middle*math.Exp(math.Sqrt(variance)), estimateBound)
}

func (t *task) declared() time.Duration {
	if t.Expected <= 0 {
		return DefaultExpected
	}
	return t.Expected
}

// expected is how long the task is expected to run still, when it starts.
func (t *task) expected() time.Duration {
	return t.scaled(t.estimate.middle)
}

// longest is how long the task may run when it starts, for most such tasks.
func (t *task) longest() time.Duration {
	return t.scaled(t.estimate.high)
}

func (t *task) scaled(factor float64) time.Duration {
	whole := time.Duration(float64(t.declared()) * factor)
	return max(whole-t.progress, whole/20)
}

// end is when a running task is expected to end. A task past its time is
// expected to take half as long again.
func (t *task) end(now time.Time) time.Time {
	if t.state == stateLeaving {
		return t.deadline
	}
	if t.state == statePending {
		return now.Add(t.expected())
	}
	end := t.started.Add(t.expected())
	if end.After(now) {
		return end
	}
	return now.Add(now.Sub(t.started)/2 + time.Second)
}
