package scheduler

import (
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
)

const (
	// DefaultGrace is the time that a reclaimed job has to save a checkpoint.
	DefaultGrace = 20 * time.Second

	// DefaultUrgentGrace is the time that a job has to save a checkpoint when it
	// is reclaimed for an urgent job.
	DefaultUrgentGrace = 500 * time.Millisecond

	// DefaultReservations is the number of waiting jobs that hold a reservation.
	DefaultReservations = 2

	// DefaultExpected is the assumed run time of a job that declares none.
	DefaultExpected = time.Hour

	// DefaultReportLag is the time by which reports of power draw may be late.
	DefaultReportLag = 30 * time.Second

	// DefaultQuarantine is the length of a worker's first quarantine.
	DefaultQuarantine = 10 * time.Minute

	// DefaultRestoreWait limits how long nothing is reclaimed after a restart
	// because restored placements name workers that have not been added yet.
	DefaultRestoreWait = 30 * time.Second
)

type (
	// Config holds the parameters of a policy. The Default constants of the same
	// names describe them.
	Config struct {
		Grace        time.Duration
		UrgentGrace  time.Duration
		Reservations int
		ReportLag    time.Duration
		Quarantine   time.Duration
		RestoreWait  time.Duration
	}

	// Option sets a field of a Config.
	Option func(*Config)

	// policy implements Policy.
	//
	// Decisions are made in Decide, in this order: deadlines that have passed,
	// cooling budgets, binding of guarantees to workers, starts of pending jobs
	// whose place is clear, claims on guarantees, urgent jobs, borrowers,
	// reservations, and reclaims for jobs that have waited long.
	policy struct {
		config Config
		now    time.Time
		// startedAt is the time of the first call.
		startedAt time.Time
		floor     floorState
		tenants   []*tenant
		tenantOf  map[account.Name]*tenant
		jobs      map[job.ID]*jobEntry
		// shapeGroups, urgent and lanes hold the waiting jobs: by shape, those
		// of urgent classes, and all.
		shapeGroups  []*shapeGroup
		urgent       []*lane
		shapeGroupOf map[floor.Shape]*shapeGroup
		lanes        map[laneKey]*lane
		guarantees   []*guarantee
		// pending jobs hold a place that reclaimed jobs still occupy, leaving
		// ones have been told to stop, and jobs in backoff wait to be tried
		// again.
		pending        []*jobEntry
		leaving        []*jobEntry
		backoff        []*jobEntry
		reservations   []*reservation
		standbyWorkers []*worker
		openGuarantees []*guarantee
		reclaimLanes   []*lane
		nextReclaim    time.Time
		arrivals       uint64

		// freed counts the events after which capacity may be free, and the
		// field changes counts all events. A search that found nothing is not
		// repeated while its counter stays the same. decidedAt is the value of
		// changes after the last call of Decide.
		freed      uint64
		changes    uint64
		decidedAt  uint64
		rebindDue  bool
		nextRepack time.Time

		// decisions is the result of Decide and wake that of Wake. The rest,
		// openGuarantees and reclaimLanes are scratch space that is reused
		// between calls.
		decisions     []Decision
		wake          time.Time
		candidates    []candidate
		victims       []*jobEntry
		jobScratch    []*jobEntry
		endings       []jobShare
		vacancies     []vacancy
		tenantScratch []*tenant
		queryScratch  query
	}
)

// WithGrace sets the time that an evicted job has to save a checkpoint: urgent
// if it makes way for an urgent job, and grace otherwise.
func WithGrace(grace, urgent time.Duration) Option {
	return func(c *Config) {
		c.Grace = grace
		c.UrgentGrace = urgent
	}
}

// WithReservations sets the number of waiting jobs that hold a reservation.
func WithReservations(reservations int) Option {
	return func(c *Config) { c.Reservations = reservations }
}

// New returns a policy that keeps the guarantees of accounts, lends their unused
// capacity to other jobs, reclaims it when it is needed, and reserves places for
// the jobs that have waited longest.
func New(options ...Option) Policy {
	config := Config{
		Grace:        DefaultGrace,
		UrgentGrace:  DefaultUrgentGrace,
		Reservations: DefaultReservations,
		ReportLag:    DefaultReportLag,
		Quarantine:   DefaultQuarantine,
		RestoreWait:  DefaultRestoreWait,
	}
	for _, option := range options {
		option(&config)
	}
	return &policy{
		config:       config,
		floor:        newFloorState(),
		tenantOf:     make(map[account.Name]*tenant),
		jobs:         make(map[job.ID]*jobEntry),
		shapeGroupOf: make(map[floor.Shape]*shapeGroup),
		lanes:        make(map[laneKey]*lane),
		freed:        1,
		changes:      1,
	}
}

func (p *policy) Decide(now time.Time) []Decision {
	p.advanceClock(now)
	due := !p.wake.IsZero() && !now.Before(p.wake)
	if p.decidedAt == p.changes && !due {
		return nil
	}
	p.decisions = nil
	p.handleDeadlines()
	p.enforceBudgets()
	if p.rebindDue {
		p.rebindGuarantees()
	}
	p.startPending()
	p.claimAll()
	p.startUrgent()
	p.startBorrowed()
	p.reserveOldest()
	p.reclaimForWaiting()
	p.decidedAt = p.changes
	p.wake = p.nextWake()
	return p.decisions
}

func (p *policy) Wake() time.Time {
	return p.wake
}

// advanceClock sets the current time. The time never goes back.
func (p *policy) advanceClock(now time.Time) {
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	if now.After(p.now) {
		p.now = now
	}
}

// handleDeadlines tells jobs that have overrun their grace to stop at once,
// ends back-offs and quarantines, and reviews reservations.
func (p *policy) handleDeadlines() {
	for _, t := range p.leaving {
		if !p.now.Before(t.deadline) {
			t.deadline = p.now.Add(max(p.config.Grace, time.Second))
			p.addDecision(Reclaim{Job: t.ID})
		}
	}
	p.backoff = slices.DeleteFunc(p.backoff, func(t *jobEntry) bool {
		if p.now.Before(t.notBefore) {
			return false
		}
		p.enqueue(t)
		return true
	})
	p.endQuarantines()
	p.reviewReservations()
}

func (p *policy) addDecision(decision Decision) {
	p.decisions = append(p.decisions, decision)
}

// noteFreed records that capacity may have become free for a waiting job.
func (p *policy) noteFreed() {
	p.freed++
	p.changes++
}

func (p *policy) nextWake() time.Time {
	var wake time.Time
	wakeAt := func(at time.Time) {
		if !at.IsZero() && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	for _, t := range p.leaving {
		wakeAt(t.deadline)
	}
	for _, t := range p.backoff {
		wakeAt(t.notBefore)
	}
	for _, r := range p.reservations {
		wakeAt(r.reviewAt)
	}
	for _, w := range p.floor.quarantined {
		wakeAt(w.quarantinedUntil)
	}
	for _, b := range p.floor.budgets {
		wakeAt(b.nextStep)
	}
	if len(p.shapeGroups) > 0 {
		wakeAt(p.nextReclaim)
	}
	if p.recovering() {
		wakeAt(p.startedAt.Add(p.config.RestoreWait))
	}
	return wake
}

// recovering reports whether restored placements name workers that have not been
// added yet. Nothing is reclaimed meanwhile.
func (p *policy) recovering() bool {
	return p.floor.undescribed > 0 && p.now.Sub(p.startedAt) < p.config.RestoreWait
}
