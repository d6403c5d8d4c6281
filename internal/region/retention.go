package region

import (
	"time"

	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// DefaultRetention is how long the rows of a job are kept after its end at
	// least: much longer than copies of a submission stay under way.
	DefaultRetention = 10 * time.Minute

	// keepFactor is how much longer rows of ended jobs are kept than their states
	// are to be told, for copies of submissions that are still under way.
	keepFactor = 5

	// rowsPerJob is how many rows a job may have: its own, its record and its
	// cancellation.
	rowsPerJob = 3
)

// Retention returns how long the rows of a job are kept after its end, if its state
// is to be told for some time.
func Retention(told time.Duration) time.Duration {
	return max(DefaultRetention, keepFactor*told)
}

// WithRetention sets how long the rows of a job are kept after its end.
func WithRetention(retention time.Duration) Option {
	return func(c *Config) { c.Retention = retention }
}

// expire adds the removal of ended jobs to a batch that has room for it. The rows
// go only as the leader knows them.
func (c *Core) expire(b *Batch) {
	for _, j := range c.past {
		if c.now.Sub(j.ended) < c.config.Retention || len(b.Txn.Writes)+rowsPerJob > maxBatch {
			return
		}
		key := JobPrefix + table.Key(j.Job.ID)
		b.expired = append(b.expired, j)
		b.Txn.Checks = append(b.Txn.Checks, table.Check{Key: key, Version: j.stored}, j.row.check())
		b.Txn.Writes = append(b.Txn.Writes, table.Write{Key: key, Delete: true}, table.Write{Key: j.row.key, Delete: true})
		if j.revoked {
			b.Txn.Writes = append(b.Txn.Writes, table.Write{Key: CancelPrefix + table.Key(j.Job.ID), Delete: true})
		}
	}
}

// forget drops the ended jobs of a batch. Those whose rows were not removed, since
// another process has changed one, are left to the next leader.
func (c *Core) forget(b *Batch, removed bool) {
	if len(b.expired) == 0 {
		return
	}
	c.past = c.past[len(b.expired):]
	if !removed {
		c.log(Line{Event: "ended jobs not removed", Count: len(b.expired)})
		return
	}
	for _, j := range b.expired {
		delete(c.jobs, j.Job.ID)
	}
	c.log(Line{Event: "ended jobs removed", Count: len(b.expired), Age: c.config.Retention})
}
