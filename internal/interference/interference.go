// Package interference finds out which tasks that fill idle capacity slow down which tasks that
// serve requests on the same worker, and how far to slow the former down meanwhile. It does no
// I/O and reads no clock.
package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxImages is how many images are known at a time.
	MaxImages = 200

	// MaxImageBytes is the length of the longest image name.
	MaxImageBytes = 128

	// maxPairs and maxPeriods bound the evidence, maxNeighbours the images that fill on a
	// worker. maxCount is the number of tasks of an image above which more aren't told apart.
	maxPairs      = 2048
	maxPeriods    = 1536
	maxNeighbours = 8
	maxCount      = 4

	// maxLoad is the load above which a figure is taken for an error.
	maxLoad = 1000

	// maxAge is the age above which a figure is of no use.
	maxAge = 5 * time.Second

	// minInterval is the least time between two figures of a task that aren't the same one.
	minInterval = 400 * time.Millisecond

	// settleTime is how long after a change a figure may still cover the time before.
	settleTime = time.Second

	// maxGap is the time without figures after which a period isn't continued, beforeTime
	// how long after a period its mean can be compared with a later one.
	maxGap     = 5 * time.Second
	beforeTime = 15 * time.Second

	// minReadings is the least number of figures of a mean, and memory that of the last
	// figures that count in it.
	minReadings = 3
	memory      = 8

	// maxEffect bounds the logarithm of the slowdown by one neighbour.
	maxEffect = 2

	// imageLifetime is how long an unseen image is kept if others need its place.
	imageLifetime = 10 * time.Minute
)

type (
	// Reading is the load of a task that serves: its latency against its objective.
	Reading[I ~string] struct {
		Image I
		Load  float64
	}

	// Observation is what was seen on a worker. Filling are the images of the tasks that fill
	// there, one entry a task. Unclear says that these aren't all that matters: some tasks are
	// slowed down, or have no image.
	Observation[W cmp.Ordered, I ~string] struct {
		Worker  W
		Serving []Reading[I]
		Filling []I
		Unclear bool
		Age     time.Duration
	}

	// Learner has the evidence on which images that fill slow down which images that serve.
	Learner[W cmp.Ordered, I ~string] struct {
		images  []image[I]
		index   map[I]uint8
		pairs   map[pairKey]*pair
		periods map[periodKey[W]]*period
		dropped uint64
		start   time.Time
		changed []pairKey
	}

	image[I ~string] struct {
		name   I
		seenAt time.Duration
	}

	// pairKey names an image that serves and one that fills, by their indexes.
	pairKey struct{ serving, filling uint8 }

	periodKey[W cmp.Ordered] struct {
		worker  W
		serving uint8
	}

	// neighbours are the images that fill on a worker, sorted, with the number of tasks of each.
	neighbours [maxNeighbours]struct{ image, count uint8 }

	// period is a time in which the neighbours of the tasks of an image on a worker stayed the
	// same, and the period before with which it is compared. A mean is of logarithms of loads.
	period struct {
		now, before             neighbours
		mean, beforeMean        float64
		count                   int
		compared, hasBefore     bool
		since, last, beforeLast time.Duration

		// readAt is the time of the last reading that counted.
		readAt time.Duration
	}
)

// New returns a learner without evidence.
func New[W cmp.Ordered, I ~string]() *Learner[W, I] {
	return &Learner[W, I]{index: make(map[I]uint8), pairs: make(map[pairKey]*pair), periods: make(map[periodKey[W]]*period)}
}

// Dropped returns how many figures and images were not used since they were out of bounds.
func (l *Learner[W, I]) Dropped() uint64 { return l.dropped }

// Observe takes in what was seen on a worker.
func (l *Learner[W, I]) Observe(now time.Time, o Observation[W, I]) {
	if l.start.IsZero() {
		l.start = now
	}
	if o.Age < 0 || o.Age > maxAge {
		l.dropped++
		return
	}
	at := now.Add(-o.Age).Sub(l.start)
	filling, ok := l.neighbours(o.Filling, at)
	for i, r := range o.Serving {
		if !(r.Load > 0 && r.Load <= maxLoad) {
			l.dropped++
			continue
		}
		if slices.ContainsFunc(o.Serving[:i], func(s Reading[I]) bool { return s.Image == r.Image }) {
			continue
		}
		serving, known := l.imageIndex(r.Image, at)
		if !known {
			continue
		}
		key := periodKey[W]{o.Worker, serving}
		if !ok || o.Unclear {
			delete(l.periods, key)
			continue
		}
		l.observe(key, filling, math.Log(r.Load), at)
	}
}

// neighbours returns the images that fill, and false if they are too many.
func (l *Learner[W, I]) neighbours(images []I, at time.Duration) (n neighbours, ok bool) {
	used := 0
	for _, name := range images {
		index, known := l.imageIndex(name, at)
		if !known {
			return n, false
		}
		i := 0
		for i < used && n[i].image != index {
			i++
		}
		if i == maxNeighbours {
			l.dropped++
			return n, false
		}
		if i == used {
			used++
			n[i].image = index
		}
		n[i].count = min(n[i].count+1, maxCount)
	}
	slices.SortFunc(n[:used], func(a, b struct{ image, count uint8 }) int { return cmp.Compare(a.image, b.image) })
	return n, true
}

// observe adds a reading to the period of an image on a worker.
func (l *Learner[W, I]) observe(key periodKey[W], filling neighbours, load float64, at time.Duration) {
	p := l.periods[key]
	if p == nil {
		if len(l.periods) >= maxPeriods && !l.dropPeriods(at) {
			l.dropped++
			return
		}
		p = &period{now: filling, since: at, last: at}
		l.periods[key] = p
	}
	if at < p.last {
		return
	}
	if at-p.last > maxGap {
		*p = period{now: filling, since: at}
	}
	if filling != p.now {
		p.change(filling, at)
	}
	p.last = at
	if at-p.since < settleTime || p.count > 0 && at-p.readAt < minInterval {
		return
	}
	p.readAt = at
	p.count++
	p.mean += (load - p.mean) / float64(min(p.count, memory))
	if p.hasBefore && !p.compared && p.count >= minReadings {
		p.compared = true
		if p.since-p.beforeLast <= beforeTime {
			l.compare(key, p, at)
		}
	}
}

// change begins a period with other neighbours. A period of too few readings is forgotten.
func (p *period) change(filling neighbours, at time.Duration) {
	if p.count >= minReadings {
		p.before, p.beforeMean, p.beforeLast, p.hasBefore = p.now, p.mean, p.last, true
	}
	p.now, p.since, p.count, p.mean, p.compared = filling, at, 0, 0, false
}

// dropPeriods removes the periods that ended, and reports whether there were any.
func (l *Learner[W, I]) dropPeriods(at time.Duration) bool {
	before := len(l.periods)
	for key, p := range l.periods {
		if at-p.last > maxGap {
			delete(l.periods, key)
		}
	}
	return len(l.periods) < before
}

// compare takes in the difference between two periods if they differ by one image.
func (l *Learner[W, I]) compare(key periodKey[W], p *period, at time.Duration) {
	filling, change, ok := difference(p.before, p.now)
	if !ok {
		return
	}
	k := pairKey{key.serving, filling}
	e := l.pairs[k]
	if e == nil {
		if len(l.pairs) >= maxPairs {
			l.dropOldestPair()
		}
		e = &pair{last: at}
		l.pairs[k] = e
	}
	effect := (p.mean - p.beforeMean) / float64(change)
	e.add(slotOf(key.worker), min(max(effect, -maxEffect), maxEffect), at)
	if verdict := e.judge(at).Verdict; verdict != e.verdict && len(l.changed) < maxPairs {
		e.verdict = verdict
		l.changed = append(l.changed, k)
	}
}

// difference returns the only image whose count differs, and by how much. It returns false if
// there is none or more than one.
func difference(before, after neighbours) (image uint8, change int, ok bool) {
	var changes [MaxImages]int
	for i := range before {
		changes[before[i].image] -= int(before[i].count)
		changes[after[i].image] += int(after[i].count)
	}
	for i, c := range changes {
		if c == 0 {
			continue
		}
		if ok {
			return 0, 0, false
		}
		image, change, ok = uint8(i), c, true
	}
	return image, change, ok
}
