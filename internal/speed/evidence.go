package speed

import "math"

// taskDeviation is the least deviation of the logarithms of the run times of a step's tasks.
const taskDeviation = 0.15

type (
	// evidence is what a step says of the workers of its tasks, in view of what is
	// believed of them by all other steps.
	evidence[W, Q ~string] struct {
		step     *Step[W, Q]
		beliefs  []*belief
		messages []distribution

		// logTime and variance are of the run times, by worker.
		logTime, variance []float64

		// anchor and anchorVariance are what the logarithm of the usual run time is
		// expected to be.
		anchor, anchorVariance float64
	}
)

// newEvidence sums up the samples of a step by worker.
func (l *Learner[W, Q]) newEvidence(s *Step[W, Q]) *evidence[W, Q] {
	e := &evidence[W, Q]{step: s}
	e.anchor, e.anchorVariance = l.anchor(s)
	index := make(map[W]int)
	var precision []float64
	for _, sample := range s.Samples {
		i, ok := index[sample.Worker]
		if !ok {
			i = len(e.beliefs)
			index[sample.Worker] = i
			e.beliefs = append(e.beliefs, l.belief(sample.Worker))
			e.logTime, precision = append(e.logTime, 0), append(precision, 0)
		}
		p := 1 / (taskDeviation*taskDeviation + sample.Deviation*sample.Deviation)
		e.logTime[i] += p * math.Log(sample.Took.Seconds())
		precision[i] += p
	}
	e.variance = make([]float64, len(precision))
	for i, p := range precision {
		e.logTime[i] /= p
		e.variance[i] = 1 / p
	}
	e.messages = make([]distribution, len(e.beliefs))
	return e
}

// update computes the messages to the workers anew.
func (e *evidence[W, Q]) update() {
	others := make([][levels]float64, len(e.beliefs))
	for i, b := range e.beliefs {
		b.current.subtract(&e.messages[i])
		others[i] = b.current.probabilities()
	}
	if e.step.Gang {
		e.updateGang(others)
	} else {
		e.updateSiblings(others)
	}
	for i, b := range e.beliefs {
		e.messages[i].robust()
		b.current.add(&e.messages[i])
	}
}

// updateSiblings compares the tasks on each worker with what the others say of the size of
// the work.
func (e *evidence[W, Q]) updateSiblings(others [][levels]float64) {
	precision, sum := 1/e.anchorVariance, e.anchor/e.anchorVariance
	means, weights := make([]float64, len(others)), make([]float64, len(others))
	for i, p := range others {
		mean, variance := moments(p)
		means[i] = e.logTime[i] - mean
		weights[i] = 1 / (e.variance[i] + variance)
		precision += weights[i]
		sum += weights[i] * means[i]
	}
	for i := range others {
		rest := precision - weights[i]
		size := (sum - weights[i]*means[i]) / rest
		variance := e.variance[i] + 1/rest
		for k := range e.messages[i] {
			z := e.logTime[i] - size - level(k)
			e.messages[i][k] = -z * z / (2 * variance)
		}
	}
}

// updateGang says of each member how likely the run time of the gang is at each slowdown of
// the member, in view of what is believed of the others.
func (e *evidence[W, Q]) updateGang(others [][levels]float64) {
	logTime, variance := e.gangTime()
	variance += e.anchorVariance
	var likelihood [levels]float64
	for k := range likelihood {
		z := logTime - e.anchor - level(k)
		likelihood[k] = math.Exp(-z * z / (2 * variance))
	}
	cumulative := make([][levels]float64, len(others))
	for i, p := range others {
		sum := 0.0
		for k, v := range p {
			sum += v
			cumulative[i][k] = sum
		}
	}
	for i := range others {
		// below is the probability that no other member is slower than a level.
		below := [levels]float64{}
		for k := range below {
			below[k] = 1
			for j := range others {
				if j != i {
					below[k] *= cumulative[j][k]
				}
			}
		}
		total := 0.0
		for k := levels - 1; k >= 0; k-- {
			// total is the likelihood if another member is the slowest, and slower than
			// this one.
			e.messages[i][k] = math.Log(max(below[k]*likelihood[k]+total, math.SmallestNonzeroFloat64))
			if k > 0 {
				total += (below[k] - below[k-1]) * likelihood[k]
			}
		}
	}
}

// gangTime returns the logarithm of the run time of a gang and its variance.
func (e *evidence[W, Q]) gangTime() (logTime, variance float64) {
	variance = math.Inf(1)
	for i, v := range e.variance {
		if v < variance {
			logTime, variance = e.logTime[i], v
		}
	}
	return logTime, max(variance, taskDeviation*taskDeviation)
}

// keep makes the messages part of what is kept of the workers.
func (e *evidence[W, Q]) keep() {
	for i, b := range e.beliefs {
		b.kept.add(&e.messages[i])
		b.kept.clamp()
		b.count++
	}
}

// countRunning counts a step that still runs as evidence.
func (e *evidence[W, Q]) countRunning() {
	for _, b := range e.beliefs {
		b.estimate.Count = max(b.estimate.Count, 1)
	}
}

// usual returns the logarithm of the run time that the step's tasks would have on usual
// workers.
func (e *evidence[W, Q]) usual() float64 {
	if e.step.Gang {
		logTime, _ := e.gangTime()
		slowest := math.Inf(-1)
		for _, b := range e.beliefs {
			mean, _ := moments(b.current.probabilities())
			slowest = max(slowest, mean)
		}
		return logTime - slowest
	}
	sum := 0.0
	for i, b := range e.beliefs {
		mean, _ := moments(b.current.probabilities())
		sum += e.logTime[i] - mean
	}
	return sum / float64(len(e.beliefs))
}
