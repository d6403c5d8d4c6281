package region

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/table"
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

	// paceInterval is the shortest time between two writes of the paces: what is
	// lost with a leader is few samples.
	paceInterval = 2 * time.Second
)

type (
	// pace is what the tasks of a queue took, against what their callers
	// declared. Declared times are far off, so the best guess lies between what
	// is declared and what is usual, by how much each of them varies.
	pace struct {
		Took spread `cbor:"1,keyasint"`
		Miss spread `cbor:"2,keyasint"`
	}

	// spread is a running mean and variance of logarithms.
	spread struct {
		Count  float64 `cbor:"1,keyasint"`
		Mean   float64 `cbor:"2,keyasint"`
		Square float64 `cbor:"3,keyasint"`
	}
)

func (s *spread) add(value float64) {
	s.Count = min(s.Count+1, paceMemory)
	weight := 1 / s.Count
	delta := value - s.Mean
	s.Mean += weight * delta
	s.Square += weight * (delta*(value-s.Mean) - s.Square)
}

// expected returns the run time of a task.
func (c *Core) expected(j *job, s *step) time.Duration {
	declared := s.spec.Estimate
	p := c.paces[j.Job.Queue]
	if p == nil || p.Took.Count < paceSamples {
		if declared <= 0 {
			return defaultEstimate
		}
		return declared
	}
	guess := p.Took.Mean
	if declared > 0 {
		trust := p.Took.Square / max(p.Took.Square+p.Miss.Square, math.SmallestNonzeroFloat64)
		guess += trust * (math.Log(declared.Seconds()) - p.Miss.Mean - p.Took.Mean)
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
	p.Took.add(math.Log(took.Seconds()))
	c.learned++
	if s.spec.Estimate > 0 {
		p.Miss.add(math.Log(s.spec.Estimate.Seconds() / took.Seconds()))
	}
}

// savePaces adds the paces to a batch if they have changed and were not written
// just now.
func (c *Core) savePaces(b *Batch) {
	if c.learned <= c.remembered || c.paceRow.unsure || c.now.Sub(c.paced) < paceInterval {
		return
	}
	value, err := cbor.Marshal(c.paces)
	if err != nil {
		c.log(Line{Event: "paces not encoded", Outcome: err.Error()})
		return
	}
	c.paced = c.now
	b.learned, b.pace = c.learned, &c.paceRow
	b.Txn.Checks = append(b.Txn.Checks, c.paceRow.check())
	b.Txn.Writes = append(b.Txn.Writes, table.Write{Key: c.paceRow.key, Value: value})
}

// recall takes in the paces that a former leader learned.
func (c *Core) recall(row table.Row) {
	if row.Key != PaceKey {
		return
	}
	c.paceRow.version = row.Version
	var paces map[work.QueueID]*pace
	if err := cbor.Unmarshal(row.Value, &paces); err != nil {
		c.log(Line{Event: "paces unreadable", Outcome: err.Error()})
		return
	}
	for queue, p := range paces {
		if p != nil {
			c.paces[queue] = p
		}
	}
}
