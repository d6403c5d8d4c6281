package forecast

import (
	"math"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/work"
)

// Demand is the work of a new job that asks for room. Task is at most what each of its tasks
// needs, and Unit at most what must start together. Until OnTimeUntil, counted from the
// forecast, it goes before work that is late.
type Demand struct {
	Priority    work.Priority
	Account     work.AccountID
	Work        Amount
	Task, Unit  work.Resources
	OnTimeUntil time.Duration
}

// End returns the earliest time after the forecast at which the pool can have done the
// demand's work, and false if it never can while what runs for good goes on.
//
// It spreads all work evenly over the pool, as if any task could use any part of it, so
// that the real end is no earlier.
func (p *Pool) End(d Demand) (time.Duration, bool) {
	accelerators, ok := p.end(d, func(a Amount) float64 { return a.Accelerators })
	if !ok {
		return 0, false
	}
	cores, ok := p.end(d, func(a Amount) float64 { return a.Cores })
	return max(accelerators, cores), ok
}

// end returns the earliest end by one of the resources.
func (p *Pool) end(d Demand, part func(Amount) float64) (time.Duration, bool) {
	left := part(d.Work)
	if left <= 0 {
		return 0, true
	}
	ahead := p.shared(d, left, func(w *Waiting) float64 { return part(w.Work) })
	times := p.changes(d)
	for i, from := range times {
		rate := part(p.Room)
		for _, h := range p.Held {
			if h.Until > from && h.inTheWayOf(d) {
				rate -= part(h.Rate)
			}
		}
		if rate <= 0 {
			continue
		}
		to := Endless
		if i+1 < len(times) {
			to = times[i+1]
		}
		done, before := rate*(to-from).Seconds(), 0.0
		for k := range p.Waiting {
			if p.Waiting[k].goesBefore(d, from) {
				taken := min(ahead[k], done-before)
				ahead[k] -= taken
				before += taken
			}
		}
		if done-before >= left {
			return addSeconds(from, (before+left)/rate), true
		}
		left -= done - before
	}
	return 0, false
}

// HasFree reports whether as much of the pool is free as one of the demand's units needs. It
// may be in pieces too small for it, or kept for other work.
func (p *Pool) HasFree(d Demand) bool {
	free := p.Room
	for _, h := range p.Held {
		free = free.Add(h.Rate.Times(-1))
	}
	return AmountOf(d.Unit).AtMost(free)
}

// StartChance returns the chance that the demand starts before it is late, when it goes
// before older work that is late by then: the sum, over what becomes free until then, of its
// share among all work that goes before it and is on time at that moment. It is 1 or more
// if there is enough for all.
func (p *Pool) StartChance(d Demand) float64 {
	return min(
		p.startChance(d, func(a Amount) float64 { return a.Accelerators }),
		p.startChance(d, func(a Amount) float64 { return a.Cores }),
	)
}

// startChance returns the chance by one of the resources.
func (p *Pool) startChance(d Demand, part func(Amount) float64) float64 {
	unit := part(AmountOf(d.Unit))
	if unit <= 0 {
		return 1
	}
	rates := p.shared(d, unit, func(w *Waiting) float64 {
		if w.OnTimeUntil == 0 || !w.goesBefore(d, 0) {
			return 0
		}
		return part(w.Rate)
	})
	share := func(free float64, at time.Duration) float64 {
		wanted := unit
		for i, rate := range rates {
			if p.Waiting[i].OnTimeUntil > at {
				wanted += rate
			}
		}
		return free / wanted
	}
	free, chance := part(p.Room), 0.0
	for _, h := range p.Held {
		if h.Priority > d.Priority {
			continue
		}
		free -= part(h.Rate)
		if h.Until > d.OnTimeUntil {
			continue
		}
		for k := range startSamples {
			at := time.Duration(float64(h.Until) * (1 + (Doubt*Doubt-1)*float64(k)/(startSamples-1)))
			if at <= d.OnTimeUntil {
				chance += min(share(part(h.Rate), at), 1) / startSamples
			}
		}
	}
	return chance + share(max(free, 0), 0)
}

// shared returns a figure of each entry of Waiting, with the figures of other accounts at the
// demand's priority scaled down to what the demand's own account has, with it: a pool may be
// shared evenly between accounts, so that each gets no more meanwhile.
func (p *Pool) shared(d Demand, own float64, figure func(w *Waiting) float64) []float64 {
	figures := make([]float64, len(p.Waiting))
	sums := make(map[work.AccountID]float64)
	for i := range p.Waiting {
		w := &p.Waiting[i]
		figures[i] = figure(w)
		if w.Priority == d.Priority && w.goesBefore(d, 0) {
			sums[w.Account] += figures[i]
		}
	}
	own += sums[d.Account]
	for i := range p.Waiting {
		w := &p.Waiting[i]
		if sum := sums[w.Account]; w.Priority == d.Priority && w.Account != d.Account && sum > own {
			figures[i] *= own / sum
		}
	}
	return figures
}

// changes returns the times, in order, at which the rate of the work or its order changes.
func (p *Pool) changes(d Demand) []time.Duration {
	times := []time.Duration{0, d.OnTimeUntil}
	for _, h := range p.Held {
		times = append(times, h.Until)
	}
	for _, w := range p.Waiting {
		times = append(times, w.OnTimeUntil, w.UsefulUntil)
	}
	slices.Sort(times)
	times = slices.Compact(times)
	return slices.DeleteFunc(times, func(t time.Duration) bool { return t == Endless })
}

// inTheWayOf reports whether the demand can't take the place of the running tasks: they
// are more urgent, or as urgent and run for good.
func (h *Held) inTheWayOf(d Demand) bool {
	return h.Priority < d.Priority || h.Priority == d.Priority && h.Until == Endless
}

// goesBefore reports whether the waiting work is certain to be served before the demand at
// a time: it is more urgent and no less timely, or as urgent and due earlier. The latter
// counts until it is done: if it can't be done in time, there is no room for more. Work of
// larger tasks or gangs may leave free what is too little for it.
func (w *Waiting) goesBefore(d Demand, at time.Duration) bool {
	if !w.Task.Fits(d.Task) || !w.Unit.Fits(d.Unit) {
		return false
	}
	if w.Priority == d.Priority {
		return w.OnTimeUntil <= d.OnTimeUntil
	}
	return w.Priority < d.Priority && at < w.UsefulUntil && (at >= d.OnTimeUntil || at < w.OnTimeUntil)
}

// Unit returns what must start together of a step: a task, or all tasks of a gang.
func Unit(s *work.Step) work.Resources {
	unit := s.Request()
	if s.Gang {
		unit.Processor *= work.Millicores(s.Count)
		unit.Memory *= work.Mebibytes(s.Count)
		unit.Accelerators *= int64(s.Count)
	}
	return unit
}

// CanHold reports whether the pool's workers can hold one task of the step, and if it is a
// gang all of them at once, when nothing else runs.
func (p *Pool) CanHold(s *work.Step) bool {
	need := int64(1)
	if s.Gang {
		need = int64(s.Count)
	}
	held := int64(0)
	for i := range p.Shapes {
		held += p.Shapes[i].holds(s)
	}
	return held >= need
}

// holds returns how many tasks of a step fit on the workers of a shape together.
func (s *Shape) holds(step *work.Step) int64 {
	request := step.Request()
	if step.Requires != "" && !slices.Contains(s.Labels, step.Requires) || !request.Fits(s.Capacity) {
		return 0
	}
	each := int64(math.MaxInt32)
	for _, pair := range [...][2]int64{
		{int64(s.Capacity.Processor), int64(request.Processor)},
		{int64(s.Capacity.Memory), int64(request.Memory)},
		{s.Capacity.Accelerators, request.Accelerators},
	} {
		if pair[1] > 0 {
			each = min(each, pair[0]/pair[1])
		}
	}
	if step.MaxPerRunner > 0 {
		each = min(each, int64(step.MaxPerRunner))
	}
	return each * int64(s.Count)
}

// addSeconds returns a time that is a number of seconds after another one, at most Endless.
func addSeconds(t time.Duration, s float64) time.Duration {
	if s >= (Endless - t).Seconds() {
		return Endless
	}
	return t + time.Duration(s*float64(time.Second))
}
