// Package entry accepts jobs of callers: it makes them durable under the
// configuration in force, and answers what callers ask about them.
package entry

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lovageroad/lovageroad/internal/configuration"
	"github.com/lovageroad/lovageroad/internal/region"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// Accepted says that the job is stored.
	Accepted Verdict = iota

	// NotRun says that the job is not stored and never will be for this request.
	NotRun

	// Unknown says that nobody can tell whether the job is stored.
	Unknown

	// Moved says that the configuration has changed and the request is to be
	// looked at again.
	Moved

	// Taken says that another account has a job of this id.
	Taken
)

const (
	// tries bounds how often a write without an answer is repeated.
	tries = 4

	// pause is the wait between two tries.
	pause = 60 * time.Millisecond

	// answerShare is the part of a caller's patience after which it gets an
	// answer in any case, so that it can still ask another gate.
	answerShare = 0.45
)

type (
	// Verdict tells what became of a request.
	Verdict int

	// Leader answers questions from the memory of the leading gate.
	Leader interface {
		// State returns the state of a job, and whether the leader knows it. ok
		// is false if no leader answered.
		State(ctx context.Context, id work.JobID) (state region.State, known, ok bool)
	}

	// Entry accepts jobs. It is safe for use by several goroutines.
	Entry struct {
		table  table.Table
		leader Leader
		holder *configuration.Holder
		config table.Key
		clock  func() time.Time
	}

	// Option sets a field of an Entry.
	Option func(*Entry)
)

// New returns an entry that stores jobs in a table and requires the row config
// to be at the version that the holder has.
func New(t table.Table, leader Leader, holder *configuration.Holder, config table.Key, options ...Option) *Entry {
	e := &Entry{table: t, leader: leader, holder: holder, config: config, clock: time.Now}
	for _, option := range options {
		option(e)
	}
	return e
}

// WithClock sets what tells the time of day at which a job is accepted.
func WithClock(clock func() time.Time) Option {
	return func(e *Entry) { e.clock = clock }
}

// Within returns a context that ends early enough for a caller that waits for an
// answer for some time to try again elsewhere. Zero is a caller that does not say.
func Within(ctx context.Context, patience time.Duration) (context.Context, context.CancelFunc) {
	if patience <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(answerShare*float64(patience)))
}

// Submit stores a job. A job that is stored already is accepted again. The
// write holds only if the configuration row is still the one that the request
// was checked by.
func (e *Entry) Submit(ctx context.Context, queue *configuration.Queue, row table.Version, j work.Job) (Verdict, error) {
	value, err := cbor.Marshal(region.Submission{
		Job: j, Pool: queue.Pool, Priority: queue.Priority,
		Attempts: queue.Attempts, Stretch: queue.Stretch, Slack: queue.Slack,
		Accepted: work.DateOf(e.clock()),
	})
	if err != nil {
		return NotRun, err
	}
	key := region.JobPrefix + table.Key(j.ID)
	txn := table.Txn{
		Checks: []table.Check{{Key: key, Version: table.Absent}, {Key: e.config, Version: row}},
		Writes: []table.Write{{Key: key, Value: value}},
	}
	return e.store(ctx, key, txn, j)
}

// store commits a submission until it is known whether it is stored. Repeating
// is safe: the row is written once only.
func (e *Entry) store(ctx context.Context, key table.Key, txn table.Txn, j work.Job) (Verdict, error) {
	doubt := false
	var last error
	for range tries {
		_, err := e.table.Commit(ctx, txn)
		var (
			conflict *table.ConflictError
			rejected *table.RejectedError
		)
		switch {
		case err == nil:
			return Accepted, nil
		case errors.As(err, &conflict) && conflict.Key == key:
			return e.verify(ctx, key, j)
		case errors.As(err, &conflict):
			if doubt {
				return e.settle(ctx, key, j)
			}
			return Moved, err
		case errors.As(err, &rejected) && !doubt:
			return NotRun, err
		case errors.As(err, &rejected):
		default:
			doubt = true
		}
		last = err
		if !wait(ctx, pause) {
			break
		}
	}
	return Unknown, last
}

// verify looks at the job that is stored under the id already.
func (e *Entry) verify(ctx context.Context, key table.Key, j work.Job) (Verdict, error) {
	rows, err := e.table.Read(ctx, []table.Key{key})
	if err != nil {
		return Accepted, nil
	}
	return owned(rows, j), nil
}

// settle finds out whether a write without an answer took effect, when it can't
// take effect any more.
func (e *Entry) settle(ctx context.Context, key table.Key, j work.Job) (Verdict, error) {
	rows, err := e.table.Read(ctx, []table.Key{key})
	switch {
	case err != nil:
		return Unknown, err
	case len(rows) == 0:
		return Moved, nil
	}
	return owned(rows, j), nil
}

func owned(rows []table.Row, j work.Job) Verdict {
	var stored region.Submission
	if len(rows) > 0 && cbor.Unmarshal(rows[0].Value, &stored) == nil && stored.Job.Account != j.Account {
		return Taken
	}
	return Accepted
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// State returns the state of a job, and false if there is certainly none.
func (e *Entry) State(ctx context.Context, id work.JobID) (region.State, bool, error) {
	if state, known, ok := e.leader.State(ctx, id); ok && known {
		return state, true, nil
	}
	keys := []table.Key{region.RecordPrefix + table.Key(id), region.JobPrefix + table.Key(id)}
	rows, err := e.table.Read(ctx, keys)
	if err != nil {
		return "", false, err
	}
	state := region.Queued
	for _, row := range rows {
		if row.Key != keys[0] {
			continue
		}
		var r region.Record
		if err := cbor.Unmarshal(row.Value, &r); err != nil {
			return "", false, err
		}
		state = r.State
	}
	return state, len(rows) > 0, nil
}

// Cancel makes the cancellation of a job durable. It returns false if there is
// certainly no such job.
func (e *Entry) Cancel(ctx context.Context, id work.JobID) (bool, error) {
	key := region.CancelPrefix + table.Key(id)
	var last error
	for range tries {
		rows, err := e.table.Read(ctx, []table.Key{region.JobPrefix + table.Key(id), key})
		if err == nil && len(rows) == 0 {
			return false, nil
		}
		if err == nil && len(rows) == 2 {
			return true, nil
		}
		if err == nil {
			txn := table.Txn{
				Checks: []table.Check{{Key: key, Version: table.Absent}},
				Writes: []table.Write{{Key: key, Value: []byte{}}},
			}
			var conflict *table.ConflictError
			_, err = e.table.Commit(ctx, txn)
			if err == nil || errors.As(err, &conflict) {
				return true, nil
			}
		}
		last = err
		if !wait(ctx, pause) {
			break
		}
	}
	return false, last
}
