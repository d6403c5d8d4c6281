// Package entry accepts jobs of callers on behalf of a gate: it stores them
// durably, under the configuration by which they were checked, stores
// cancellations, and looks up the state of jobs.
package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/singleflight"

	"github.com/lovageroad/lovageroad/internal/configuration"
	"github.com/lovageroad/lovageroad/internal/region"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// Accepted means that the job is stored.
	Accepted Verdict = iota

	// NotStored means that the job is not stored and this request will never store
	// it.
	NotStored

	// Uncertain means that the job may or may not be stored.
	Uncertain

	// ConfigurationChanged means that the configuration has changed, so that the
	// request must be checked again. The job is not stored.
	ConfigurationChanged

	// IDTaken means that another account has a job with this ID.
	IDTaken

	// TooLarge means that the table can't store the job.
	TooLarge

	// Refused means that the job is not stored, since it can't be of value any more.
	Refused
)

const (
	// maxAttempts bounds how often the storing of a job or of a cancellation is
	// tried.
	maxAttempts = 4

	// retryDelay is the wait between two attempts.
	retryDelay = 60 * time.Millisecond

	// answerTimeShare is the share of a caller's time-out after which it gets an
	// answer in any case, so that it can still ask another gate.
	answerTimeShare = 0.45
)

type (
	// Verdict is the result of submitting a job.
	Verdict int

	// Leader answers queries from the state that the leading gate keeps in memory.
	Leader interface {
		// State returns the state of a job, and whether the leader knows it. ok
		// is false if no leader answered.
		State(ctx context.Context, id work.JobID) (state region.State, known, ok bool)
	}

	// Entry accepts jobs and looks up their states. It is safe for use by several
	// goroutines.
	Entry struct {
		table            table.Table
		leader           Leader
		holder           *configuration.Holder
		configurationKey table.Key
		clock            func() time.Time
		refreshes        singleflight.Group
	}

	// Option configures an Entry.
	Option func(*Entry)
)

// New returns an Entry that stores jobs in a table. A job is stored only while
// the row configurationKey is at the version by which its request was checked.
func New(t table.Table, leader Leader, holder *configuration.Holder, configurationKey table.Key, options ...Option) *Entry {
	e := &Entry{table: t, leader: leader, holder: holder, configurationKey: configurationKey, clock: time.Now}
	for _, option := range options {
		option(e)
	}
	return e
}

// WithClock sets the function that returns the wall-clock time, which is stored as
// the time at which a job was accepted. The default is time.Now.
func WithClock(clock func() time.Time) Option {
	return func(e *Entry) { e.clock = clock }
}

// WithCallerTimeout returns a context that ends early enough for a caller to try again at
// another gate. callerTimeout is how long the caller waits for its answer, 0 if
// it does not say.
func WithCallerTimeout(ctx context.Context, callerTimeout time.Duration) (context.Context, context.CancelFunc) {
	if callerTimeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(answerTimeShare*float64(callerTimeout)))
}

// Submit stores a job. ago is how long ago its caller first handed it in, from when its
// latency objective counts. A job that its account has stored before is accepted again.
// rowVersion is the version of the configuration's row by which the request was checked.
// The verdict is ConfigurationChanged if that row has changed since and the job is not
// stored.
func (e *Entry) Submit(ctx context.Context, queue *configuration.Queue, rowVersion table.Version, j work.Job, ago time.Duration) (Verdict, error) {
	value, err := cbor.Marshal(region.Submission{
		Job: j, Pool: queue.Pool, Priority: queue.Priority,
		MaxFailures: queue.MaxFailures, ObjectiveFactor: queue.ObjectiveFactor, ObjectiveAllowance: queue.ObjectiveAllowance,
		AcceptedAt: work.TimestampOf(e.clock().Add(-ago)),
	})
	if err != nil {
		return NotStored, err
	}
	key := region.JobPrefix + table.Key(j.ID)
	txn := table.Txn{
		Checks: []table.Check{{Key: key, Version: table.Absent}, {Key: e.configurationKey, Version: rowVersion}},
		Writes: []table.Write{{Key: key, Value: value}},
	}
	return e.commit(ctx, key, txn, j)
}

// commit tries to commit a submission until it is known whether it is stored.
// After maxAttempts or at the end of the context the verdict is Uncertain.
// Retrying is safe, since the transaction requires that the row does not exist
// yet.
func (e *Entry) commit(ctx context.Context, key table.Key, txn table.Txn, j work.Job) (Verdict, error) {
	mayBeStored := false
	var lastErr error
	for range maxAttempts {
		_, err := e.table.Commit(ctx, txn)
		var (
			conflict *table.ConflictError
			rejected *table.RejectedError
		)
		switch {
		case err == nil:
			return Accepted, nil
		case errors.As(err, &conflict) && conflict.Key == key:
			return e.checkExisting(ctx, key, j)
		case errors.As(err, &conflict):
			if mayBeStored {
				return e.resolveUncertain(ctx, key, j)
			}
			return ConfigurationChanged, err
		case errors.As(err, &rejected) && rejected.Invalid:
			return TooLarge, err
		case errors.As(err, &rejected) && !mayBeStored:
			return NotStored, err
		case errors.As(err, &rejected):
			// An earlier attempt may have stored the job.
		default:
			mayBeStored = true
		}
		lastErr = err
		if !sleep(ctx, retryDelay) {
			break
		}
	}
	return Uncertain, lastErr
}

// checkExisting checks whether the job that is already stored under the ID
// belongs to the same account. It returns Accepted also if the row can't be
// read.
func (e *Entry) checkExisting(ctx context.Context, key table.Key, j work.Job) (Verdict, error) {
	rows, err := e.table.Read(ctx, []table.Key{key})
	if err != nil {
		return Accepted, nil
	}
	return ownerVerdict(rows, j), nil
}

// Stored returns whether a row says that a job has been accepted, and then Accepted, or
// IDTaken if it is another account's.
func (e *Entry) Stored(ctx context.Context, j work.Job) (Verdict, bool, error) {
	rows, err := e.table.Read(ctx, []table.Key{region.JobPrefix + table.Key(j.ID)})
	if err != nil || len(rows) == 0 {
		return NotStored, false, err
	}
	return ownerVerdict(rows, j), true, nil
}

// resolveUncertain finds out whether a write with an uncertain outcome took
// effect. It is called once the configuration's row has changed, so that the
// write can't take effect any more.
func (e *Entry) resolveUncertain(ctx context.Context, key table.Key, j work.Job) (Verdict, error) {
	rows, err := e.table.Read(ctx, []table.Key{key})
	switch {
	case err != nil:
		return Uncertain, err
	case len(rows) == 0:
		return ConfigurationChanged, nil
	}
	return ownerVerdict(rows, j), nil
}

// ownerVerdict returns IDTaken if the stored job belongs to another account than
// j, and Accepted otherwise, also if the row can't be decoded.
func ownerVerdict(rows []table.Row, j work.Job) Verdict {
	var stored region.Submission
	if len(rows) > 0 && cbor.Unmarshal(rows[0].Value, &stored) == nil && stored.Job.Account != j.Account {
		return IDTaken
	}
	return Accepted
}

// sleep waits for the given time. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// State returns the state of a job, and false if there is certainly no such
// job. It asks the leader and, if the leader does not answer or know the job,
// reads the table, in which a running job is still queued.
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

// Cancel stores the cancellation of a job and returns whether the job is stored. It stores
// the cancellation of an unknown job, too, since a transaction that stores the job may take
// effect later. It returns the last error if no attempt succeeded.
func (e *Entry) Cancel(ctx context.Context, id work.JobID) (bool, error) {
	key, jobKey := region.CancelPrefix+table.Key(id), region.JobPrefix+table.Key(id)
	var lastErr error
	for range maxAttempts {
		rows, err := e.table.Read(ctx, []table.Key{jobKey, key})
		if err == nil {
			known := hasRow(rows, jobKey)
			if hasRow(rows, key) {
				return known, nil
			}
			txn := table.Txn{
				Checks: []table.Check{{Key: key, Version: table.Absent}},
				Writes: []table.Write{{Key: key, Value: []byte{}}},
			}
			if _, err = e.table.Commit(ctx, txn); err == nil {
				return known, nil
			}
		}
		lastErr = err
		if !sleep(ctx, retryDelay) {
			break
		}
	}
	return false, lastErr
}

// hasRow reports whether one of the rows has a key.
func hasRow(rows []table.Row, key table.Key) bool {
	return slices.ContainsFunc(rows, func(row table.Row) bool { return row.Key == key })
}
