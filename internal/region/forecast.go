package region

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/forecast"
	"github.com/lovageroad/lovageroad/internal/work"
)

const (
	// forecastInterval is the least time between two forecasts. Gates may use one up to
	// admission.MaxAge, and many ask.
	forecastInterval = 400 * time.Millisecond

	// minForecastAge is how long a leader must have led before its forecast counts any
	// pool's room: longer than agents take to find it, and than it waits for lost ones.
	minForecastAge = 10 * time.Second

	// shapesWindow is how long a worker is remembered that no longer reports: longer than a
	// VM takes to start again.
	shapesWindow = time.Minute

	// steadyTime is how long a worker must have been able to start tasks after it was not,
	// before it counts as room. Workers that go down and up by turns don't.
	steadyTime = 3 * time.Second

	// slotsPerOctave is how many slots of time there are up to twice a time.
	slotsPerOctave = 4

	// roomKnownDivisor says that a pool's room is known only if it is at least one part in
	// this many of the capacity seen within shapesWindow. Otherwise much of it was lost at
	// once, by a cut rather than for good.
	roomKnownDivisor = 2
)

type (
	// forecaster holds what a leader remembers between two forecasts.
	forecaster struct {
		last   *forecast.Forecast
		madeAt time.Time

		// unableAt is when each worker was last seen unable to start tasks.
		unableAt map[control.AgentID]time.Time
	}

	// heldKey and waitingKey say which tasks a forecast adds up: those that end, or cease
	// to be on time, within the same slot, and for waiting ones those of steps of about the
	// same size.
	heldKey struct {
		priority work.Priority
		until    int
	}

	waitingKey struct {
		priority                   work.Priority
		account                    work.AccountID
		accelerators, unit, onTime int
	}

	// poolForecast gathers the forecast of one pool.
	poolForecast struct {
		forecast.Pool
		seen    forecast.Amount
		shapes  map[string]*forecast.Shape
		held    map[heldKey]*forecast.Held
		waiting map[waitingKey]*forecast.Waiting
	}
)

// Gates and the order of demands agree on when a job is of no more value.
var _ = [1]struct{}{}[lateFactor-forecast.LateFactor]

// Forecast returns what gates need to decide which jobs to accept. Calls within
// forecastInterval return the same forecast, with its age.
func (c *Core) Forecast(now time.Time) forecast.Forecast {
	f := &c.forecaster
	if f.last == nil || now.Sub(f.madeAt) >= forecastInterval {
		f.last, f.madeAt = c.makeForecast(now), now
	}
	made := *f.last
	made.Age = now.Sub(f.madeAt)
	return made
}

// makeForecast adds up the workers, and for pools for which work waits what runs and waits.
func (c *Core) makeForecast(now time.Time) *forecast.Forecast {
	pools := make(map[work.PoolID]*poolForecast)
	c.forecastWorkers(now, pools)
	c.forecastWaiting(now, pools)
	c.forecastHeld(now, pools)
	made := &forecast.Forecast{Epoch: c.epoch}
	for _, id := range slices.Sorted(maps.Keys(pools)) {
		made.Pools = append(made.Pools, pools[id].pool())
	}
	guaranteed := make(map[work.AccountID]int64)
	for j := range c.guaranteedJobs() {
		guaranteed[j.Job.Account] += j.accelerators()
	}
	for _, id := range slices.Sorted(maps.Keys(guaranteed)) {
		made.Accounts = append(made.Accounts, forecast.Account{ID: id, Guaranteed: guaranteed[id]})
	}
	for _, id := range slices.Sorted(maps.Keys(c.runTimes)) {
		if stats := c.runTimes[id]; stats.RunTime.Count >= minSamples {
			usual := time.Duration(math.Exp(stats.RunTime.Mean) * float64(time.Second))
			made.Queues = append(made.Queues, forecast.Queue{ID: id, RunTime: max(usual, 0)})
		}
	}
	return made
}

// forecastWorkers adds the workers seen within shapesWindow, and as room those that start
// tasks and have done so for steadyTime.
func (c *Core) forecastWorkers(now time.Time, pools map[work.PoolID]*poolForecast) {
	if c.forecaster.unableAt == nil {
		c.forecaster.unableAt = make(map[control.AgentID]time.Time)
	}
	for _, w := range c.sortedWorkers() {
		if w.runner == nil || now.Sub(w.heardAt) > shapesWindow {
			delete(c.forecaster.unableAt, w.id)
			continue
		}
		p := pools[w.runner.Pool]
		if p == nil {
			p = newPoolForecast(w.runner.Pool)
			p.RoomKnown = c.takeoverDone && now.Sub(c.began) >= minForecastAge
			p.ShapesKnown = c.takeoverDone && now.Sub(c.began) >= shapesWindow
			pools[w.runner.Pool] = p
		}
		p.addShape(w.runner)
		capacity := forecast.AmountOf(w.runner.Capacity)
		p.seen = p.seen.Add(capacity)
		unableAt, unable := c.forecaster.unableAt[w.id]
		switch {
		case !w.schedulable(now) || c.evacuated(w):
			c.forecaster.unableAt[w.id] = now
		case !unable || now.Sub(unableAt) >= steadyTime:
			p.Room = p.Room.Add(capacity)
		}
	}
	for _, p := range pools {
		known := p.Room.Times(roomKnownDivisor)
		p.RoomKnown = p.RoomKnown && p.seen.AtMost(known)
	}
}

// forecastWaiting adds the tasks that wait and may run on any worker, of jobs that can still
// end while they are of value to their callers.
func (c *Core) forecastWaiting(now time.Time, pools map[work.PoolID]*poolForecast) {
	for _, j := range c.liveJobs {
		queue := c.queue(j)
		p := pools[queue.Pool]
		if p == nil || j.hasEnded() {
			continue
		}
		path := c.criticalPath(j)
		for _, o := range j.occurrences {
			if o.done || c.due(j, o.number).After(now) {
				continue
			}
			start, deadline := o.objectiveStart(j), c.deadline(j, o, path)
			if timelinessOf(now, start, deadline, path) == tooLate {
				continue
			}
			onTimeUntil := deadline.Add(-path).Sub(now)
			usefulUntil := start.Add(lateFactor * deadline.Sub(start)).Add(-path).Sub(now)
			for _, s := range o.steps {
				if s.readyAt.IsZero() || s.done == len(s.tasks) || s.spec.Requires != "" || s.spec.MaxPerRunner > 0 {
					continue
				}
				count := len(c.waiting(now, j, s))
				if count == 0 {
					continue
				}
				rate := forecast.AmountOf(s.spec.Request()).Times(float64(count))
				amount := rate.Times(max(c.expected(j, s), 0).Seconds() / forecast.Doubt)
				p.addWaiting(forecast.Waiting{
					Priority: queue.Priority, Account: j.Job.Account, Work: amount, Rate: rate,
					OnTimeUntil: max(onTimeUntil, 0), UsefulUntil: max(usefulUntil, 0),
					Task: s.spec.Request(), Unit: forecast.Unit(s.spec),
				})
			}
		}
	}
}

// forecastHeld adds what runs in the pools for which work waits.
func (c *Core) forecastHeld(now time.Time, pools map[work.PoolID]*poolForecast) {
	for _, w := range c.workers {
		if w.runner == nil || w.lost || pools[w.runner.Pool] == nil || len(pools[w.runner.Pool].waiting) == 0 {
			continue
		}
		for id, p := range w.placements {
			j, s, t := c.find(id)
			if t == nil || t.worker != w || t.run != p.run || t.stopping || t.done || j.hasEnded() {
				continue
			}
			until := forecast.Endless
			if !s.spec.LongRunning {
				until = max(time.Duration(float64(c.remainingTime(now, j, s, t))/forecast.Doubt), 0)
			}
			pools[w.runner.Pool].addHeld(c.queue(j).Priority, forecast.AmountOf(p.request), until)
		}
	}
}

func newPoolForecast(id work.PoolID) *poolForecast {
	return &poolForecast{
		Pool: forecast.Pool{ID: id}, shapes: make(map[string]*forecast.Shape),
		held: make(map[heldKey]*forecast.Held), waiting: make(map[waitingKey]*forecast.Waiting),
	}
}

// addShape counts a worker among those with the same labels.
func (p *poolForecast) addShape(r *control.Runner) {
	labels := slices.Clone(r.Labels)
	slices.Sort(labels)
	key := ""
	for _, label := range labels {
		key += string(label) + "\n"
	}
	shape := p.shapes[key]
	if shape == nil {
		shape = &forecast.Shape{Labels: labels}
		p.shapes[key] = shape
	}
	shape.Count++
	shape.Capacity = largest(shape.Capacity, r.Capacity)
}

// largest returns the larger of each of two resources.
func largest(a, b work.Resources) work.Resources {
	return work.Resources{
		Processor: max(a.Processor, b.Processor), Memory: max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// addWaiting adds work of a step. Of the steps that are added up, the earliest times and the
// largest sizes count.
func (p *poolForecast) addWaiting(added forecast.Waiting) {
	key := waitingKey{
		added.Priority, added.Account, powerOf(float64(added.Task.Accelerators)),
		powerOf(float64(added.Unit.Processor)), slotOf(added.OnTimeUntil),
	}
	w := p.waiting[key]
	if w == nil {
		p.waiting[key] = &added
		return
	}
	w.Work, w.Rate = w.Work.Add(added.Work), w.Rate.Add(added.Rate)
	w.Task, w.Unit = largest(w.Task, added.Task), largest(w.Unit, added.Unit)
	w.OnTimeUntil, w.UsefulUntil = min(w.OnTimeUntil, added.OnTimeUntil), min(w.UsefulUntil, added.UsefulUntil)
}

// addHeld adds a running task. Its end is rounded down.
func (p *poolForecast) addHeld(priority work.Priority, rate forecast.Amount, until time.Duration) {
	key := heldKey{priority, slotOf(until)}
	h := p.held[key]
	if h == nil {
		h = &forecast.Held{Priority: priority, Until: until}
		p.held[key] = h
	}
	h.Rate, h.Until = h.Rate.Add(rate), min(h.Until, until)
}

// slotOf returns the number of the slot in which a time lies. A slot is a tenth of a second
// at first, and then up to a fifth of the time.
func slotOf(d time.Duration) int {
	return int(slotsPerOctave * math.Log2(1+2*d.Seconds()))
}

// powerOf returns the exponent of the power of two in which a number lies, 0 below 1.
func powerOf(x float64) int {
	_, exponent := math.Frexp(x)
	return max(exponent, 0)
}

// pool returns what was gathered, with at most forecast.MaxEntries of each kind: those with
// the most work, and all shapes in one if there are more.
func (p *poolForecast) pool() forecast.Pool {
	made := p.Pool
	for _, key := range slices.Sorted(maps.Keys(p.shapes)) {
		made.Shapes = append(made.Shapes, *p.shapes[key])
	}
	if len(made.Shapes) > forecast.MaxEntries {
		made.Shapes, made.ShapesKnown = nil, false
	}
	for _, h := range p.held {
		made.Held = append(made.Held, *h)
	}
	slices.SortFunc(made.Held, func(a, b forecast.Held) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.Rate.Cores, a.Rate.Cores), cmp.Compare(a.Until, b.Until))
	})
	for _, w := range p.waiting {
		made.Waiting = append(made.Waiting, *w)
	}
	slices.SortFunc(made.Waiting, func(a, b forecast.Waiting) int {
		return cmp.Or(cmp.Compare(b.Work.Accelerators+b.Work.Cores, a.Work.Accelerators+a.Work.Cores), cmp.Compare(a.OnTimeUntil, b.OnTimeUntil), cmp.Compare(a.Account, b.Account))
	})
	made.Held = made.Held[:min(len(made.Held), forecast.MaxEntries)]
	made.Waiting = made.Waiting[:min(len(made.Waiting), forecast.MaxEntries)]
	return made
}
