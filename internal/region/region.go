// Package region implements the scheduler of the gate that leads a region. It
// tracks the region's jobs and workers, decides which tasks start and stop, and
// produces the table rows that record their progress. It does no input or output
// and reads no clock: callers pass in the time, the agents' reports and the results
// of writes.
package region

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/configuration"
	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/speed"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// clockDriftFactor is how much longer Config.HoldTime or Config.MaxLease may last on a
	// runner whose clock is slow by 2 percent, as the runner protocol allows.
	clockDriftFactor = 1.02
)

type (
	// Config holds the durations that govern a Core.
	Config struct {
		// HoldTime is how long tasks may keep running after the leader's last orders to
		// their agent.
		HoldTime time.Duration

		// MaxLease is the longest lease that a runner grants. A call for a former
		// incarnation of a runner may give the present one that lease.
		MaxLease time.Duration

		// MaxOrdersAge is the longest time between an agent sending a report and acting
		// on the orders that answer it.
		MaxOrdersAge time.Duration

		// RefusalBackoff is the back-off after a refused start. It grows with their
		// number.
		RefusalBackoff time.Duration

		// GangWait is how long a member of a gang waits for the others.
		GangWait time.Duration

		// Retention is how long a job's rows are kept after the job has ended.
		Retention time.Duration

		// RowBytes is the size of the value of a row in bytes up to which a record is
		// stored in one row.
		RowBytes int

		// PlanInterval is the least time between two plans of the waiting tasks. What
		// changes meanwhile is planned together.
		PlanInterval time.Duration

		// EvacuationBound is how long after the request to evacuate a data centre tasks may
		// still start there, 0 if there are no such requests. ConfirmInterval is the longest
		// time between two confirmations of the requests while the table answers.
		EvacuationBound, ConfirmInterval time.Duration
	}

	// Option sets a field of a Config.
	Option func(*Config)

	// Core is the scheduling state of one leader, for one epoch. Its methods must
	// not be called concurrently.
	Core struct {
		config               Config
		epoch                lease.Epoch
		epochCheck           table.Check
		began                time.Time
		currentConfiguration *configuration.Configuration

		// wallClockOffset is added to a time of the core's clock to get the
		// wall-clock time.
		wallClockOffset time.Duration

		jobs     map[work.JobID]*job
		liveJobs []*job

		// endedJobs are jobs whose end is durable, in the order in which pruneEnded
		// moved them here.
		endedJobs []*job
		workers   map[control.AgentID]*worker

		// removedJobs are the jobs whose rows were removed within the last
		// Config.Retention. Their rows may still arrive from a read that began before.
		removedJobs map[work.JobID]removedJob

		// placementCount is the number of workers on which a task may use capacity.
		placementCount map[work.TaskID]int

		// nextReplan is when waiting tasks are planned again though nothing has
		// changed. The zero time means not at all.
		nextReplan time.Time

		// earlyCancels are the cancellations that arrived before their jobs, earlyOrder
		// their jobs in the order of arrival. It may have some that have arrived since.
		earlyCancels map[work.JobID]earlyCancel
		earlyOrder   []work.JobID

		// unreadable are jobs whose records can't be decoded. What they have done
		// is not known, so none of their tasks may start.
		unreadable map[work.JobID]bool

		// takeoverDone says that every task that an earlier leader started has been
		// reported or has expired.
		takeoverDone bool

		// initialVersion is the table's version when the leader began. No earlier
		// leader can have started tasks of jobs of a later version.
		initialVersion table.Version

		// changes numbers the changes to job records.
		changes uint64

		// committing says that a batch is in flight.
		committing bool

		// singleRows is how many of the next batches hold one row each.
		singleRows int

		// writeFailed says that committing the last batch returned an error.
		writeFailed bool

		// runsUsedUp says that a waiting task has no run left in this epoch.
		runsUsedUp bool

		// replan says that waiting tasks must be planned again.
		replan bool

		// plannedAt is the time of the last plan.
		plannedAt time.Time
		runTimes  map[work.QueueID]*runTimeStats

		// runTimesRow is the row of the run-time statistics, last added to a
		// batch at runTimesWritten. samples counts the run times learned,
		// savedSamples those of them that are durable.
		runTimesRow           trackedRow
		samples, savedSamples uint64
		runTimesWritten       time.Time

		// speeds are the beliefs about the speeds of workers. knownSpeeds are those that
		// have been logged.
		speeds      *speed.Learner[control.AgentID, work.QueueID]
		knownSpeeds map[control.AgentID]speedClass

		// speedsLearnedAt is when they were last updated, speedsWritten when their row was
		// last added to a batch. savedSpeeds are the steps learned from that are durable.
		speedsRow                      trackedRow
		speedsLearnedAt, speedsWritten time.Time
		savedSpeeds, droppedSpeeds     uint64

		// reach is the slowdown that work which needs a fast worker can expect.
		reach float64

		// now is the time of the last Tick.
		now time.Time

		// forecaster holds the last forecast for the gates.
		forecaster forecaster

		// poolCapacity is the total capacity of each pool.
		poolCapacity map[work.PoolID]work.Resources
		evacuations  evacuations

		// shortages are the pools in which not all that waits fits. They are only logged.
		shortages map[work.PoolID]*shortage
		log       func(entry LogEntry)
	}
)

// WithHoldTime sets how long tasks may keep running after the leader's last orders.
func WithHoldTime(hold time.Duration) Option {
	return func(c *Config) { c.HoldTime = hold }
}

// WithMaxLease sets the longest lease that a runner grants.
func WithMaxLease(lease time.Duration) Option {
	return func(c *Config) { c.MaxLease = lease }
}

// WithGangWait sets how long a member of a gang waits for the others.
func WithGangWait(wait time.Duration) Option {
	return func(c *Config) { c.GangWait = wait }
}

// WithPlanInterval sets the least time between two plans of the waiting tasks.
func WithPlanInterval(interval time.Duration) Option {
	return func(c *Config) { c.PlanInterval = interval }
}

// New returns the core of a leader that begins an epoch. The check epochCheck fails
// once a later epoch has begun; initialVersion is the table's version at the
// beginning.
func New(now time.Time, epoch lease.Epoch, epochCheck table.Check, initialVersion table.Version, current *configuration.Configuration, options ...Option) *Core {
	config := Config{HoldTime: 6 * time.Second, MaxLease: 10 * time.Second, MaxOrdersAge: 1500 * time.Millisecond, RefusalBackoff: 300 * time.Millisecond, GangWait: 3 * time.Second, Retention: DefaultRetention, RowBytes: DefaultRowBytes}
	for _, option := range options {
		option(&config)
	}
	return &Core{
		config: config, epoch: epoch, epochCheck: epochCheck, began: now, initialVersion: initialVersion, currentConfiguration: current,
		jobs: make(map[work.JobID]*job), removedJobs: make(map[work.JobID]removedJob),
		workers: make(map[control.AgentID]*worker), earlyCancels: make(map[work.JobID]earlyCancel),
		unreadable:     make(map[work.JobID]bool),
		placementCount: make(map[work.TaskID]int),
		runTimes:       make(map[work.QueueID]*runTimeStats),
		poolCapacity:   make(map[work.PoolID]work.Resources),
		shortages:      make(map[work.PoolID]*shortage),
		runTimesRow:    trackedRow{key: RunTimesKey},
		reach:          1,
		speeds:         speed.New[control.AgentID, work.QueueID](),
		knownSpeeds:    make(map[control.AgentID]speedClass),
		speedsRow:      trackedRow{key: SpeedsKey},
		log:            func(LogEntry) {},
	}
}

// SetWallClockOffset sets the offset that is added to the times passed to the core to
// get the wall-clock time, in which callers say when their jobs are due.
func (c *Core) SetWallClockOffset(offset time.Duration) {
	c.wallClockOffset = offset
}

// Configure applies a configuration if it is newer than the current one.
func (c *Core) Configure(current *configuration.Configuration) {
	if c.currentConfiguration == nil || current.Version > c.currentConfiguration.Version {
		c.currentConfiguration = current
		c.replan = true
		c.log(LogEntry{Event: "configuration applied", Version: table.Version(current.Version)})
	}
}

// Tick handles what is due by now: it marks workers as lost whose hold has expired,
// makes occurrences due, stops incomplete gangs and places waiting tasks.
func (c *Core) Tick(now time.Time) {
	c.now = now
	for _, w := range c.sortedWorkers() {
		if !w.lost && now.After(w.holdExpiry) && now.After(w.leaseExpiry) {
			c.markLost(now, w)
		}
		if w.startsAbandoned {
			c.expireStarts(now, w)
		}
	}
	c.finishTakeover(now)
	c.holdStarts(now)
	c.trackEvacuations(now)
	for _, j := range c.liveJobs {
		c.advance(now, j)
		c.stopIncompleteGangs(now, j)
	}
	c.pruneEnded()
	c.Plan(now)
}

// Plan places waiting tasks if something has changed or a replan is due, and if the
// last plan is at least Config.PlanInterval ago. Otherwise it does not iterate over
// jobs and workers, so that it is cheap enough to call after each report.
func (c *Core) Plan(now time.Time) {
	if now.Sub(c.plannedAt) < c.config.PlanInterval {
		return
	}
	if c.replan || !c.nextReplan.IsZero() && !now.Before(c.nextReplan) {
		c.replan = false
		c.plannedAt = now
		c.schedule(now)
	}
}

// finishTakeover ends the takeover once each agent that an earlier leader knew
// has listed its tasks to this leader or is lost. Until then an agent may be running
// tasks that this leader does not know of.
func (c *Core) finishTakeover(now time.Time) {
	if c.takeoverDone {
		return
	}
	for _, w := range c.workers {
		if w.awaitingReport {
			return
		}
	}
	c.takeoverDone = true
	c.replan = true
	c.log(LogEntry{Event: "settled", Epoch: c.epoch, Age: now.Sub(c.began)})
	c.stopPartialGangs(now)
}

// holdTimeout is the longest time for which a task can still run after the leader's
// last orders to its agent: Config.HoldTime by a slow clock, and Config.MaxOrdersAge
// until the agent acts on the orders.
func (c *Core) holdTimeout() time.Duration {
	return time.Duration(float64(c.config.HoldTime)*clockDriftFactor) + c.config.MaxOrdersAge
}

// leaseTimeout is the longest time for which a task can still run after a leader's last
// orders to its agent, if the lease of its runner is not known.
func (c *Core) leaseTimeout() time.Duration {
	return max(time.Duration(float64(c.config.MaxLease)*clockDriftFactor)+c.config.MaxOrdersAge, c.holdTimeout())
}
