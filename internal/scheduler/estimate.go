package scheduler

import (
	"math"
	"time"
)

const (
	// estimateWindow is the approximate number of recent runs that determine an
	// estimate.
	estimateWindow = 16

	// estimatePriorRuns is the number of runs that the declared run time counts
	// as.
	estimatePriorRuns = 3

	// maxEstimateFactor is the largest factor, up or down, by which an estimate
	// departs from the declared run time.
	maxEstimateFactor = 10.0
)

// estimate is the run-time statistics of one class of an account: the mean and
// variance of the logarithm of the ratio of actual to declared run time.
type estimate struct {
	runs     float64
	mean     float64
	variance float64

	// expectedFactor is the expected ratio of actual to declared run time, and
	// longFactor one that most runs stay below.
	expectedFactor, longFactor float64
}

func newEstimate() *estimate {
	e := &estimate{}
	e.updateFactors()
	return e
}

// addRun adds a run that ended by itself.
func (e *estimate) addRun(declared, actual time.Duration) {
	if declared <= 0 || actual <= 0 {
		return
	}
	bound := math.Log(maxEstimateFactor)
	x := math.Log(actual.Seconds() / declared.Seconds())
	x = max(-bound, min(bound, x))
	e.runs++
	weight := 1 / min(e.runs, estimateWindow)
	deviation := x - e.mean
	e.mean += weight * deviation
	e.variance = (1 - weight) * (e.variance + weight*deviation*deviation)
	e.updateFactors()
}

// updateFactors computes the factors. They stay close to the declared run time
// while there are few runs.
func (e *estimate) updateFactors() {
	prior := math.Log(maxEstimateFactor) / 2
	runs := e.runs + estimatePriorRuns
	e.expectedFactor = math.Exp(e.runs / runs * e.mean)
	variance := (e.variance*e.runs + prior*prior*estimatePriorRuns) / runs
	e.longFactor = min(e.expectedFactor*math.Exp(math.Sqrt(variance)), maxEstimateFactor)
}

// declaredRunTime returns the declared run time, or the default if there is none.
func (t *jobEntry) declaredRunTime() time.Duration {
	if t.Expected <= 0 {
		return DefaultExpected
	}
	return t.Expected
}

// expectedRunTime returns the expected run time of the job from its next start.
func (t *jobEntry) expectedRunTime() time.Duration {
	return t.remainingRunTime(t.estimate.expectedFactor)
}

// longRunTime returns the run time, from its next start, that most such jobs
// stay below.
func (t *jobEntry) longRunTime() time.Duration {
	return t.remainingRunTime(t.estimate.longFactor)
}

// remainingRunTime scales the declared run time and subtracts the saved progress.
// At least a twentieth remains.
func (t *jobEntry) remainingRunTime(factor float64) time.Duration {
	whole := time.Duration(float64(t.declaredRunTime()) * factor)
	return max(whole-t.progress, whole/20)
}

// expectedEnd returns when a running or pending job is expected to end. One
// that has overrun is expected to take half as long again as it has taken, and
// a leaving one to end at its deadline.
func (t *jobEntry) expectedEnd(now time.Time) time.Time {
	if t.state == stateLeaving {
		return t.deadline
	}
	if t.state == statePending {
		return now.Add(t.expectedRunTime())
	}
	end := t.startedAt.Add(t.expectedRunTime())
	if end.After(now) {
		return end
	}
	return now.Add(now.Sub(t.startedAt)/2 + time.Second)
}
