package region

import (
	"math"
	"time"

	"github.com/lovageroad/lovageroad/internal/work"
)

const (
	// defaultEstimate stands in for a run time that neither the caller nor
	// earlier tasks tell.
	defaultEstimate = 5 * time.Second

	// paceSamples is how many run times a queue needs before they count.
	paceSamples = 3

	// roomShare is the part of a pool, one in so many, that one step may count
	// on by its latency objective.
	roomShare = 4

	// paceMemory is how many run times a queue's statistics remember.
	paceMemory = 50
)

type (
	// pace is what the tasks of a queue took, against what their callers
	// declared. Declared times are far off, so the best guess lies between what
	// is declared and what is usual, by how much each of them varies.
	pace struct {
		took, miss spread
	}

	// spread is a running mean and variance of logarithms.
	spread struct {
		count, mean, square float64
	}
)

func (s *spread) add(value float64) {
	s.count = min(s.count+1, paceMemory)
	weight := 1 / s.count
	delta := value - s.mean
	s.mean += weight * delta
	s.square += weight * (delta*(value-s.mean) - s.square)
}

// expected returns the run time of a task.
func (c *Core) expected(j *job, s *step) time.Duration {
	declared := s.spec.Estimate
	p := c.paces[j.Job.Queue]
	if p == nil || p.took.count < paceSamples {
		if declared <= 0 {
			return defaultEstimate
		}
		return declared
	}
	guess := p.took.mean
	if declared > 0 {
		trust := p.took.square / max(p.took.square+p.miss.square, math.SmallestNonzeroFloat64)
		guess += trust * (math.Log(declared.Seconds()) - p.miss.mean - p.took.mean)
	}
	return time.Duration(math.Exp(guess) * float64(time.Second))
}

// chain returns the longest chain of a job's work. A step that is wider than its
// share of the pool counts as many times as it takes to do in that share.
func (c *Core) chain(j *job) time.Duration {
	ends := make([]time.Duration, len(j.Job.Steps))
	longest := time.Duration(0)
	for i := range j.Job.Steps {
		s := &step{spec: &j.Job.Steps[i]}
		for _, earlier := range s.spec.After {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += c.expected(j, s) * c.waves(j, s.spec)
		longest = max(longest, ends[i])
	}
	return longest
}

// waves returns in how many waves a step runs in its share of the pool.
func (c *Core) waves(j *job, s *work.Step) time.Duration {
	if s.Gang {
		return 1
	}
	room := c.rooms[c.queue(j).Pool]
	claim := s.Claim()
	waves := int64(1)
	for _, pair := range [][2]int64{
		{int64(claim.Processor), int64(room.Processor)},
		{int64(claim.Memory), int64(room.Memory)},
		{claim.Accelerators, room.Accelerators},
	} {
		if share := pair[1] / roomShare; share > 0 {
			waves = max(waves, (int64(s.Count)*pair[0]+share-1)/share)
		}
	}
	return time.Duration(waves)
}

// measure takes the capacity of each pool.
func (c *Core) measure() {
	clear(c.rooms)
	for _, w := range c.workers {
		if !w.lost && w.runner != nil {
			c.rooms[w.runner.Pool] = c.rooms[w.runner.Pool].Add(w.runner.Capacity)
		}
	}
}

// learn takes note of what a task took. One that went on from saved progress
// tells nothing.
func (c *Core) learn(j *job, s *step, took time.Duration, t *task) {
	if took <= 0 || t.checkpoint != "" {
		return
	}
	p := c.paces[j.Job.Queue]
	if p == nil {
		p = &pace{}
		c.paces[j.Job.Queue] = p
	}
	p.took.add(math.Log(took.Seconds()))
	if s.spec.Estimate > 0 {
		p.miss.add(math.Log(s.spec.Estimate.Seconds() / took.Seconds()))
	}
}
