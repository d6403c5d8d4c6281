// Package lease elects one holder at a time for a name by means of one row of
// the table, and gives each holder an epoch that orders it after all former
// holders.
//
// No clock is compared across processes. A challenger takes the lease over only
// after the row has not changed for the term on the challenger's own clock, and
// counts only time in which the table answered it, so that an outage of the table
// is not taken for the silence of the holder. A former holder that is paused may
// still believe that it holds the lease, so whoever obeys a holder must refuse
// epochs below the highest that it has seen.
//
// A second row changes with the epoch only. A holder adds the Guard to its
// transactions, so that none of them lands after another's epoch has begun.
package lease

import (
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// DefaultTerm is how long a row must stay unchanged before a challenger
	// takes the lease over.
	DefaultTerm = 4 * time.Second

	// DefaultRenewal is the time between two renewals of the holder, and between
	// two reads of a challenger.
	DefaultRenewal = time.Second
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

		// Handicap tells how much longer than others the node leaves a lease that
		// is free.
		Handicap func() time.Duration
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
		guard    table.Version
		seen     time.Time
		silent   time.Duration
		asked    time.Time
		valid    time.Time
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

// WithHandicap sets a function that tells how much longer than others the node
// waits before it takes a lease that is free, so that another one gets it.
func WithHandicap(handicap func() time.Duration) Option {
	return func(c *Config) { c.Handicap = handicap }
}

// NewElector returns an elector for the lease kept in the row key.
func NewElector(key table.Key, node machine.Node, store *machine.Store, options ...Option) *Elector {
	config := Config{
		Term:     DefaultTerm,
		Renewal:  DefaultRenewal,
		Changed:  func(Lease, bool) {},
		Handicap: func() time.Duration { return 0 },
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
	case e.resigned && e.lease.Holder == e.node && e.version != table.Absent:
		e.vacate()
	case e.resigned:
		e.read()
	case e.held, e.expired():
		e.write()
	default:
		e.read()
	}
	return e.next
}

// Guard returns the check that fails once another epoch has begun.
func (e *Elector) Guard() table.Check {
	return table.Check{Key: e.guardKey(), Version: e.guard}
}

// Resign gives the lease up, if it is held, and stops campaigning for it. The
// holder holds it until the table has the resignation, since until then nobody
// else can take it.
func (e *Elector) Resign(now time.Time) {
	e.resigned = true
	e.next = now
	e.Tick(now)
}

// Confirmed returns when the table last confirmed what is known of the lease.
func (e *Elector) Confirmed() time.Time {
	return e.seen
}

// Valid reports whether this node holds the lease and no challenger can have
// taken it over: the last renewal was asked for less than the term ago.
func (e *Elector) Valid(now time.Time) bool {
	return e.held && now.Sub(e.valid) < e.config.Term
}

// Vacant reports whether this node neither holds the lease nor is named as its
// holder.
func (e *Elector) Vacant() bool {
	return !e.held && e.lease.Holder != e.node
}

// Depose makes a holder cease to hold the lease and read its row again.
func (e *Elector) Depose(now time.Time) {
	if !e.held {
		return
	}
	e.next = now
	e.held = false
	e.config.Changed(e.lease, false)
}

// Observe takes note of an epoch that another process has seen. A holder with a
// lower epoch ceases to hold the lease.
func (e *Elector) Observe(now time.Time, seen Lease) {
	if seen.Epoch <= e.lease.Epoch {
		return
	}
	e.next = now
	e.observe(seen, table.Absent)
}

func (e *Elector) expired() bool {
	if e.seen.IsZero() {
		return false
	}
	switch e.lease.Holder {
	case e.node:
		return true
	case "":
		return e.silent >= e.config.Handicap()
	}
	return e.silent >= e.config.Term+e.config.Handicap()
}

func (e *Elector) read() {
	e.busy = true
	e.store.Read([]table.Key{e.key, e.guardKey()}, func(result machine.Stored) {
		e.busy = false
		e.accept(result)
	})
}

func (e *Elector) accept(result machine.Stored) {
	if result.Err != nil {
		return
	}
	stored, version, guard, ok := e.rows(result.Rows)
	if !ok {
		return
	}
	e.guard = guard
	e.observe(stored, version)
}

// rows returns what the rows of the lease hold.
func (e *Elector) rows(rows []table.Row) (stored Lease, version, guard table.Version, ok bool) {
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

// observe takes over what the row holds. Each time that it is read unchanged, at
// most a renewal counts towards the term, so that time in which the table did not
// answer does not count.
func (e *Elector) observe(current Lease, version table.Version) {
	now := e.store.Now()
	if e.seen.IsZero() || version != e.version || current != e.lease {
		e.silent = 0
	} else {
		e.silent += min(now.Sub(e.seen), e.config.Renewal)
	}
	e.seen = now
	before, held := e.lease, e.held
	e.lease, e.version = current, version
	e.held = e.held && current.Holder == e.node && current.Epoch == before.Epoch
	if e.held != held || before.Holder != current.Holder || before.Epoch != current.Epoch {
		e.config.Changed(e.lease, e.held)
	}
}

func (e *Elector) write() {
	wanted := Lease{Holder: e.node, Epoch: e.lease.Epoch, Beat: e.lease.Beat + 1}
	if !e.held {
		wanted.Epoch++
	}
	e.busy = true
	e.asked = e.store.Now()
	e.commit(wanted, !e.held, func(result machine.Stored) {
		e.busy = false
		e.settle(wanted, result)
	})
}

// vacate makes a resignation durable.
func (e *Elector) vacate() {
	vacant := Lease{Epoch: e.lease.Epoch, Beat: e.lease.Beat + 1}
	e.busy = true
	e.commit(vacant, false, func(result machine.Stored) {
		e.busy = false
		if result.Err == nil {
			e.observe(vacant, result.Rows[0].Version)
			return
		}
		e.read()
	})
}

func (e *Elector) commit(wanted Lease, begins bool, done func(machine.Stored)) {
	value, err := json.Marshal(wanted)
	if err != nil {
		return
	}
	txn := table.Txn{
		Checks: []table.Check{{Key: e.key, Version: e.version}},
		Writes: []table.Write{{Key: e.key, Value: value}},
	}
	if begins {
		epoch := strconv.FormatUint(uint64(wanted.Epoch), 10)
		txn.Writes = append(txn.Writes, table.Write{Key: e.guardKey(), Value: []byte(epoch)})
	}
	e.store.Commit(txn, done)
}

func (e *Elector) settle(wanted Lease, result machine.Stored) {
	var rejected *table.RejectedError
	switch {
	case result.Err == nil && len(result.Rows) > 1:
		e.taken(wanted, result.Rows[0].Version, result.Rows[1].Version)
	case result.Err == nil:
		e.taken(wanted, result.Rows[0].Version, e.guard)
	case errors.As(result.Err, &rejected):
		return
	default:
		e.readBack(wanted)
	}
}

// readBack finds out whether a write took effect whose answer was lost.
func (e *Elector) readBack(wanted Lease) {
	e.busy = true
	e.store.Read([]table.Key{e.key, e.guardKey()}, func(result machine.Stored) {
		e.busy = false
		if stored, version, guard, ok := e.rows(result.Rows); result.Err == nil && ok && stored == wanted {
			e.taken(wanted, version, guard)
			return
		}
		e.accept(result)
	})
}

func (e *Elector) taken(current Lease, version, guard table.Version) {
	before, held := e.lease, e.held
	e.lease, e.version, e.guard, e.held = current, version, guard, held || !e.resigned
	e.seen, e.silent = e.store.Now(), 0
	e.valid = e.asked
	if !held || before.Epoch != current.Epoch {
		e.config.Changed(e.lease, e.held)
	}
}

func (e *Elector) guardKey() table.Key {
	return e.key + "/epoch"
}
