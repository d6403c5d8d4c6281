package gate

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/retry"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// maxBatchBytes is the size of the records in one transaction at which no
	// further record is added.
	maxBatchBytes = 1 << 20

	operationCommit operation = "commit"
	operationRead   operation = "read"
	operationScan   operation = "scan"
)

type (
	// operation is a kind of table operation. Each kind has its own back-off.
	operation string

	// writer writes the records of a leader's jobs in the order in which they
	// changed, with many records in a transaction and one transaction at a
	// time. startedAt is when the operation in flight began. A token bucket
	// limits the rows written per second. batch holds the records of the
	// transaction in flight, or those to be read back because the transaction
	// may have taken effect.
	writer struct {
		leader     *leader
		queue      []*jobEntry
		batch      []pendingWrite
		busy       bool
		startedAt  time.Time
		tokens     float64
		refilledAt time.Time
		retry      *retry.Group[operation]
	}

	// pendingWrite is the record of a job as it is being written.
	pendingWrite struct {
		entry   *jobEntry
		written job.Record
	}
)

func newWriter(l *leader) *writer {
	return &writer{
		leader:     l,
		tokens:     float64(l.gate.config.MaxWriteRate),
		refilledAt: l.gate.now,
		retry:      retry.NewGroup[operation](retry.WithJitter(l.gate.random.Float64)),
	}
}

// save queues the record of a job for writing. The job's onDurable function is
// called once the record as it stands is durable.
func (l *leader) save(e *jobEntry) {
	e.durable = false
	if e.writeQueued {
		return
	}
	e.writeQueued = true
	l.writer.queue = append(l.writer.queue, e)
}

// tableUnavailable reports whether the table has not answered for TableTimeout, so
// that the leader goes on without it.
func (w *writer) tableUnavailable(now time.Time) bool {
	g := w.leader.gate
	return g.health.down(now, g.config.TableTimeout) || (w.busy && now.Sub(w.startedAt) >= g.config.TableTimeout)
}

// idle reports whether all records are written.
func (w *writer) idle() bool {
	return !w.busy && len(w.queue) == 0 && len(w.batch) == 0
}

// flush begins the next operation, if none is in flight: it reads uncertain
// writes back, or else commits the next transaction.
func (w *writer) flush(now time.Time) {
	switch {
	case w.busy:
	case len(w.batch) > 0 && w.retry.Ready(now, operationRead):
		w.readBack()
	case len(w.batch) == 0 && len(w.queue) > 0 && w.retry.Ready(now, operationCommit):
		w.commit(now)
	}
}

// commit writes the next records of the queue in one transaction, as far as its
// bounds and the token bucket permit.
func (w *writer) commit(now time.Time) {
	w.refill(now)
	if w.tokens < 1 {
		return
	}
	txn := table.Txn{Checks: []table.Check{w.leader.gate.elector.Guard()}}
	size := 0
	taken := 0
	for _, e := range w.queue {
		if len(w.batch) >= w.leader.gate.config.MaxBatch || size >= maxBatchBytes || w.tokens < 1 {
			break
		}
		taken++
		e.writeQueued = false
		added, err := w.leader.transaction(e)
		if err != nil || e.dropped || e.durable {
			continue
		}
		size += len(added.Writes[0].Value)
		w.tokens -= float64(len(added.Writes))
		txn.Checks = append(txn.Checks, added.Checks...)
		txn.Writes = append(txn.Writes, added.Writes...)
		w.batch = append(w.batch, pendingWrite{entry: e, written: e.record})
		e.writeIssued = true
	}
	w.queue = w.queue[taken:]
	if len(w.batch) == 0 {
		return
	}
	w.startOperation(now)
	w.leader.gate.store.Commit(txn, func(result machine.StoreResult) { w.handleCommit(result) })
}

// refill adds tokens for the time since the last refill.
func (w *writer) refill(now time.Time) {
	rate := float64(w.leader.gate.config.MaxWriteRate)
	w.tokens = min(rate, w.tokens+rate*now.Sub(w.refilledAt).Seconds())
	w.refilledAt = now
}

func (w *writer) startOperation(now time.Time) {
	w.busy = true
	w.startedAt = now
}

// finishOperation records that an operation has ended. It returns false if its
// leader no longer leads.
func (w *writer) finishOperation() bool {
	w.busy = false
	return w.leader.gate.leader == w.leader
}

// handleCommit handles the result of a transaction. One that was certainly
// rejected is repeated, a conflict is resolved, and an uncertain one is read
// back.
func (w *writer) handleCommit(result machine.StoreResult) {
	if !w.finishOperation() {
		return
	}
	now := w.leader.gate.now
	var (
		rejected *table.RejectedError
		conflict *table.ConflictError
	)
	switch {
	case result.Err == nil:
		w.retry.Succeeded(operationCommit)
		w.confirmAll(now, result.Rows[0].Version)
	case errors.As(result.Err, &rejected):
		w.retry.Failed(now, operationCommit)
		w.requeueBatch(nil)
	case errors.As(result.Err, &conflict):
		w.resolveConflict(now, conflict.Key)
	default:
		w.retry.Failed(now, operationCommit)
		for _, b := range w.batch {
			b.entry.writeUncertain = true
		}
		w.readBack()
	}
}

func (w *writer) confirmAll(now time.Time, version table.Version) {
	batch := w.batch
	w.batch = nil
	for _, b := range batch {
		w.leader.confirmWrite(now, b.entry, b.written, version)
	}
}

// resolveConflict reads back the record whose row another process has written,
// and returns the others to the queue. A conflict on the lease's row shows that
// another leader was elected.
func (w *writer) resolveConflict(now time.Time, key table.Key) {
	if key == w.leader.gate.elector.Guard().Key {
		w.leader.gate.elector.StepDown(now)
		return
	}
	region := w.leader.gate.config.Region
	for _, b := range w.batch {
		if id := b.entry.record.ID; key == liveKey(region, id) || key == endedKey(region, id) {
			w.requeueBatch(b.entry)
			w.batch = []pendingWrite{b}
			w.readBack()
			return
		}
	}
	w.requeueBatch(nil)
}

// requeueBatch returns the records of a transaction that had no effect, except
// one, to the front of the queue.
func (w *writer) requeueBatch(except *jobEntry) {
	var requeued []*jobEntry
	for _, b := range w.batch {
		if b.entry == except {
			continue
		}
		b.entry.writeIssued = b.entry.writeUncertain
		if !b.entry.writeQueued {
			b.entry.writeQueued = true
			requeued = append(requeued, b.entry)
		}
	}
	w.batch = nil
	w.queue = append(requeued, w.queue...)
}

// readBack reads the rows of uncertain writes, to find out which took effect.
func (w *writer) readBack() {
	region := w.leader.gate.config.Region
	var keys []table.Key
	for _, b := range w.batch {
		keys = append(keys, endedKey(region, b.entry.record.ID), liveKey(region, b.entry.record.ID))
	}
	w.startOperation(w.leader.gate.now)
	w.leader.gate.store.Read(keys, func(result machine.StoreResult) { w.handleReadBack(result) })
}

// handleReadBack resolves the uncertain writes from the rows that were read.
func (w *writer) handleReadBack(result machine.StoreResult) {
	if !w.finishOperation() {
		return
	}
	now := w.leader.gate.now
	if result.Err != nil {
		w.retry.Failed(now, operationRead)
		return
	}
	w.retry.Succeeded(operationRead)
	rows := make(map[table.Key]table.Row, len(result.Rows))
	for _, row := range result.Rows {
		rows[row.Key] = row
	}
	batch := w.batch
	w.batch = nil
	region := w.leader.gate.config.Region
	for _, b := range batch {
		row, ok := rows[endedKey(region, b.entry.record.ID)]
		if !ok {
			row = rows[liveKey(region, b.entry.record.ID)]
		}
		w.leader.resolveWrite(now, b, row)
	}
}

// transaction returns the checks and writes for the record of a job. A job that
// ends moves from its live row to its ended row.
func (l *leader) transaction(e *jobEntry) (table.Txn, error) {
	region := l.gate.config.Region
	id := e.record.ID
	value, err := json.Marshal(e.record)
	if err != nil {
		return table.Txn{}, err
	}
	txn := table.Txn{Checks: []table.Check{{Key: liveKey(region, id), Version: e.version}}}
	if e.version == table.Absent {
		txn.Checks = absentChecks(region, id)
	}
	if !e.record.State.Final() {
		txn.Writes = []table.Write{{Key: liveKey(region, id), Value: value}}
		return txn, nil
	}
	txn.Writes = []table.Write{{Key: endedKey(region, id), Value: value}}
	if e.version != table.Absent {
		txn.Writes = append(txn.Writes, table.Write{Key: liveKey(region, id), Delete: true})
	}
	return txn, nil
}

// absentChecks returns the checks that the table has no record of a job.
func absentChecks(region floor.RegionID, id job.ID) []table.Check {
	return []table.Check{
		{Key: liveKey(region, id), Version: table.Absent},
		{Key: endedKey(region, id), Version: table.Absent},
	}
}
