package interference

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"
)

const (
	// Unknown says that there is too little evidence.
	Unknown Verdict = iota

	// Harmless says that the image slows down the other by less than notableSlowdown.
	Harmless

	// Slows says that the image slows down the other by more than notableSlowdown.
	Slows
)

const (
	// notableSlowdown is the least slowdown that matters, as a logarithm: that by 15 %.
	notableSlowdown = 0.14

	// certainty is how many deviations a belief must be beyond notableSlowdown.
	certainty = 2

	// halfLife is the age at which evidence weighs half.
	halfLife = 10 * time.Minute

	// slots is the number of groups of workers whose evidence is averaged first, minSlots how
	// many must have some, and minWeight the least evidence of a verdict in comparisons.
	// maxSlotWeight bounds the weight of a group against others.
	slots         = 8
	minSlots      = 3
	minWeight     = 6
	maxSlotWeight = 4

	// noise is the deviation of one comparison that is assumed beside what is seen.
	noise = 0.25
)

type (
	// Verdict is what is believed of an image that fills beside one that serves.
	Verdict uint8

	// Belief is what is known of an image that fills beside one that serves. Slowdown is by
	// what one task of it multiplies the latency, Deviation the uncertainty of the logarithm of
	// that, Weight the evidence in comparisons, and Age that of the newest.
	Belief struct {
		Verdict             Verdict
		Slowdown, Deviation float64
		Weight              float64
		Age                 time.Duration
	}

	// Change is a belief whose verdict has changed.
	Change[I ~string] struct {
		Serving, Filling I
		Belief
	}

	// pair is the evidence on an image that fills beside one that serves. Each slot has the
	// mean of the logarithms of slowdowns on some workers.
	pair struct {
		slots   [slots]struct{ weight, mean float32 }
		last    time.Duration
		verdict Verdict
	}
)

// String returns the verdict's name in the log.
func (v Verdict) String() string {
	switch v {
	case Slows:
		return "slows"
	case Harmless:
		return "harmless"
	}
	return "unknown"
}

// Belief returns what is known of an image that fills beside one that serves.
func (l *Learner[W, I]) Belief(now time.Time, serving, filling I) Belief {
	s, knowsServing := l.index[serving]
	f, knowsFilling := l.index[filling]
	if !knowsServing || !knowsFilling {
		return Belief{Slowdown: 1}
	}
	if e := l.pairs[pairKey{s, f}]; e != nil {
		return e.judge(now.Sub(l.start))
	}
	return Belief{Slowdown: 1}
}

// Changes returns the beliefs whose verdicts have changed since the last call.
func (l *Learner[W, I]) Changes(now time.Time) []Change[I] {
	var changes []Change[I]
	for _, k := range l.changed {
		if e := l.pairs[k]; e != nil {
			changes = append(changes, Change[I]{l.images[k.serving].name, l.images[k.filling].name, e.judge(now.Sub(l.start))})
		}
	}
	l.changed = l.changed[:0]
	return changes
}

// Pairs returns how many pairs of images there is evidence on.
func (l *Learner[W, I]) Pairs() int { return len(l.pairs) }

// add adds the slowdown that was seen on a worker.
func (e *pair) add(slot int, effect float64, at time.Duration) {
	left := fade(at - e.last)
	for i := range e.slots {
		e.slots[i].weight *= float32(left)
	}
	e.last = max(e.last, at)
	s := &e.slots[slot]
	s.weight++
	s.mean += (float32(effect) - s.mean) / s.weight
}

// judge returns what the evidence says. The deviation is that between the groups of workers, so
// that one worker with much evidence doesn't make it certain.
func (e *pair) judge(at time.Duration) Belief {
	left := fade(at - e.last)
	var total, shares, squares, mean float64
	used := 0
	for _, s := range e.slots {
		if s.weight == 0 {
			continue
		}
		share := min(float64(s.weight)*left, maxSlotWeight)
		used++
		total += float64(s.weight) * left
		shares += share
		squares += share * share
		mean += share * float64(s.mean)
	}
	b := Belief{Slowdown: 1, Weight: total, Age: max(at-e.last, 0)}
	if used < minSlots || total < minWeight {
		return b
	}
	mean /= shares
	between := 0.0
	for _, s := range e.slots {
		difference := float64(s.mean) - mean
		between += min(float64(s.weight)*left, maxSlotWeight) / shares * difference * difference
	}
	groups := max(shares*shares/squares, minSlots-1)
	b.Slowdown = math.Exp(mean)
	b.Deviation = math.Sqrt(between/(groups-1) + noise*noise/total)
	switch {
	case mean-certainty*b.Deviation > notableSlowdown:
		b.Verdict = Slows
	case mean+certainty*b.Deviation < notableSlowdown:
		b.Verdict = Harmless
	}
	return b
}

// fade returns what evidence of an age weighs.
func fade(age time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds())
}

// slotOf returns the group of a worker.
func slotOf[W any](worker W) int {
	h := fnv.New32a()
	fmt.Fprint(h, worker)
	return int(h.Sum32() % slots)
}

// imageIndex returns the index of an image, and false if there is no place for it.
func (l *Learner[W, I]) imageIndex(name I, at time.Duration) (uint8, bool) {
	if i, ok := l.index[name]; ok {
		l.images[i].seenAt = max(l.images[i].seenAt, at)
		return i, true
	}
	if name == "" || len(name) > MaxImageBytes {
		l.dropped++
		return 0, false
	}
	i := len(l.images)
	if i < MaxImages {
		l.images = append(l.images, image[I]{})
	} else if i = l.freeImage(at); i < 0 {
		l.dropped++
		return 0, false
	}
	l.images[i] = image[I]{name: name, seenAt: at}
	l.index[name] = uint8(i)
	return uint8(i), true
}

// freeImage forgets the image that was unseen for longest, and returns its index, or -1 if all
// were seen lately.
func (l *Learner[W, I]) freeImage(at time.Duration) int {
	oldest := 0
	for i := range l.images {
		if l.images[i].seenAt < l.images[oldest].seenAt {
			oldest = i
		}
	}
	if at-l.images[oldest].seenAt < imageLifetime {
		return -1
	}
	delete(l.index, l.images[oldest].name)
	for k := range l.pairs {
		if int(k.serving) == oldest || int(k.filling) == oldest {
			delete(l.pairs, k)
		}
	}
	for k, p := range l.periods {
		if int(k.serving) == oldest || at-p.last > maxGap {
			delete(l.periods, k)
		}
	}
	return oldest
}

// dropOldestPair forgets the pair with the oldest evidence.
func (l *Learner[W, I]) dropOldestPair() {
	var oldest pairKey
	found := false
	for k, e := range l.pairs {
		if !found || e.last < l.pairs[oldest].last {
			oldest, found = k, true
		}
	}
	delete(l.pairs, oldest)
	l.dropped++
}
