// Package lease implements leader election on a transactional table. A lease is
// one row of the table; each new holder gets a higher epoch, which serves as a
// fencing token.
//
// Clocks of different processes are never compared. The holder renews the lease by
// rewriting the row. A challenger acquires the lease once the row has stayed
// unchanged for the lease term by the challenger's own clock. Only time in which
// the table answers counts, so that an outage of the table does not make the
// holder look dead. A former holder that was paused may still act as the holder;
// processes that take orders from a holder must therefore reject epochs below the
// highest they have seen.
//
// A second row, the guard, changes only with the epoch. A holder adds the check
// that Guard returns to its own transactions, so that none of them commits after a
// later epoch has begun.
package lease

import (
	"encoding/json"
	"time"

	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// DefaultTerm is how long the row must stay unchanged before a challenger
	// acquires the lease.
	DefaultTerm = 4 * time.Second

	// DefaultRenewal is the time between two renewals by the holder, and between
	// two reads by a challenger.
	DefaultRenewal = time.Second
)

type (
	// Epoch numbers the successive holders of a lease and serves as a fencing
	// token. It increases with each acquisition. Zero means that there was no
	// holder yet.
	Epoch uint64

	// Lease is the content of the row of a lease. Holder is empty after a
	// resignation. Renewals increases with each write that a node attempts, so that
	// each renewal changes the row and no two attempts have the same content.
	Lease struct {
		Holder   machine.Node `json:"holder"`
		Epoch    Epoch        `json:"epoch"`
		Renewals uint64       `json:"beat"`
	}

	// Config holds the settings of an Elector. The options of the same names
	// describe them.
	Config struct {
		Term    time.Duration
		Renewal time.Duration
		Changed func(current Lease, held bool)
		Log     func(Event)

		// AcquireDelay returns the extra time that the node waits before it acquires
		// a lease that is free or has expired.
		AcquireDelay func() time.Duration
	}

	// Option sets one field of a Config.
	Option func(*Config)

	// Elector acquires, renews and releases one lease on behalf of one node. It
	// is a deterministic state machine: its owner calls Tick and carries out the
	// effects of the machine.Store. It is not safe for concurrent use.
	Elector struct {
		config       Config
		key          table.Key
		node         machine.Node
		store        *machine.Store
		lease        Lease
		version      table.Version
		guardVersion table.Version
		confirmedAt  time.Time
		unchangedFor time.Duration
		writeSentAt  time.Time
		renewedAt    time.Time
		nextTick     time.Time
		held         bool
		inFlight     bool
		resigned     bool

		// lastProposed is Renewals of the last write that this node attempted.
		lastProposed uint64

		// mayBeReleased reports that a release of the known version of the row was
		// sent and may be durable, or become so.
		mayBeReleased bool
	}
)

// WithTerm sets how long the row must stay unchanged before a challenger acquires
// the lease.
func WithTerm(term time.Duration) Option {
	return func(c *Config) { c.Term = term }
}

// WithRenewal sets the time between two renewals by the holder, and between two
// reads by a challenger.
func WithRenewal(renewal time.Duration) Option {
	return func(c *Config) { c.Renewal = renewal }
}

// WithChanged sets a callback for changes of the holder or the epoch. It gets the
// lease and whether this node holds it.
func WithChanged(changed func(current Lease, held bool)) Option {
	return func(c *Config) { c.Changed = changed }
}

// WithAcquireDelay sets a function that returns the extra time this node waits before
// it acquires a lease that is free or has expired, so that better suited nodes
// acquire it first.
func WithAcquireDelay(delay func() time.Duration) Option {
	return func(c *Config) { c.AcquireDelay = delay }
}

// NewElector returns an elector for the lease in the row key. The guard is in the
// row key + "/epoch".
func NewElector(key table.Key, node machine.Node, store *machine.Store, options ...Option) *Elector {
	config := Config{
		Term:         DefaultTerm,
		Renewal:      DefaultRenewal,
		Changed:      func(Lease, bool) {},
		Log:          func(Event) {},
		AcquireDelay: func() time.Duration { return 0 },
	}
	for _, option := range options {
		option(&config)
	}
	return &Elector{config: config, key: key, node: node, store: store}
}

// Lease returns the last known state of the lease and whether this node holds it.
func (e *Elector) Lease() (Lease, bool) {
	return e.lease, e.held
}

// Tick starts a renewal, read or acquisition of the lease if one is due, and
// returns when to call Tick again.
func (e *Elector) Tick(now time.Time) time.Time {
	if e.inFlight || now.Before(e.nextTick) {
		return e.nextTick
	}
	e.nextTick = now.Add(e.config.Renewal)
	switch {
	case e.resigned && e.lease.Holder == e.node && e.version != table.Absent:
		e.release()
	case e.resigned:
		e.read()
	case e.held, e.mayAcquire():
		e.write()
	default:
		e.read()
	}
	return e.nextTick
}

// Guard returns a check for the holder's transactions that fails once a later
// epoch has begun.
func (e *Elector) Guard() table.Check {
	return table.Check{Key: e.guardKey(), Version: e.guardVersion}
}

// Resign releases the lease, if it is held, and stops the elector from acquiring
// it again. The node keeps holding the lease until it knows that the release is
// durable, but the lease is not valid while the release may be.
func (e *Elector) Resign(now time.Time) {
	e.resigned = true
	e.nextTick = now
	e.Tick(now)
}

// Confirmed returns when the known state of the lease was last read from the table,
// written to it, or raised by Observe.
func (e *Elector) Confirmed() time.Time {
	return e.confirmedAt
}

// Valid reports whether this node holds the lease and no challenger can have
// acquired it yet: the last successful renewal was sent less than a term ago, and no
// release has been sent that may be durable.
func (e *Elector) Valid(now time.Time) bool {
	return e.held && !e.mayBeReleased && now.Sub(e.renewedAt) < e.config.Term
}

// Released reports whether this node neither holds the lease nor is named in its row
// as the holder.
func (e *Elector) Released() bool {
	return !e.held && e.lease.Holder != e.node
}

// StepDown makes this node stop acting as the holder for good in this epoch. Unless it
// has resigned, its next Tick tries to acquire the lease again with a higher epoch.
// StepDown has no effect on a node that does not hold the lease.
func (e *Elector) StepDown(now time.Time) {
	if !e.held {
		return
	}
	e.nextTick = now
	e.held = false
	e.log(SteppedDown, e.lease, nil)
	e.config.Changed(e.lease, false)
}

// Observe records a lease that another process has seen. A holder with a lower
// epoch stops acting as the holder.
func (e *Elector) Observe(now time.Time, seen Lease) {
	if seen.Epoch <= e.lease.Epoch {
		return
	}
	e.nextTick = now
	e.log(NewerObserved, seen, nil)
	e.update(seen, table.Absent)
}

// mayAcquire reports whether this node may acquire the lease. A row that names the node
// itself was written by a former incarnation of it, or before it stepped down, and may
// be replaced at once.
func (e *Elector) mayAcquire() bool {
	if e.confirmedAt.IsZero() {
		return false
	}
	switch e.lease.Holder {
	case e.node:
		return true
	case "":
		return e.unchangedFor >= e.config.AcquireDelay()
	}
	return e.unchangedFor >= e.config.Term+e.config.AcquireDelay()
}

func (e *Elector) read() {
	e.inFlight = true
	e.store.Read([]table.Key{e.key, e.guardKey()}, func(result machine.StoreResult) {
		e.inFlight = false
		e.applyRead(result)
	})
}

func (e *Elector) applyRead(result machine.StoreResult) {
	if result.Err != nil {
		return
	}
	stored, version, guard, ok := e.decodeRows(result.Rows)
	if !ok {
		return
	}
	e.guardVersion = guard
	e.update(stored, version)
}

// decodeRows returns the lease, and the versions of its row and of the guard. It
// returns false if the lease cannot be decoded.
func (e *Elector) decodeRows(rows []table.Row) (stored Lease, version, guard table.Version, ok bool) {
	for _, row := range rows {
		switch row.Key {
		case e.key:
			version = row.Version
			if json.Unmarshal(row.Value, &stored) != nil {
				return Lease{}, 0, 0, false
			}
		case e.guardKey():
			guard = row.Version
		}
	}
	return stored, version, guard, true
}

// update sets the known state of the lease. Each unchanged read counts towards the
// term with at most one renewal interval, so that time in which the table did not
// answer is left out.
func (e *Elector) update(current Lease, version table.Version) {
	now := e.store.Now()
	if e.confirmedAt.IsZero() || version != e.version || current != e.lease {
		e.unchangedFor = 0
	} else {
		e.unchangedFor += min(now.Sub(e.confirmedAt), e.config.Renewal)
	}
	e.confirmedAt = now
	before, held := e.lease, e.held
	e.mayBeReleased = e.mayBeReleased && version == e.version
	e.lease, e.version = current, version
	e.held = e.held && current.Holder == e.node && current.Epoch == before.Epoch
	if e.held != held || before.Holder != current.Holder || before.Epoch != current.Epoch {
		e.config.Changed(e.lease, e.held)
	}
}

func (e *Elector) guardKey() table.Key {
	return e.key + "/epoch"
}
