package region

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/speed"
	"github.com/lovageroad/lovageroad/internal/work"
)

const (
	// learnInterval is the least time between two updates of the beliefs about speeds.
	learnInterval = 400 * time.Millisecond

	// maxStepSamples bounds the run times of a step that are kept, maxRunningSamples the
	// running tasks whose progress is used at a time.
	maxStepSamples    = 256
	maxRunningSamples = 300

	// minProgress in percent and minElapsed are the least progress of a running task from
	// which its run time is projected. listingAge is about how old a listed progress is.
	minProgress = 10
	minElapsed  = 1500 * time.Millisecond
	listingAge  = 500 * time.Millisecond

	// resultDelay is how far the run time of a task may be off by the ways of its orders
	// and its result.
	resultDelay = 100 * time.Millisecond

	// coldTime is how long runs that start on a new runner aren't used to learn its
	// speed.
	coldTime = 5 * time.Second

	// leastSlowdown is the least MaxSlowdown of a demand.
	leastSlowdown = 0.01

	// reachDivisor says that work which needs a fast worker can expect one of the fastest
	// quarter.
	reachDivisor = 4

	// usualSpeed, slowWorker and fastWorker are the classes of the log. A worker is slow or
	// fast if its slowdown differs from 1 by notableSlowdown, as a difference of
	// logarithms, and by more than its uncertainty.
	usualSpeed speedClass = "usual"
	slowWorker speedClass = "slow"
	fastWorker speedClass = "fast"

	notableSlowdown = 0.2

	// minSeconds is the least expected run time that a slowdown is computed for.
	minSeconds = 0.001

	// UnevenSpeeds is the outcome of the event "speeds judged" if workers were found to
	// differ by more than noise.
	UnevenSpeeds = "uneven"
)

type (
	speedSample = speed.Sample[control.AgentID]
	speedStep   = speed.Step[control.AgentID, work.QueueID]
	speedClass  string
)

// comparable reports whether the run time of a task that starts on the worker now tells the
// worker's speed: the task isn't far from its data, doesn't resume, and the worker isn't cold. A
// task that is paced later isn't comparable from then on.
func (c *Core) comparable(now time.Time, s *step, t *task, w *worker) bool {
	return !s.spec.LongRunning && t.checkpoint == "" && !now.Before(w.coldUntil) && (s.spec.DataRack == "" || s.spec.DataRack == w.runner.Rack)
}

// recordSpeeds keeps the run time of a task, or of a whole gang, to learn from it.
func (c *Core) recordSpeeds(now time.Time, s *step, t *task) {
	if len(s.ran) >= maxStepSamples {
		return
	}
	took := now.Sub(t.orderedAt)
	deviation := float64(resultDelay) / float64(max(took, 1))
	if !s.spec.Gang {
		if t.comparable {
			s.ran = append(s.ran, speedSample{Worker: t.worker.id, Took: took, Deviation: deviation})
		}
		return
	}
	if !s.gangComparable() {
		return
	}
	for i := range s.tasks[:min(len(s.tasks), maxStepSamples)] {
		s.ran = append(s.ran, speedSample{Worker: s.tasks[i].worker.id, Took: took, Deviation: deviation})
	}
}

// gangComparable reports whether the run time of a gang depends on its work and the speeds of
// its workers alone.
func (s *step) gangComparable() bool {
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.worker == nil || !t.comparable || t.stopping || s.spec.SameRack && t.worker.runner.Rack != s.tasks[0].worker.runner.Rack {
			return false
		}
	}
	return true
}

// closeSpeeds hands over what a step that has ended says about speeds.
func (c *Core) closeSpeeds(j *job, s *step) {
	if !s.speedsLearned && len(s.ran) > 0 {
		c.speeds.Close(s.speedStep(j, s.ran))
	}
	s.speedsLearned, s.ran = true, nil
}

func (s *step) speedStep(j *job, samples []speedSample) speedStep {
	return speedStep{Queue: j.Job.Queue, Declared: s.spec.Estimate, Gang: s.spec.Gang && len(s.tasks) > 1, Samples: samples}
}

// learnSpeeds updates the beliefs about speeds, if the last update is long enough ago, and
// logs those that have changed.
func (c *Core) learnSpeeds(now time.Time) {
	if now.Sub(c.speedsLearnedAt) < learnInterval {
		return
	}
	c.speedsLearnedAt = now
	wasUneven := c.speeds.Uneven()
	c.speeds.Learn(now, c.runningSpeeds())
	if dropped := c.speeds.Dropped(); dropped > c.droppedSpeeds {
		c.log(LogEntry{Event: "speed samples dropped", Count: int(dropped - c.droppedSpeeds)})
		c.droppedSpeeds = dropped
	}
	if uneven := c.speeds.Uneven(); uneven != wasUneven {
		c.log(LogEntry{Event: "speeds judged", Outcome: unevenOutcome(uneven), Count: len(c.speeds.All())})
	}
	for _, id := range c.speeds.All() {
		c.logSpeed(now, id)
	}
}

// unevenOutcome names whether workers were found to differ.
func unevenOutcome(uneven bool) string {
	if uneven {
		return UnevenSpeeds
	}
	return "even"
}

// speedClassOf returns the class of a worker, or "" if it is between two.
func speedClassOf(e speed.Estimate) speedClass {
	switch {
	case e.Mean-e.Deviation > notableSlowdown:
		return slowWorker
	case e.Mean+e.Deviation < -notableSlowdown:
		return fastWorker
	case math.Abs(e.Mean) > notableSlowdown:
		return ""
	}
	return usualSpeed
}

// logSpeed logs a worker that was found to be slow, fast or usual after all.
func (c *Core) logSpeed(now time.Time, id control.AgentID) {
	e := c.speeds.Estimate(id)
	class, before := speedClassOf(e), c.knownSpeeds[id]
	if class == "" || before == class || before == "" && class == usualSpeed {
		return
	}
	c.knownSpeeds[id] = class
	entry := LogEntry{
		Event: "worker speed", Worker: id, Outcome: string(class), Count: int(math.Ceil(e.Count)), Slowdown: math.Exp(e.Mean),
		Detail: fmt.Sprintf("deviation %.2f", e.Deviation),
	}
	if w := c.workers[id]; w != nil {
		entry.Age = now.Sub(w.heardAt)
	}
	c.log(entry)
}

// runningSpeeds returns what steps that still run say about speeds, the oldest jobs first.
func (c *Core) runningSpeeds() []speedStep {
	var steps []speedStep
	left := maxRunningSamples
	for _, j := range c.liveJobs {
		if j.hasEnded() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if left <= 0 {
					return steps
				}
				if samples := s.runningSamples(); len(samples) > 0 {
					left -= len(samples)
					steps = append(steps, s.speedStep(j, samples))
				}
			}
		}
	}
	return steps
}

// runningSamples returns the run times of the step's tasks that have ended and those that the
// progress of the others leads to expect.
func (s *step) runningSamples() []speedSample {
	if s.speedsLearned || s.readyAt.IsZero() || s.spec.Gang && !s.gangComparable() {
		return nil
	}
	samples := s.ran[:len(s.ran):len(s.ran)]
	for i := range s.tasks {
		t := &s.tasks[i]
		if elapsed := t.progressAt.Sub(t.orderedAt); t.worker != nil && !t.done && t.comparable && !t.stopping && t.percent >= minProgress && t.percent <= 100 && elapsed >= minElapsed && len(samples) < maxStepSamples {
			samples = append(samples, speedSample{
				Worker: t.worker.id, Took: elapsed * 100 / time.Duration(t.percent),
				Deviation: float64(listingAge)/float64(elapsed) + 1/float64(t.percent),
			})
		}
	}
	return samples
}

// runSlowdown returns the slowdown of the present run of a task, for a gang that of its
// slowest member.
func (c *Core) runSlowdown(s *step, t *task) float64 {
	if !c.speeds.Uneven() || t.worker == nil {
		return 1
	}
	slowest := c.speeds.Slowdown(t.worker.id)
	if s.spec.Gang {
		for i := range s.tasks {
			if w := s.tasks[i].worker; w != nil {
				slowest = max(slowest, c.speeds.Slowdown(w.id))
			}
		}
	}
	return slowest
}

// fastSlowdown returns a slowdown below which a reachDivisor-th of the workers are, or 1 if
// workers are even.
func (c *Core) fastSlowdown(now time.Time) float64 {
	if !c.speeds.Uneven() {
		return 1
	}
	var slowdowns []float64
	for _, w := range c.workers {
		if w.runner != nil && w.schedulable(now) {
			slowdowns = append(slowdowns, c.speeds.CautiousSlowdown(w.id))
		}
	}
	if len(slowdowns) == 0 {
		return 1
	}
	slices.Sort(slowdowns)
	return min(slowdowns[len(slowdowns)/reachDivisor], 1)
}

// expectedHere returns the expected run time of a task where it runs.
func (c *Core) expectedHere(j *job, s *step, t *task) time.Duration {
	return time.Duration(float64(c.expected(j, s)) * c.runSlowdown(s, t))
}

// maxSlowdown returns the greatest slowdown at which the step's tasks can still meet the
// objective of the job, or can still be of value to its caller if that is too late. It is 0
// if it doesn't matter.
func (c *Core) maxSlowdown(now time.Time, j *job, s *step, start time.Time, d *rankedDemand) float64 {
	if !c.speeds.Uneven() || d.class == tooLate {
		return 0
	}
	limit := d.deadline
	if d.class == late {
		limit = start.Add(lateFactor * d.deadline.Sub(start))
	}
	left := limit.Sub(now) - c.pathAfter(j, s.id.Step)
	run := c.expected(j, s) * c.waves(j, s.spec)
	return max(left.Seconds()/max(run.Seconds(), minSeconds), leastSlowdown)
}

// pathAfter returns the expected duration of the longest chain of steps that follow a step.
func (c *Core) pathAfter(j *job, index int) time.Duration {
	after := make([]time.Duration, len(j.Job.Steps))
	follows := make([]bool, len(j.Job.Steps))
	follows[index] = true
	longest := time.Duration(0)
	for i := index + 1; i < len(j.Job.Steps); i++ {
		s := &step{spec: &j.Job.Steps[i]}
		for _, earlier := range s.spec.After {
			if follows[earlier] {
				follows[i] = true
				after[i] = max(after[i], after[earlier])
			}
		}
		if follows[i] {
			after[i] += c.expected(j, s) * c.waves(j, s.spec)
			longest = max(longest, after[i])
		}
	}
	return longest
}
