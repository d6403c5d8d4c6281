package region

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// DefaultRetention is the shortest time for which the rows of a job are kept
	// after its end. It is much longer than a duplicate of a submission can be in
	// flight.
	DefaultRetention = 10 * time.Minute

	// keepFactor is the multiple of the time for which callers may ask for a job's
	// state that its rows are kept, so that duplicates of a submission still in
	// flight are recognised.
	keepFactor = 5

	// rowsPerJob is how many rows a job may have: the job itself, its record and
	// its cancellation.
	rowsPerJob = 3
)

// removedJob is an ended job whose rows have been removed.
type removedJob struct {
	version table.Version
	at      time.Time
}

// Retention returns how long the rows of a job are kept after its end, given how
// long callers may ask for its state.
func Retention(stateRetention time.Duration) time.Duration {
	return max(DefaultRetention, keepFactor*stateRetention)
}

// WithRetention sets how long the rows of a job are kept after its end.
func WithRetention(retention time.Duration) Option {
	return func(c *Config) { c.Retention = retention }
}

// addExpired adds the removal of ended jobs to a batch, as far as they fit. The
// rows are removed only in the versions that the leader knows.
func (c *Core) addExpired(b *Batch) {
	for _, j := range c.endedJobs {
		if c.now.Sub(j.endedAt) < c.config.Retention || len(b.Txn.Writes)+rowsPerJob > maxBatch {
			return
		}
		key := JobPrefix + table.Key(j.Job.ID)
		b.expired = append(b.expired, j)
		b.Txn.Checks = append(b.Txn.Checks, table.Check{Key: key, Version: j.acceptedVersion}, j.row.check())
		b.Txn.Writes = append(b.Txn.Writes, table.Write{Key: key, Delete: true}, table.Write{Key: j.row.key, Delete: true})
		if j.hasCancelRow {
			b.Txn.Writes = append(b.Txn.Writes, table.Write{Key: CancelPrefix + table.Key(j.Job.ID), Delete: true})
		}
	}
}

// dropExpired drops the ended jobs of a batch. If the batch met a conflict, on
// whichever of its rows, the rows of these jobs are left to the next leader.
func (c *Core) dropExpired(b *Batch, removed bool) {
	if len(b.expired) == 0 {
		return
	}
	c.endedJobs = c.endedJobs[len(b.expired):]
	if !removed {
		c.log(LogEntry{Event: "ended jobs not removed", Count: len(b.expired)})
		return
	}
	for id, r := range c.removedJobs {
		if c.now.Sub(r.at) >= c.config.Retention {
			delete(c.removedJobs, id)
		}
	}
	for _, j := range b.expired {
		delete(c.jobs, j.Job.ID)
		c.removedJobs[j.Job.ID] = removedJob{version: j.acceptedVersion, at: c.now}
	}
	c.log(LogEntry{Event: "ended jobs removed", Count: len(b.expired), Age: c.config.Retention})
}

// wasRemoved reports whether a row of a job was read before the leader removed it.
func (c *Core) wasRemoved(id work.JobID, version table.Version) bool {
	r, ok := c.removedJobs[id]
	return ok && version <= r.version
}
