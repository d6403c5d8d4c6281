package speed

import (
	"math"
	"slices"
)

const (
	// surely is by how many deviations a worker differs at least from what is believed of it,
	// and witnesses how many slow and how many fast workers must be found.
	surely    = 1.5
	witnesses = 3

	// evenGap and unevenGap are the differences between the logarithms of the slowdowns of
	// surely slow and surely fast workers below which workers are found to be even and above
	// which uneven: of 1.35 and of 1.5 times. With less, slow workers meet objectives of 1.5
	// times the work, too, and ranking by speed only scatters tasks.
	evenGap   = 0.3
	unevenGap = 0.405

	// evenSpread and unevenSpread are the deviations of the logarithms of the slowdowns of well-
	// known workers, weighted by how well, below which workers are found to be even and
	// above which uneven, and evenRatio and unevenRatio how large these are at least against
	// what the uncertainty of the beliefs explains, as ratios of squares. Where all differences
	// are noise the ratio is below 1; a few workers differ by chance, so that fewWorkersRatio,
	// divided by their number, is added.
	evenSpread      = 0.2
	unevenSpread    = 0.25
	evenRatio       = 1.2
	unevenRatio     = 2.0
	fewWorkersRatio = 8.0

	// wellKnown is the greatest deviation of the belief about a worker that is well known,
	// minJudged the least number of these by which workers are found to differ.
	wellKnown = 0.25
	minJudged = 6

	// centerTolerance is how far the mean logarithm of the workers' slowdowns may be from 0
	// before it is moved: declared run times tell better what is usual than a mean over
	// workers of which some are little known.
	centerTolerance = 0.15

	// caution is by how many deviations a worker is taken to be slower than believed, so
	// that work that needs a fast worker isn't bet on an unknown one.
	caution = 0.8
)

// judge finds out whether some workers are surely slow against others that are surely fast, or
// all that are well known differ by more than the noise of the evidence explains.
func (l *Learner[W, Q]) judge() {
	if len(l.workers) == 0 {
		return
	}
	sum := 0.0
	estimates := make([]Estimate, 0, len(l.workers))
	for _, b := range l.workers {
		sum += b.estimate.Mean
		estimates = append(estimates, b.estimate)
	}
	l.center = sum / float64(len(l.workers))
	l.center -= min(max(l.center, -centerTolerance), centerTolerance)
	if l.uneven {
		l.uneven = gap(estimates) >= evenGap || spreadAbove(estimates, evenSpread, evenRatio)
	} else {
		l.uneven = gap(estimates) >= unevenGap || spreadAbove(estimates, unevenSpread, unevenRatio)
	}
}

// gap returns by how much the logarithms of the slowdowns of surely slow workers are above those
// of surely fast ones.
func gap(estimates []Estimate) float64 {
	if len(estimates) < 2*witnesses {
		return 0
	}
	least, most := make([]float64, len(estimates)), make([]float64, len(estimates))
	for i, e := range estimates {
		least[i], most[i] = e.Mean-surely*e.Deviation, e.Mean+surely*e.Deviation
	}
	slices.Sort(least)
	slices.Sort(most)
	return least[len(least)-witnesses] - most[witnesses-1]
}

// spreadAbove reports whether well-known workers deviate by at least the given spread and ratio.
func spreadAbove(estimates []Estimate, spread, ratio float64) bool {
	n, weights, sum, square := 0.0, 0.0, 0.0, 0.0
	for _, e := range estimates {
		if e.Count < 1 || e.Deviation > wellKnown {
			continue
		}
		weight := 1 / (e.Deviation * e.Deviation)
		n++
		weights += weight
		sum += weight * e.Mean
		square += weight * e.Mean * e.Mean
	}
	if n < minJudged {
		return false
	}
	deviations := square - sum*sum/weights
	return deviations >= weights*spread*spread && deviations >= n*ratio+fewWorkersRatio
}

// Uneven reports whether workers were found to differ.
func (l *Learner[W, Q]) Uneven() bool { return l.uneven }

// Slowdown returns the expected run time of a task on the worker against the usual one. It
// is 1 unless workers were found to differ.
func (l *Learner[W, Q]) Slowdown(w W) float64 {
	if !l.uneven {
		return 1
	}
	return math.Exp(l.Estimate(w).Mean)
}

// CautiousSlowdown returns a slowdown that the worker's is rarely above.
func (l *Learner[W, Q]) CautiousSlowdown(w W) float64 {
	if !l.uneven {
		return 1
	}
	e := l.Estimate(w)
	return math.Exp(e.Mean + caution*e.Deviation)
}
