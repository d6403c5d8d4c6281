// Package lease elects one holder at a time for a name by means of one row of
// the table, and gives each holder an epoch that orders it after all former
// holders.
//
// No clock is compared across processes. A challenger takes the lease over only
// after the row has not changed for the term on the challenger's own clock. A
// former holder that is paused may still believe that it holds the lease, so
// whoever obeys a holder must refuse epochs below the highest that it has seen.
package lease

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// DefaultTerm is how long a row must stay unchanged before a challenger
	// takes the lease over.
	DefaultTerm = 6 * time.Second

	// DefaultRenewal is the time between two renewals of the holder, and between
	// two reads of a challenger.
	DefaultRenewal = 2 * time.Second
)

type (
	// Epoch orders the holders of a lease. Zero is before the first holder.
	Epoch uint64

	// Lease is what is known of a lease.
	Lease struct {
		Holder machine.Node `json:"holder"`
		Epoch  Epoch        `json:"epoch"`
		Beat   uint64       `json:"beat"`
	}

	// Config holds the times of an Elector.
	Config struct {
		Term    time.Duration
		Renewal time.Duration
		Changed func(current Lease, held bool)
	}

	// Option sets a field of a Config.
	Option func(*Config)

	// Elector campaigns for one lease on behalf of one node.
	Elector struct {
		config   Config
		key      table.Key
		node     machine.Node
		store    *machine.Store
		lease    Lease
		version  table.Version
		seen     time.Time
		next     time.Time
		held     bool
		busy     bool
		resigned bool
	}
)

// WithTerm sets the time without change after which the lease is taken over.
func WithTerm(term time.Duration) Option {
	return func(c *Config) { c.Term = term }
}

// WithRenewal sets the time between two renewals.
func WithRenewal(renewal time.Duration) Option {
	return func(c *Config) { c.Renewal = renewal }
}

// WithChanged sets a function that is called when the holder or the epoch
// changes, with the lease and whether this node holds it.
func WithChanged(changed func(current Lease, held bool)) Option {
	return func(c *Config) { c.Changed = changed }
}

// NewElector returns an elector for the lease kept in the row key.
func NewElector(key table.Key, node machine.Node, store *machine.Store, options ...Option) *Elector {
	config := Config{
		Term:    DefaultTerm,
		Renewal: DefaultRenewal,
		Changed: func(Lease, bool) {},
	}
	for _, option := range options {
		option(&config)
	}
	return &Elector{config: config, key: key, node: node, store: store}
}

// Lease returns what is known of the lease and whether this node holds it.
func (e *Elector) Lease() (Lease, bool) {
	return e.lease, e.held
}

// Tick renews, reads or takes over the lease when that is due, and returns the
// time at which it is to be called again.
func (e *Elector) Tick(now time.Time) time.Time {
	if e.busy || now.Before(e.next) {
		return e.next
	}
	e.next = now.Add(e.config.Renewal)
	switch {
	case e.resigned && !e.held:
		e.read(now)
	case e.held, e.expired(now):
		e.write(now)
	default:
		e.read(now)
	}
	return e.next
}

// Resign gives the lease up, if it is held, and stops campaigning for it.
func (e *Elector) Resign(now time.Time) {
	e.resigned = true
	if !e.held {
		return
	}
	e.next = now
	e.held = false
	vacant := Lease{Epoch: e.lease.Epoch, Beat: e.lease.Beat + 1}
	e.commit(vacant, func(machine.Stored) {})
	e.observe(now, vacant, e.version)
}

// Observe takes note of an epoch that another process has seen. A holder with a
// lower epoch ceases to hold the lease.
func (e *Elector) Observe(now time.Time, seen Lease) {
	if seen.Epoch <= e.lease.Epoch {
		return
	}
	e.next = now
	e.observe(now, seen, table.Absent)
}

func (e *Elector) expired(now time.Time) bool {
	if e.seen.IsZero() {
		return false
	}
	if e.lease.Holder == "" || e.lease.Holder == e.node {
		return true
	}
	return now.Sub(e.seen) >= e.config.Term
}

func (e *Elector) read(now time.Time) {
	e.busy = true
	e.store.Read([]table.Key{e.key}, func(result machine.Stored) {
		e.busy = false
		e.accept(now, result)
	})
}

func (e *Elector) accept(now time.Time, result machine.Stored) {
	if result.Err != nil {
		return
	}
	if len(result.Rows) == 0 {
		e.observe(now, Lease{}, table.Absent)
		return
	}
	row := result.Rows[0]
	var stored Lease
	if json.Unmarshal(row.Value, &stored) != nil {
		return
	}
	e.observe(now, stored, row.Version)
}

// observe takes over what the row holds. Reading the unchanged row again does
// not extend the lease.
func (e *Elector) observe(now time.Time, current Lease, version table.Version) {
	if e.seen.IsZero() || version != e.version || current != e.lease {
		e.seen = now
	}
	before, held := e.lease, e.held
	e.lease, e.version = current, version
	e.held = e.held && current.Holder == e.node && current.Epoch == before.Epoch
	if e.held != held || before.Holder != current.Holder || before.Epoch != current.Epoch {
		e.config.Changed(e.lease, e.held)
	}
}

func (e *Elector) write(now time.Time) {
	wanted := Lease{Holder: e.node, Epoch: e.lease.Epoch, Beat: e.lease.Beat + 1}
	if !e.held {
		wanted.Epoch++
	}
	e.busy = true
	e.commit(wanted, func(result machine.Stored) {
		e.busy = false
		e.settle(now, wanted, result)
	})
}

func (e *Elector) commit(wanted Lease, done func(machine.Stored)) {
	value, err := json.Marshal(wanted)
	if err != nil {
		return
	}
	e.store.Commit(table.Txn{
		Checks: []table.Check{{Key: e.key, Version: e.version}},
		Writes: []table.Write{{Key: e.key, Value: value}},
	}, done)
}

func (e *Elector) settle(now time.Time, wanted Lease, result machine.Stored) {
	var rejected *table.RejectedError
	switch {
	case result.Err == nil:
		e.taken(now, wanted, result.Rows[0].Version)
	case errors.As(result.Err, &rejected):
		return
	default:
		e.readBack(now, wanted)
	}
}

// readBack finds out whether a write took effect whose answer was lost.
func (e *Elector) readBack(now time.Time, wanted Lease) {
	e.busy = true
	e.store.Read([]table.Key{e.key}, func(result machine.Stored) {
		e.busy = false
		if result.Err == nil && len(result.Rows) == 1 {
			var stored Lease
			if json.Unmarshal(result.Rows[0].Value, &stored) == nil && stored == wanted {
				e.taken(now, wanted, result.Rows[0].Version)
				return
			}
		}
		e.accept(now, result)
	})
}

func (e *Elector) taken(now time.Time, current Lease, version table.Version) {
	before, held := e.lease, e.held
	e.lease, e.version, e.held, e.seen = current, version, !e.resigned, now
	if !held || before.Epoch != current.Epoch {
		e.config.Changed(e.lease, e.held)
	}
}
