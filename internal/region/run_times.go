package region

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// defaultEstimate is the run time assumed if there is neither an estimate by
	// the caller nor a history of the queue.
	defaultEstimate = 5 * time.Second

	// minSamples is how many run times a queue needs before its statistics are
	// used.
	minSamples = 3

	// poolShareDivisor is the divisor of a pool's capacity that gives the share
	// which a step is assumed to get when a latency objective is computed.
	poolShareDivisor = 4

	// statsWindow caps the sample count of a queue's statistics, so that older run
	// times fade out.
	statsWindow = 50

	// maxLog bounds the logarithms of run times in seconds, and of the errors of
	// estimates: far more than a year.
	maxLog = 25

	// statsWriteInterval is the shortest time between two writes of the run-time
	// statistics. If a leader fails, only the few samples of this time are lost.
	statsWriteInterval = 2 * time.Second

	// runTimesDropDivisor is the divisor of the number of queues that gives how many are
	// dropped at a time when the statistics outgrow their row.
	runTimesDropDivisor = 8
)

type (
	// runTimeStats are the statistics of the logarithms of the run times of a
	// queue's tasks, and of the ratio of the declared estimate to the run time.
	// Declared estimates are far off, so the expected run time is a mean of the
	// usual one and of the declared one without its usual error, each weighted by
	// the inverse of its variance.
	runTimeStats struct {
		RunTime       logStats `cbor:"1,keyasint"`
		EstimateError logStats `cbor:"2,keyasint"`
	}

	// logStats is an exponentially weighted mean and variance of natural
	// logarithms.
	logStats struct {
		Count    float64 `cbor:"1,keyasint"`
		Mean     float64 `cbor:"2,keyasint"`
		Variance float64 `cbor:"3,keyasint"`
	}
)

// valid reports whether the statistics are finite and of plausible run times.
func (s *logStats) valid() bool {
	return s.Count >= 0 && s.Count <= statsWindow && math.Abs(s.Mean) <= maxLog && s.Variance >= 0 && s.Variance <= maxLog*maxLog
}

// add adds a sample, which weighs at least 1/statsWindow.
func (s *logStats) add(value float64) {
	s.Count = min(s.Count+1, statsWindow)
	weight := 1 / s.Count
	delta := value - s.Mean
	s.Mean += weight * delta
	s.Variance += weight * (delta*(value-s.Mean) - s.Variance)
}

// expected returns the expected run time of one task of the step.
func (c *Core) expected(j *job, s *step) time.Duration {
	declared := s.spec.Estimate
	stats := c.runTimes[j.Job.Queue]
	if stats == nil || stats.RunTime.Count < minSamples {
		if declared <= 0 {
			return defaultEstimate
		}
		return declared
	}
	logEstimate := stats.RunTime.Mean
	if declared > 0 {
		declaredWeight := stats.RunTime.Variance / max(stats.RunTime.Variance+stats.EstimateError.Variance, math.SmallestNonzeroFloat64)
		logEstimate += declaredWeight * (math.Log(declared.Seconds()) - stats.EstimateError.Mean - stats.RunTime.Mean)
	}
	return time.Duration(math.Exp(logEstimate) * float64(time.Second))
}

// criticalPath returns the expected duration of a job along its longest chain of
// dependent steps. A step that does not fit into its share of the pool counts once
// for each wave of tasks that it needs there.
func (c *Core) criticalPath(j *job) time.Duration {
	finish := make([]time.Duration, len(j.Job.Steps))
	longest := time.Duration(0)
	for i := range j.Job.Steps {
		s := &step{spec: &j.Job.Steps[i]}
		for _, earlier := range s.spec.After {
			finish[i] = max(finish[i], finish[earlier])
		}
		finish[i] += c.expected(j, s) * c.waves(j, s.spec)
		longest = max(longest, finish[i])
	}
	return longest
}

// waves returns how many times a step's share of the pool must be filled to run all
// its tasks. A gang always runs in one wave.
func (c *Core) waves(j *job, s *work.Step) time.Duration {
	if s.Gang {
		return 1
	}
	capacity := c.poolCapacity[c.queue(j).Pool]
	request := s.Request()
	waves := int64(1)
	for _, pair := range [][2]int64{
		{int64(request.Processor), int64(capacity.Processor)},
		{int64(request.Memory), int64(capacity.Memory)},
		{request.Accelerators, capacity.Accelerators},
	} {
		if share := pair[1] / poolShareDivisor; share > 0 {
			waves = max(waves, (int64(s.Count)*pair[0]+share-1)/share)
		}
	}
	return time.Duration(waves)
}

// updatePoolCapacity sums up the capacity of each pool, without evacuated data centres.
func (c *Core) updatePoolCapacity() {
	clear(c.poolCapacity)
	for _, w := range c.workers {
		if !w.lost && w.runner != nil && !c.evacuated(w) {
			c.poolCapacity[w.runner.Pool] = c.poolCapacity[w.runner.Pool].Add(w.runner.Capacity)
		}
	}
}

// recordRunTime adds the run time that a task would have had on a usual worker to its
// queue's statistics. A task with a checkpoint is left out, since it may have resumed from
// it, so that its run time may cover only a part of the work. So is one that was paced.
func (c *Core) recordRunTime(j *job, s *step, took time.Duration, t *task) {
	if took <= 0 || t.checkpoint != "" || t.paced {
		return
	}
	took = time.Duration(float64(took) / c.runSlowdown(s, t))
	stats := c.runTimes[j.Job.Queue]
	if stats == nil {
		stats = &runTimeStats{}
		c.runTimes[j.Job.Queue] = stats
	}
	stats.RunTime.add(math.Log(took.Seconds()))
	c.samples++
	if s.spec.Estimate > 0 {
		stats.EstimateError.add(math.Log(s.spec.Estimate.Seconds() / took.Seconds()))
	}
}

// saveRunTimes adds the run-time statistics to a batch if they have changed and the
// last write is long enough ago.
func (c *Core) saveRunTimes(b *Batch) {
	if c.samples <= c.savedSamples || c.runTimesRow.versionUnknown || c.now.Sub(c.runTimesWritten) < statsWriteInterval {
		return
	}
	value, err := cbor.Marshal(c.runTimes)
	for err == nil && len(value) > c.config.RowBytes {
		c.dropRunTimes(len(c.runTimes)/runTimesDropDivisor + 1)
		value, err = cbor.Marshal(c.runTimes)
	}
	if err != nil {
		c.log(LogEntry{Event: "paces not encoded", Outcome: err.Error()})
		return
	}
	c.runTimesWritten = c.now
	b.samples, b.runTimesRow = c.samples, &c.runTimesRow
	b.Txn.Checks = append(b.Txn.Checks, c.runTimesRow.check())
	b.Txn.Writes = append(b.Txn.Writes, table.Write{Key: c.runTimesRow.key, Value: value})
}

// dropRunTimes drops the statistics of a number of queues, those first that have been removed
// from the configuration, and then those with the fewest samples.
func (c *Core) dropRunTimes(count int) {
	queues := slices.Collect(maps.Keys(c.runTimes))
	removed := func(id work.QueueID) bool {
		return c.currentConfiguration == nil || c.currentConfiguration.Queue(id) == nil
	}
	slices.SortFunc(queues, func(a, b work.QueueID) int {
		return cmp.Or(
			compareBool(removed(b), removed(a)),
			cmp.Compare(c.runTimes[a].RunTime.Count, c.runTimes[b].RunTime.Count),
			cmp.Compare(a, b),
		)
	})
	for _, id := range queues[:min(count, len(queues))] {
		delete(c.runTimes, id)
	}
	c.log(LogEntry{Event: "paces dropped", Count: count})
}

// loadRunTimes loads the statistics that an earlier leader wrote.
func (c *Core) loadRunTimes(row table.Row) {
	if row.Key != RunTimesKey {
		return
	}
	c.runTimesRow.version = row.Version
	var loaded map[work.QueueID]*runTimeStats
	if err := cbor.Unmarshal(row.Value, &loaded); err != nil {
		c.log(LogEntry{Event: "paces unreadable", Outcome: err.Error(), Version: row.Version})
		return
	}
	for queue, stats := range loaded {
		if stats == nil || !stats.RunTime.valid() || !stats.EstimateError.valid() {
			c.log(LogEntry{Event: "paces unreadable", Queue: queue, Outcome: "statistics out of range", Version: row.Version})
			continue
		}
		c.runTimes[queue] = stats
	}
}
