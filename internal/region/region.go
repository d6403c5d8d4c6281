// Package region is the core of the gate that leads a region: it keeps the jobs
// and the workers, starts and stops tasks, and records how they end. It has no
// input or output of its own and reads no clock.
package region

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/configuration"
	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// runsPerEpoch keeps the runs that one leader orders for a task apart from
	// those of its successors.
	runsPerEpoch = 1000

	// slowClock is how much longer a hold may last by a runner's clock that is
	// slow by 2 percent, as the runners' protocol allows.
	slowClock = 1.02
)

type (
	// Config holds the times of a Core.
	Config struct {
		// Hold is how long tasks outlive the leader's last word to their agent.
		Hold time.Duration

		// Answer is the longest time between the report of an agent and the use
		// that it makes of the answer.
		Answer time.Duration

		// Retry is the wait after a start that was refused.
		Retry time.Duration

		// Gang is how long a member of a gang waits for the others.
		Gang time.Duration

		// Retention is how long the rows of a job are kept after its end.
		Retention time.Duration
	}

	// Option sets a field of a Config.
	Option func(*Config)

	// Core is the state of a leader.
	Core struct {
		config   Config
		epoch    lease.Epoch
		guard    table.Check
		began    time.Time
		settings *configuration.Configuration

		// day is what makes a time of the core's clock the time of day.
		day time.Duration

		jobs map[work.JobID]*job
		live []*job

		// past are jobs whose ends are durable, the first to end first.
		past    []*job
		workers map[control.AgentID]*worker

		// held counts the workers on which a task takes room.
		held map[work.TaskID]int

		// again is when the floor is to be planned though nothing has changed.
		again time.Time

		// cancelled are jobs that are not known yet.
		cancelled map[work.JobID]bool

		// barred are jobs whose records can't be read: what they have done is not
		// known, so that nothing of them may start.
		barred map[work.JobID]bool

		// settled says that nothing runs that this leader does not know of.
		settled bool

		// early is the table's version when the leader began. Jobs of a later
		// version can't run anywhere yet.
		early table.Version

		changes uint64
		saving  bool

		// behind says that the last batch was not written.
		behind bool
		plan   bool
		paces  map[work.QueueID]*pace

		// paceRow is the row of the paces, last written at paced. Of the learned
		// changes the remembered ones are durable.
		paceRow             ownRow
		learned, remembered uint64
		paced               time.Time

		// now is the time of the last tick.
		now time.Time

		// rooms are the capacities of the pools.
		rooms map[work.PoolID]work.Resources
		log   func(line Line)
	}
)

// WithHold sets how long tasks outlive the leader's last word.
func WithHold(hold time.Duration) Option {
	return func(c *Config) { c.Hold = hold }
}

// WithGang sets how long a member of a gang waits for the others.
func WithGang(wait time.Duration) Option {
	return func(c *Config) { c.Gang = wait }
}

// New returns the core of a leader that begins an epoch. The guard fails once
// another epoch has begun; early is the table's version at that time.
func New(now time.Time, epoch lease.Epoch, guard table.Check, early table.Version, settings *configuration.Configuration, options ...Option) *Core {
	config := Config{Hold: 6 * time.Second, Answer: 1500 * time.Millisecond, Retry: 300 * time.Millisecond, Gang: 3 * time.Second, Retention: DefaultRetention}
	for _, option := range options {
		option(&config)
	}
	return &Core{
		config: config, epoch: epoch, guard: guard, began: now, early: early, settings: settings,
		jobs:    make(map[work.JobID]*job),
		workers: make(map[control.AgentID]*worker), cancelled: make(map[work.JobID]bool),
		barred:  make(map[work.JobID]bool),
		held:    make(map[work.TaskID]int),
		paces:   make(map[work.QueueID]*pace),
		rooms:   make(map[work.PoolID]work.Resources),
		paceRow: ownRow{key: PaceKey},
		log:     func(Line) {},
	}
}

// SetDay sets what is to be added to the times that the core is given to get the
// time of day, by which callers say when their jobs are due.
func (c *Core) SetDay(offset time.Duration) {
	c.day = offset
}

// Configure takes a newer configuration.
func (c *Core) Configure(settings *configuration.Configuration) {
	if c.settings == nil || settings.Version > c.settings.Version {
		c.settings = settings
		c.plan = true
	}
}

// Tick lets time pass: workers that were silent too long are lost, occurrences
// become due, and waiting tasks are placed.
func (c *Core) Tick(now time.Time) {
	c.now = now
	c.settle(now)
	for _, w := range c.sorted() {
		if !w.lost && now.After(w.expiry) {
			c.lose(now, w, "silent")
		}
	}
	for _, j := range c.live {
		c.advance(now, j)
		c.watchGangs(now, j)
	}
	c.prune()
	c.Plan(now)
}

// Plan places waiting tasks if something has changed, or some were to be looked
// at again by now. It does not go through jobs and workers otherwise, so that it
// may follow each report.
func (c *Core) Plan(now time.Time) {
	if c.plan || !c.again.IsZero() && !now.Before(c.again) {
		c.plan = false
		c.schedule(now)
	}
}

// settle ends the time in which tasks of the former leader may run at agents
// that have not been heard of.
func (c *Core) settle(now time.Time) {
	if c.settled {
		return
	}
	unheard := 0
	for _, w := range c.workers {
		if w.unheard {
			unheard++
		}
	}
	if unheard > 0 && now.Before(c.began.Add(c.patience())) {
		return
	}
	c.settled = true
	c.plan = true
	c.log(Line{Event: "settled", Epoch: c.epoch, Age: now.Sub(c.began), Count: unheard})
	c.mend(now)
}

// patience is how long a task may run after the leader's last word to its agent.
func (c *Core) patience() time.Duration {
	return time.Duration(float64(c.config.Hold)*slowClock) + c.config.Answer
}
