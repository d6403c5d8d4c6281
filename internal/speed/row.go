package speed

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

const (
	// rowVersion is the version of the format of rows.
	rowVersion = 1

	// rowUnit is the unit in which logarithms are stored.
	rowUnit = 100

	// dropDivisor is the divisor of the number of workers that gives how many are left out
	// at a time of a row that would be too large.
	dropDivisor = 8

	// maxStored bounds stored logarithms.
	maxStored = 25 * rowUnit
)

type (
	// row is how a Learner is stored.
	row[W, Q ~string] struct {
		Version int          `cbor:"1,keyasint"`
		Uneven  bool         `cbor:"2,keyasint,omitempty"`
		Workers map[W][3]int `cbor:"3,keyasint"`
		Queues  map[Q][6]int `cbor:"4,keyasint"`
	}

	// VersionError is returned for a row of another format.
	VersionError struct{ Version int }
)

func (e *VersionError) Error() string {
	return fmt.Sprintf("speeds of version %d, want %d", e.Version, rowVersion)
}

// Encode returns the beliefs as the value of a row of at most the given size. They include what
// running tasks say, since the next leader, which doesn't know when these started, can't learn
// from them. It leaves out
// the workers with the least evidence, and then the queues, if they don't fit, and returns
// how many.
func (l *Learner[W, Q]) Encode(size int) (value []byte, left int, err error) {
	names := l.All()
	slices.SortStableFunc(names, func(a, b W) int { return cmp.Compare(l.workers[b].estimate.Count, l.workers[a].estimate.Count) })
	r := row[W, Q]{Version: rowVersion, Uneven: l.uneven, Workers: make(map[W][3]int), Queues: make(map[Q][6]int)}
	for _, w := range names {
		e := l.workers[w].estimate
		if e.Count <= 0 {
			continue
		}
		r.Workers[w] = [3]int{stored(e.Mean - l.center), stored(e.Deviation), stored(e.Count)}
	}
	for id, q := range l.queues {
		r.Queues[id] = [6]int{
			stored(q.declared.count), stored(q.declared.mean), stored(q.declared.variance),
			stored(q.undeclared.count), stored(q.undeclared.mean), stored(q.undeclared.variance),
		}
	}
	for {
		if value, err = cbor.Marshal(r); err != nil || len(value) <= size {
			return value, left, err
		}
		drop := min(len(names)/dropDivisor+1, len(names))
		if drop == 0 {
			left += len(r.Queues)
			clear(r.Queues)
			value, err = cbor.Marshal(r)
			return value, left, err
		}
		for _, w := range names[len(names)-drop:] {
			delete(r.Workers, w)
		}
		names, left = names[:len(names)-drop], left+drop
	}
}

// stored returns a number in the unit of rows.
func stored(v float64) int { return int(math.Round(min(max(v*rowUnit, -maxStored), maxStored))) }

// Decode loads what another Learner has encoded. It ignores entries out of range and
// returns their number. If the value is malformed or of another version, it returns an error
// and loads nothing.
func (l *Learner[W, Q]) Decode(value []byte) (ignored int, err error) {
	var version struct {
		Version int `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(value, &version); err != nil {
		return 0, err
	}
	if version.Version != rowVersion {
		return 0, &VersionError{version.Version}
	}
	var r row[W, Q]
	if err := cbor.Unmarshal(value, &r); err != nil {
		return 0, err
	}
	l.uneven = r.Uneven
	for w, v := range r.Workers {
		e := Estimate{Mean: float64(v[0]) / rowUnit, Deviation: float64(v[1]) / rowUnit, Count: float64(v[2]) / rowUnit}
		if math.Abs(e.Mean) > level(levels-1) || e.Deviation <= 0 || e.Deviation > 2*priorDeviation || e.Count <= 0 || len(l.workers) >= maxWorkers {
			ignored++
			continue
		}
		b := l.belief(w)
		b.kept.setNormal(e.Mean, max(e.Deviation, levelWidth/2))
		b.current, b.estimate, b.count = b.kept, e, e.Count
	}
	for id, v := range r.Queues {
		q := &queueError{loadStats(v[0], v[1], v[2]), loadStats(v[3], v[4], v[5])}
		if !q.declared.valid() || !q.undeclared.valid() || len(l.queues) >= maxQueues {
			ignored++
			continue
		}
		l.queues[id] = q
	}
	return ignored, nil
}

func loadStats(count, mean, variance int) errorStats {
	return errorStats{float64(count) / rowUnit, float64(mean) / rowUnit, float64(variance) / rowUnit}
}

// valid reports whether the statistics are plausible.
func (s errorStats) valid() bool {
	return s.count >= 0 && s.count <= queueWindow && math.Abs(s.mean)*rowUnit <= maxStored && s.variance >= 0
}
