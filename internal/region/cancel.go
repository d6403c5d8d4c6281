package region

import (
	"errors"
	"time"

	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// earlyCancelRetention is how long the cancellation of an unknown job is kept. It is
	// much longer than a transaction that stores the job can be on its way.
	earlyCancelRetention = 2 * time.Minute

	// earlyCancelEntries is the number of checks and writes by which one is removed.
	earlyCancelEntries = 3
)

// earlyCancel is the cancellation of a job that is not known: the version of its row, and
// when it arrived at this leader.
type earlyCancel struct {
	version table.Version
	since   time.Time
}

// Cancel cancels a job on behalf of its caller. version is that of the cancellation's row.
// The cancellation of an unknown job is kept, since jobs and cancellations are read
// concurrently, and since the job may be stored later.
func (c *Core) Cancel(now time.Time, id work.JobID, version table.Version) {
	j, ok := c.jobs[id]
	if !ok {
		if _, known := c.earlyCancels[id]; !known {
			c.earlyCancels[id] = earlyCancel{version: version, since: now}
			c.earlyOrder = append(c.earlyOrder, id)
		}
		return
	}
	j.hasCancelRow = true
	if !j.hasEnded() {
		c.finish(now, j, Cancelled)
	}
}

// addEarlyCancels adds the removal of old cancellations of unknown jobs to a batch, as far as
// they fit. It fails if one of the jobs has been stored.
func (c *Core) addEarlyCancels(b *Batch) {
	for len(c.earlyOrder) > 0 && len(b.Txn.Checks)+len(b.Txn.Writes)+earlyCancelEntries <= maxEntries {
		id := c.earlyOrder[0]
		cancel, ok := c.earlyCancels[id]
		if ok && c.now.Sub(cancel.since) < earlyCancelRetention {
			return
		}
		c.earlyOrder = c.earlyOrder[1:]
		if !ok {
			continue
		}
		key := CancelPrefix + table.Key(id)
		b.earlyCancels = append(b.earlyCancels, id)
		b.Txn.Checks = append(b.Txn.Checks, table.Check{Key: key, Version: cancel.version}, table.Check{Key: JobPrefix + table.Key(id), Version: table.Absent})
		b.Txn.Writes = append(b.Txn.Writes, table.Write{Key: key, Delete: true})
	}
}

// dropEarlyCancels forgets the cancellations that a batch has removed. Those of a batch that
// failed are tried again, or left to the next leader if it met a conflict.
func (c *Core) dropEarlyCancels(b *Batch, err error) {
	var conflict *table.ConflictError
	switch {
	case len(b.earlyCancels) == 0:
	case errors.As(err, &conflict):
		c.log(LogEntry{Event: "early cancellations not removed", Count: len(b.earlyCancels)})
	case err != nil:
		c.earlyOrder = append(b.earlyCancels, c.earlyOrder...)
	default:
		for _, id := range b.earlyCancels {
			delete(c.earlyCancels, id)
		}
		c.log(LogEntry{Event: "early cancellations removed", Count: len(b.earlyCancels), Age: earlyCancelRetention})
	}
}
