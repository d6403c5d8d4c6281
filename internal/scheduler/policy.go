package scheduler

import (
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
)

const (
	// DefaultGrace is the time that a reclaimed job has to checkpoint.
	DefaultGrace = 20 * time.Second

	// DefaultUrgentGrace is the time that a job has to checkpoint when it is
	// reclaimed for urgent work.
	DefaultUrgentGrace = 500 * time.Millisecond

	// DefaultHeads is the number of waiting jobs that hold a reservation.
	DefaultHeads = 2

	// DefaultExpected is the run time of a job that declares none.
	DefaultExpected = time.Hour

	// DefaultReportLag is the age up to which a report of draw may be behind.
	DefaultReportLag = 30 * time.Second

	// DefaultQuarantine is the first time that a worker is kept from work.
	DefaultQuarantine = 10 * time.Minute

	// DefaultFloorWait bounds the time in which nothing is reclaimed because
	// restored placements name workers that are not known yet.
	DefaultFloorWait = 30 * time.Second
)

type (
	// Config holds the constants of a policy.
	Config struct {
		Grace       time.Duration
		UrgentGrace time.Duration
		Heads       int
		ReportLag   time.Duration
		Quarantine  time.Duration
		FloorWait   time.Duration
	}

	// Option sets a field of a Config.
	Option func(*Config)

	policy struct {
		config   Config
		now      time.Time
		began    time.Time
		floor    plan
		tenants  []*tenant
		byName   map[account.Name]*tenant
		tasks    map[job.ID]*task
		classes  []*class
		urgent   []*lane
		byShape  map[floor.Shape]*class
		lanes    map[laneKey]*lane
		cells    []*cell
		pending  []*task
		leaving  []*task
		backoff  []*task
		heads    []*head
		warm     []*worker
		open     []*cell
		pressing []*lane
		pressDue time.Time
		arrivals uint64

		// freed counts what may let a waiting job start, changes what may let an
		// urgent one.
		freed     uint64
		changes   uint64
		decided   uint64
		broken    bool
		repackDue time.Time

		decisions     []Decision
		wake          time.Time
		candidates    []candidate
		victims       []*task
		chosen        []*task
		ending        []part
		vacancies     []vacancy
		chosenTenants []*tenant
		scratch       query
	}
)

// WithGrace sets the time that a reclaimed job has to checkpoint, and that for
// urgent work.
func WithGrace(grace, urgent time.Duration) Option {
	return func(c *Config) {
		c.Grace = grace
		c.UrgentGrace = urgent
	}
}

// WithHeads sets the number of waiting jobs that hold a reservation.
func WithHeads(heads int) Option {
	return func(c *Config) { c.Heads = heads }
}

// New returns a policy that keeps the guarantees of accounts, reclaims lent
// places and reserves places for the jobs that waited longest.
func New(options ...Option) Policy {
	config := Config{
		Grace:       DefaultGrace,
		UrgentGrace: DefaultUrgentGrace,
		Heads:       DefaultHeads,
		ReportLag:   DefaultReportLag,
		Quarantine:  DefaultQuarantine,
		FloorWait:   DefaultFloorWait,
	}
	for _, option := range options {
		option(&config)
	}
	return &policy{
		config:  config,
		floor:   newPlan(),
		byName:  make(map[account.Name]*tenant),
		tasks:   make(map[job.ID]*task),
		byShape: make(map[floor.Shape]*class),
		lanes:   make(map[laneKey]*lane),
		freed:   1,
		changes: 1,
	}
}

func (p *policy) Decide(now time.Time) []Decision {
	p.tell(now)
	due := !p.wake.IsZero() && !now.Before(p.wake)
	if p.decided == p.changes && !due {
		return nil
	}
	p.decisions = nil
	p.expire()
	p.cool()
	if p.broken {
		p.restoreCells()
	}
	p.startPending()
	p.claimAll()
	p.startUrgent()
	p.startBorrowed()
	p.reserveHeads()
	p.press()
	p.decided = p.changes
	p.wake = p.nextWake()
	return p.decisions
}

func (p *policy) Wake() time.Time {
	return p.wake
}

// tell moves the time forward. It never goes back.
func (p *policy) tell(now time.Time) {
	if p.began.IsZero() {
		p.began = now
	}
	if now.After(p.now) {
		p.now = now
	}
}

// expire carries out what is due by time alone.
func (p *policy) expire() {
	for _, t := range p.leaving {
		if !p.now.Before(t.deadline) {
			t.deadline = p.now.Add(max(p.config.Grace, time.Second))
			p.decide(Reclaim{Job: t.ID})
		}
	}
	p.backoff = slices.DeleteFunc(p.backoff, func(t *task) bool {
		if p.now.Before(t.notBefore) {
			return false
		}
		p.enqueue(t)
		return true
	})
	p.endQuarantines()
	p.expireHeads()
}

func (p *policy) decide(decision Decision) {
	p.decisions = append(p.decisions, decision)
}

// free notes that a waiting job may be able to start.
func (p *policy) free() {
	p.freed++
	p.changes++
}

func (p *policy) nextWake() time.Time {
	var wake time.Time
	sooner := func(at time.Time) {
		if !at.IsZero() && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	for _, t := range p.leaving {
		sooner(t.deadline)
	}
	for _, t := range p.backoff {
		sooner(t.notBefore)
	}
	for _, h := range p.heads {
		sooner(h.due)
	}
	for _, w := range p.floor.suspects {
		sooner(w.until)
	}
	for _, b := range p.floor.budgets {
		sooner(b.due)
	}
	if len(p.classes) > 0 {
		sooner(p.pressDue)
	}
	if p.recovering() {
		sooner(p.began.Add(p.config.FloorWait))
	}
	return wake
}

// recovering reports whether restored placements name workers that have not
// shown up yet.
func (p *policy) recovering() bool {
	return p.floor.missing > 0 && p.now.Sub(p.began) < p.config.FloorWait
}
