package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// pressEvery is the time between two looks at whom waiting jobs could
	// replace.
	pressEvery = 15 * time.Second

	// pressPart is how many times the loss the wait must have cost, in
	// accelerator time.
	pressPart = 2

	// agedAfter is the wait after which a job of any size is reserved a place, and
	// replaces smaller ones.
	agedAfter = 2 * time.Hour

	// pressed is the number of jobs that are looked at.
	pressed = 8
)

// press reclaims places for the jobs whose wait has cost the most, once what is
// lost is small against that.
func (p *policy) press() {
	if p.now.Before(p.pressDue) || p.recovering() {
		return
	}
	p.pressDue = p.now.Add(pressEvery)
	p.freed++
	p.pressing = p.pressing[:0]
	for _, c := range p.classes {
		for _, l := range c.lanes {
			if c.shape.Accelerators > 0 && (c.shape.Workers > 1 || p.aged(l.head())) {
				p.pressing = append(p.pressing, l)
			}
		}
	}
	slices.SortStableFunc(p.pressing, func(x, y *lane) int {
		return cmp.Compare(p.worth(y.head()), p.worth(x.head()))
	})
	for _, l := range p.pressing[:min(pressed, len(p.pressing))] {
		if l.len() > 0 {
			p.pressFor(l.head())
		}
	}
}

// aged reports whether a task waited so long that it goes before shorter ones.
func (p *policy) aged(t *task) bool {
	return p.now.Sub(t.Submitted) > agedAfter
}

// worth is what the wait of a task has cost.
func (p *policy) worth(t *task) int {
	return int(p.now.Sub(t.queued)/lossUnit) * t.members()
}

func (p *policy) pressFor(t *task) {
	if p.worth(t) == 0 {
		return
	}
	shares := p.place(t, viewReclaim)
	if shares == nil {
		return
	}
	loss := 0
	for _, s := range shares {
		loss += p.loss(t, s, false)
	}
	if loss*pressPart > p.worth(t) {
		return
	}
	t.shares = shares
	p.settle(t, p.config.Grace)
}
