package region

import (
	"errors"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// maxBatch is the largest number of rows in a transaction of the leader, without
	// that of the run-time statistics. With its checks a transaction stays below the
	// table service's limit of 100 entries.
	maxBatch = 45

	// maxEntries is the largest number of checks and writes without those of the run-time
	// statistics: the table service's limit is 100.
	maxEntries = 98

	// maxBatchBytes is the number of bytes of all rows in a transaction above which no
	// further one is added. With the largest record and in base64 it stays below the
	// table service's limit of 1 MB.
	maxBatchBytes = 400 << 10

	// refusedRowRetry is the back-off of a row that the table service can't accept.
	refusedRowRetry = 5 * time.Second
)

type (
	// Batch is a transaction of the leader, with the state that becomes durable by
	// it. A record is written only over the version that the leader knows, so that
	// a write whose answer was lost can't overwrite a later one if it takes effect
	// late.
	Batch struct {
		Txn table.Txn

		// jobs are those whose records the batch writes, lastChanges the numbers of
		// their last changes in it, and states their states in it.
		jobs        []*job
		lastChanges []uint64
		states      []State
		workers     []*worker

		// bytes is the size of the records.
		bytes int

		// parts are the numbers of further rows of these records.
		parts []int

		// samples is the number of learned run times that the batch makes durable,
		// 0 if it does not write the run-time statistics.
		samples     uint64
		runTimesRow *trackedRow

		// speeds is the number of changes to the speeds that the batch makes durable, 0 if it
		// does not write them.
		speeds    uint64
		speedsRow *trackedRow

		// expired are ended jobs whose rows the batch removes, earlyCancels unknown jobs whose
		// cancellations it removes.
		expired      []*job
		earlyCancels []work.JobID
	}

	// trackedRow is the leader's knowledge of a table row that it writes.
	trackedRow struct {
		key     table.Key
		version table.Version

		// versionUnknown says that the row's version must be read again, since a
		// batch with the row met a conflict. This happens if an earlier write whose
		// outcome was uncertain has taken effect after all.
		versionUnknown bool

		// refusedUntil is until when the row is not written, since the table service
		// could not accept it by itself. It is zero if that has not happened.
		refusedUntil time.Time
	}
)

// Batch returns the next transaction to commit, or nil if there is nothing to write
// or a batch is in flight. The caller commits it and passes the outcome to BatchDone.
func (c *Core) Batch() *Batch {
	if c.committing {
		return nil
	}
	b := &Batch{Txn: table.Txn{Checks: []table.Check{c.epochCheck}}}
	limit := maxBatch
	if c.singleRows > 0 {
		limit = 1
	}
	for _, w := range c.sortedWorkers() {
		if w.hasRow() == w.mayRun() && !w.writingRow || !c.mayWrite(&w.row) || len(b.Txn.Writes) >= limit {
			continue
		}
		b.workers = append(b.workers, w)
		b.Txn.Checks = append(b.Txn.Checks, w.row.check())
		b.Txn.Writes = append(b.Txn.Writes, table.Write{Key: w.row.key, Value: []byte{}, Delete: !w.mayRun()})
		w.writingRow, w.keepingRow = true, w.mayRun()
	}
	for _, j := range c.liveJobs {
		if j.durableChange >= j.lastChange || !c.mayWrite(&j.row) || len(b.Txn.Writes) >= limit || b.bytes >= maxBatchBytes {
			continue
		}
		if !j.row.refusedUntil.IsZero() {
			if len(b.Txn.Writes) > 0 {
				continue
			}
			limit = 1
		}
		record, err := j.encodeRecord(c.config.RowBytes)
		if err != nil {
			c.log(LogEntry{Event: "record not encoded", Job: j.Job.ID, Outcome: err.Error()})
			continue
		}
		writes := record.writes(j)
		if len(b.Txn.Checks)+len(b.Txn.Writes)+1+len(writes) > maxEntries {
			continue
		}
		b.bytes += record.size()
		b.parts = append(b.parts, len(record.parts))
		j.parts = max(j.parts, len(record.parts))
		b.jobs = append(b.jobs, j)
		b.lastChanges = append(b.lastChanges, j.lastChange)
		b.states = append(b.states, j.state)
		b.Txn.Checks = append(b.Txn.Checks, j.row.check())
		b.Txn.Writes = append(b.Txn.Writes, writes...)
	}
	if limit > 1 {
		c.addExpired(b)
		c.addEarlyCancels(b)
	}
	if len(b.Txn.Writes) == 0 {
		c.singleRows = 0
		return nil
	}
	if limit > 1 {
		c.saveRunTimes(b)
		c.saveSpeeds(b)
	}
	c.committing = true
	return b
}

// mayWrite reports whether a row may be written now.
func (c *Core) mayWrite(row *trackedRow) bool {
	return !row.versionUnknown && !c.now.Before(row.refusedUntil)
}

// onInvalid makes the next batches hold one row each after one that the table service can't
// accept, so that the rows that it can accept are written. A row that is refused by itself
// is tried again after a back-off.
func (c *Core) onInvalid(b *Batch) {
	rows := b.rows()
	if n := len(rows) + len(b.expired) + len(b.earlyCancels); n > 1 {
		c.singleRows = n
		return
	}
	for _, row := range rows {
		row.refusedUntil = c.now.Add(refusedRowRetry)
		c.log(LogEntry{Event: "row refused", Detail: string(row.key), Count: b.bytes})
	}
}

// BatchDone applies the outcome of committing a batch. It returns false if a later
// epoch has begun, so that this leader must stop.
func (c *Core) BatchDone(b *Batch, version table.Version, err error) bool {
	c.committing = false
	c.singleRows = max(c.singleRows-1, 0)
	var (
		conflict *table.ConflictError
		rejected *table.RejectedError
	)
	if errors.As(err, &conflict) && conflict.Key == c.epochCheck.Key {
		return false
	}
	c.dropEarlyCancels(b, err)
	if err != nil {
		if errors.As(err, &rejected) && rejected.Invalid {
			c.onInvalid(b)
		}
		for _, row := range b.rows() {
			row.versionUnknown = conflict != nil
		}
		if conflict != nil {
			c.dropExpired(b, false)
		}
		if !c.writeFailed {
			c.writeFailed = true
			c.log(LogEntry{Event: "records not written", Outcome: err.Error(), Count: len(b.Txn.Writes)})
		}
		return true
	}
	if c.writeFailed {
		c.writeFailed = false
		c.log(LogEntry{Event: "records written again", Count: len(b.Txn.Writes)})
	}
	for _, row := range b.rows() {
		row.version, row.refusedUntil = version, time.Time{}
	}
	for _, w := range b.workers {
		if !w.keepingRow {
			w.row.version = table.Absent
		}
	}
	c.dropExpired(b, true)
	for _, w := range b.workers {
		w.writingRow = false
		c.replan = true
	}
	c.savedSamples = max(c.savedSamples, b.samples)
	c.savedSpeeds = max(c.savedSpeeds, b.speeds)
	for i, j := range b.jobs {
		j.durableChange = b.lastChanges[i]
		j.parts = b.parts[i]
		j.durableState = b.states[i]
	}
	c.acknowledgeResults()
	c.pruneEnded()
	return true
}

// rows returns the tracked rows that the batch writes, in the order of its writes,
// without those of expired jobs.
func (b *Batch) rows() []*trackedRow {
	rows := make([]*trackedRow, 0, len(b.Txn.Writes))
	for _, w := range b.workers {
		rows = append(rows, &w.row)
	}
	for _, j := range b.jobs {
		rows = append(rows, &j.row)
	}
	if b.samples > 0 {
		rows = append(rows, b.runTimesRow)
	}
	if b.speeds > 0 {
		rows = append(rows, b.speedsRow)
	}
	return rows
}

func (r *trackedRow) check() table.Check {
	return table.Check{Key: r.key, Version: r.version}
}

// UnknownVersions returns the keys of the rows whose versions must be read again. The
// caller reads these rows and calls SetVersions.
func (c *Core) UnknownVersions() []table.Key {
	var keys []table.Key
	for _, row := range c.trackedRows() {
		if row.versionUnknown {
			keys = append(keys, row.key)
		}
	}
	return keys
}

// SetVersions sets the versions of the rows with the given keys. A key without a row is
// absent from the table.
func (c *Core) SetVersions(keys []table.Key, rows []table.Row) {
	versions := make(map[table.Key]table.Version, len(rows))
	for _, row := range rows {
		versions[row.Key] = row.Version
	}
	for _, row := range c.trackedRows() {
		if slices.Contains(keys, row.key) {
			row.version, row.versionUnknown = versions[row.key], false
		}
	}
}

// trackedRows returns all rows that the leader may have to write.
func (c *Core) trackedRows() []*trackedRow {
	var rows []*trackedRow
	for _, w := range c.sortedWorkers() {
		rows = append(rows, &w.row)
	}
	for _, j := range c.liveJobs {
		rows = append(rows, &j.row)
	}
	return append(rows, &c.runTimesRow, &c.speedsRow)
}
