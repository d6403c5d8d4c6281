package gate

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// DefaultTickInterval is the interval of periodic work.
	DefaultTickInterval = 250 * time.Millisecond

	// DefaultAcceptTimeout bounds the time until a job is accepted or refused.
	DefaultAcceptTimeout = 10 * time.Second

	// DefaultResendInterval is the time after which an unanswered message is sent
	// again.
	DefaultResendInterval = 500 * time.Millisecond

	// DefaultWatchInterval is the interval at which a gate asks the leader again for
	// the jobs that its callers wait for.
	DefaultWatchInterval = 5 * time.Second

	// DefaultAgentTimeout is the time after which an agent is considered lost
	// that leaves orders unanswered, or that has not announced itself to a new
	// leader.
	DefaultAgentTimeout = 15 * time.Second

	// DefaultReserveTimeout bounds the time in which all members of a job must
	// be reserved.
	DefaultReserveTimeout = 3 * time.Second

	// DefaultStopTimeout bounds the time in which all members of a job must
	// stop, after their grace for a checkpoint.
	DefaultStopTimeout = time.Minute

	// DefaultMaxFailures is the number of failed attempts after which an
	// idempotent job fails, whatever the cause. The policy fails it sooner if
	// it attributes the failures to the job.
	DefaultMaxFailures = scheduler.MaxFailures

	// DefaultEndedJobTTL is how long a leader keeps the record of an ended job in
	// memory.
	DefaultEndedJobTTL = 10 * time.Minute

	// DefaultRetention is how long the table keeps the record of an ended job,
	// and so how long its idempotency key is known.
	DefaultRetention = 24 * time.Hour

	// DefaultTableTimeout is the time without an answer of the table after which a
	// leader considers it unavailable and goes on without it.
	DefaultTableTimeout = time.Second

	// DefaultMaxWriteRate is the number of rows per second that a leader writes,
	// and the largest burst of rows.
	DefaultMaxWriteRate = 150

	// DefaultMaxBatch is the number of jobs written in one transaction.
	DefaultMaxBatch = 50

	// DefaultMaxRequests is the number of callers' requests that may be open at
	// one gate.
	DefaultMaxRequests = 10_000

	// DefaultAccountShare is the fraction of the open requests that one account
	// may have.
	DefaultAccountShare = 0.25

	// DefaultShutdownTimeout bounds a graceful shutdown.
	DefaultShutdownTimeout = 20 * time.Second
)

type (
	// Config holds the settings of a gate. The constants Default* describe the
	// fields that have a default.
	Config struct {
		Region          floor.RegionID
		Seed            uint64
		TickInterval    time.Duration
		AcceptTimeout   time.Duration
		ResendInterval  time.Duration
		WatchInterval   time.Duration
		AgentTimeout    time.Duration
		ReserveTimeout  time.Duration
		StopTimeout     time.Duration
		MaxFailures     int
		EndedJobTTL     time.Duration
		Rate            rate.Limit
		Burst           int
		Retention       time.Duration
		TableTimeout    time.Duration
		MaxWriteRate    int
		MaxBatch        int
		MaxRequests     int
		AccountShare    float64
		ShutdownTimeout time.Duration
		Lease           []lease.Option
		Policy          func() scheduler.Policy
		Gates           []machine.Node
	}

	// Option sets a field of a Config.
	Option func(*Config)
)

// WithSeed sets the seed of the retry jitter. Gates need different seeds.
func WithSeed(seed uint64) Option {
	return func(c *Config) { c.Seed = seed }
}

// WithLease adds options for the elector of the region's lease.
func WithLease(options ...lease.Option) Option {
	return func(c *Config) { c.Lease = append(c.Lease, options...) }
}

// WithPolicy sets the constructor of the scheduling policy, called each time
// this gate begins to lead.
func WithPolicy(policy func() scheduler.Policy) Option {
	return func(c *Config) { c.Policy = policy }
}

// WithRetention sets how long the leader keeps an ended job in memory, and how
// long the table keeps its record.
func WithRetention(endedJobTTL, retention time.Duration) Option {
	return func(c *Config) { c.EndedJobTTL, c.Retention = endedJobTTL, retention }
}

// WithRequests sets the number of requests that may be open at a gate, and the
// fraction of them that one account may have.
func WithRequests(limit int, share float64) Option {
	return func(c *Config) { c.MaxRequests, c.AccountShare = limit, share }
}

// WithWrites sets the rows per second that a leader writes, and the number of
// jobs in one transaction.
func WithWrites(rows, batch int) Option {
	return func(c *Config) { c.MaxWriteRate, c.MaxBatch = rows, batch }
}

// WithShutdownTimeout sets the time-out of a graceful shutdown.
func WithShutdownTimeout(timeout time.Duration) Option {
	return func(c *Config) { c.ShutdownTimeout = timeout }
}

func defaults(region floor.RegionID) Config {
	return Config{
		Region:          region,
		TickInterval:    DefaultTickInterval,
		AcceptTimeout:   DefaultAcceptTimeout,
		ResendInterval:  DefaultResendInterval,
		WatchInterval:   DefaultWatchInterval,
		AgentTimeout:    DefaultAgentTimeout,
		ReserveTimeout:  DefaultReserveTimeout,
		StopTimeout:     DefaultStopTimeout,
		MaxFailures:     DefaultMaxFailures,
		EndedJobTTL:     DefaultEndedJobTTL,
		Rate:            DefaultRate,
		Burst:           DefaultBurst,
		Retention:       DefaultRetention,
		TableTimeout:    DefaultTableTimeout,
		MaxWriteRate:    DefaultMaxWriteRate,
		MaxBatch:        DefaultMaxBatch,
		MaxRequests:     DefaultMaxRequests,
		AccountShare:    DefaultAccountShare,
		ShutdownTimeout: DefaultShutdownTimeout,
		Policy:          func() scheduler.Policy { return scheduler.New() },
	}
}
