package interference

import (
	"math"
	"time"
)

const (
	// Kept says that nothing has changed.
	Kept Action = iota

	// Reduced says that what fills is slowed down further.
	Reduced

	// Returned says that it gets a part or all of its speed back.
	Returned

	// Exonerated says that slowing it down to nothing did not help, so that it gets back all.
	Exonerated
)

const (
	// FullSpeed is the percent at which a task that isn't slowed down works.
	FullSpeed = 100

	// firstPercent is the percent of the first reduction.
	firstPercent = 25

	// severeLoad is the load from which on the first reduction is to nothing.
	severeLoad = 1.5

	// calmLoad is the load below which speed is given back.
	calmLoad = 0.85

	// overDivisor and reactionDivisor are the parts of the time of harm after which a load
	// over the objective leads to a reduction, and after which that must have helped.
	overDivisor     = 8
	reactionDivisor = 5

	// minReturnWait and maxReturnWait bound the time between two steps in which speed is given
	// back. It doubles with each relapse within relapseTime.
	minReturnWait = 2 * time.Second
	maxReturnWait = 16 * time.Second
	relapseTime   = 30 * time.Second
)

type (
	// Action is what a Pacer decides.
	Action uint8

	// Pacer decides at which percent the tasks that fill on one worker work. It answers the
	// load in which a task that serves there is over its objective.
	Pacer struct {
		harm    time.Duration
		percent int

		// overSince is since when the load is over 1, calmSince since when it is below
		// calmLoad, unseenSince since when there is no figure. changedAt is the time of the
		// last action, returnedAt of the last return.
		overSince, calmSince, unseenSince, changedAt, returnedAt time.Time

		// returnWait is the time between two steps back. exonerated says that what fills isn't
		// the cause of the present load.
		returnWait time.Duration
		exonerated bool
	}
)

// String returns the action's name in the log.
func (a Action) String() string {
	return [...]string{"kept", "reduced", "returned", "not the cause"}[a]
}

// NewPacer returns a pacer that keeps a load from being over its objective for the time harm on
// end. percent is at what the tasks work now.
func NewPacer(harm time.Duration, percent int) *Pacer {
	return &Pacer{harm: harm, percent: min(max(percent, 0), FullSpeed), returnWait: minReturnWait}
}

// Percent returns at which percent tasks that fill work.
func (p *Pacer) Percent() int { return p.percent }

// OverSince returns since when the load is over its objective, or the zero time.
func (p *Pacer) OverSince() time.Time { return p.overSince }

// Step takes the highest load of the tasks that serve on the worker, or 0 if it isn't known. Times
// must not decrease.
func (p *Pacer) Step(now time.Time, load float64) Action {
	if math.IsNaN(load) || load < 0 || math.IsInf(load, 0) {
		load = 0
	}
	p.note(now, load)
	switch {
	case load > 1:
		return p.reduce(now, load)
	case p.percent == FullSpeed:
		return Kept
	case p.calm(now):
		return p.giveBack(now)
	}
	return Kept
}

// note records since when the load is what it is.
func (p *Pacer) note(now time.Time, load float64) {
	mark := func(since *time.Time, is bool) {
		if !is {
			*since = time.Time{}
		} else if since.IsZero() {
			*since = now
		}
	}
	mark(&p.overSince, load > 1)
	mark(&p.calmSince, load > 0 && load < calmLoad)
	mark(&p.unseenSince, load == 0)
	if load > 0 && load <= 1 {
		p.exonerated = false
	}
}

// reduce slows down what fills, unless that was found not to help.
func (p *Pacer) reduce(now time.Time, load float64) Action {
	over := now.Sub(p.overSince)
	switch {
	case p.exonerated || over < p.harm/overDivisor:
		return Kept
	case p.percent == 0 && now.Sub(p.changedAt) >= p.harm && over >= p.harm:
		p.percent, p.exonerated, p.changedAt = FullSpeed, true, now
		return Exonerated
	case p.percent == 0 || p.percent <= firstPercent && now.Sub(p.changedAt) < p.harm/reactionDivisor:
		return Kept
	}
	if !p.returnedAt.IsZero() && now.Sub(p.returnedAt) < relapseTime {
		p.returnWait = min(2*p.returnWait, maxReturnWait)
	} else if p.percent == FullSpeed {
		p.returnWait = minReturnWait
	}
	p.returnedAt = time.Time{}
	if p.percent > firstPercent && load < severeLoad {
		p.percent = firstPercent
	} else {
		p.percent = 0
	}
	p.changedAt = now
	return Reduced
}

// calm reports whether a step of speed can be given back: the load has been low for long enough,
// or it hasn't been known for a while.
func (p *Pacer) calm(now time.Time) bool {
	if now.Sub(p.changedAt) < p.returnWait {
		return false
	}
	return !p.calmSince.IsZero() && now.Sub(p.calmSince) >= p.returnWait ||
		!p.unseenSince.IsZero() && now.Sub(p.unseenSince) >= p.harm
}

// giveBack gives a step of speed back: a quarter first, then double.
func (p *Pacer) giveBack(now time.Time) Action {
	p.percent = min(max(2*p.percent, firstPercent), FullSpeed)
	p.changedAt, p.returnedAt = now, now
	return Returned
}
