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
	// maxBatchBytes is the size of the records in one transaction after which it
	// takes no more of them.
	maxBatchBytes = 1 << 20

	operationCommit operation = "commit"
	operationRead   operation = "read"
	operationScan   operation = "scan"
)

type (
	// operation names a kind of store operation, for its backoff.
	operation string

	// writer writes the records of a leader's jobs in the order in which they
	// changed: many in one transaction, and one transaction at a time.
	writer struct {
		leader *leader
		queue  []*entry
		batch  []write
		busy   bool
		began  time.Time
		tokens float64
		filled time.Time
		retry  *retry.Group[operation]
	}

	// write is one record as it is being written. It is in doubt while nobody
	// knows whether the write took effect.
	write struct {
		entry   *entry
		written job.Record
	}
)

func newWriter(l *leader) *writer {
	return &writer{
		leader: l,
		tokens: float64(l.gate.config.MaxWrites),
		filled: l.gate.now,
		retry:  retry.NewGroup[operation](retry.WithJitter(l.gate.random.Float64)),
	}
}

// save writes the record of a job. Its function saved is called once the record
// as it stands is durable.
func (l *leader) save(e *entry) {
	e.durable = false
	if e.queued {
		return
	}
	e.queued = true
	l.writer.queue = append(l.writer.queue, e)
}

// stalled reports whether the store has not answered for so long that the leader
// goes on without it.
func (w *writer) stalled(now time.Time) bool {
	g := w.leader.gate
	return g.health.down(now, g.config.StoreSlow) || (w.busy && now.Sub(w.began) >= g.config.StoreSlow)
}

// idle reports whether all records are durable.
func (w *writer) idle() bool {
	return !w.busy && len(w.queue) == 0 && len(w.batch) == 0
}

// flush issues what is due: the settling of writes in doubt, or else the next
// transaction.
func (w *writer) flush(now time.Time) {
	switch {
	case w.busy:
	case len(w.batch) > 0 && w.retry.Ready(now, operationRead):
		w.settle()
	case len(w.batch) == 0 && len(w.queue) > 0 && w.retry.Ready(now, operationCommit):
		w.commit(now)
	}
}

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
		e.queued = false
		added, err := w.leader.transaction(e)
		if err != nil || e.dropped || e.durable {
			continue
		}
		size += len(added.Writes[0].Value)
		w.tokens -= float64(len(added.Writes))
		txn.Checks = append(txn.Checks, added.Checks...)
		txn.Writes = append(txn.Writes, added.Writes...)
		w.batch = append(w.batch, write{entry: e, written: e.record})
		e.issued = true
	}
	w.queue = w.queue[taken:]
	if len(w.batch) == 0 {
		return
	}
	w.begin(now)
	w.leader.gate.store.Commit(txn, func(result machine.Stored) { w.committed(result) })
}

func (w *writer) refill(now time.Time) {
	rate := float64(w.leader.gate.config.MaxWrites)
	w.tokens = min(rate, w.tokens+rate*now.Sub(w.filled).Seconds())
	w.filled = now
}

func (w *writer) begin(now time.Time) {
	w.busy = true
	w.began = now
}

// end takes note that an operation has ended. It returns false if the leader
// that asked for it leads no more.
func (w *writer) end() bool {
	w.busy = false
	return w.leader.gate.leader == w.leader
}

func (w *writer) committed(result machine.Stored) {
	if !w.end() {
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
		w.putBack(nil)
	case errors.As(result.Err, &conflict):
		w.conflict(now, conflict.Key)
	default:
		w.retry.Failed(now, operationCommit)
		for _, b := range w.batch {
			b.entry.doubt = true
		}
		w.settle()
	}
}

func (w *writer) confirmAll(now time.Time, version table.Version) {
	batch := w.batch
	w.batch = nil
	for _, b := range batch {
		w.leader.confirm(now, b.entry, b.written, version)
	}
}

// conflict settles the record whose row another process has written, and keeps
// the others for the next transaction. A conflict with the lease means that
// another leader has begun.
func (w *writer) conflict(now time.Time, key table.Key) {
	if key == w.leader.gate.elector.Guard().Key {
		w.leader.gate.elector.Depose(now)
		return
	}
	region := w.leader.gate.config.Region
	for _, b := range w.batch {
		if id := b.entry.record.ID; key == liveKey(region, id) || key == doneKey(region, id) {
			w.putBack(b.entry)
			w.batch = []write{b}
			w.settle()
			return
		}
	}
	w.putBack(nil)
}

// putBack puts the records of a transaction that had no effect before all others,
// except one.
func (w *writer) putBack(except *entry) {
	var back []*entry
	for _, b := range w.batch {
		if b.entry == except {
			continue
		}
		b.entry.issued = b.entry.doubt
		if !b.entry.queued {
			b.entry.queued = true
			back = append(back, b.entry)
		}
	}
	w.batch = nil
	w.queue = append(back, w.queue...)
}

// settle finds out which writes in doubt took effect, by reading their rows.
func (w *writer) settle() {
	region := w.leader.gate.config.Region
	var keys []table.Key
	for _, b := range w.batch {
		keys = append(keys, doneKey(region, b.entry.record.ID), liveKey(region, b.entry.record.ID))
	}
	w.begin(w.leader.gate.now)
	w.leader.gate.store.Read(keys, func(result machine.Stored) { w.settled(result) })
}

func (w *writer) settled(result machine.Stored) {
	if !w.end() {
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
		row, ok := rows[doneKey(region, b.entry.record.ID)]
		if !ok {
			row = rows[liveKey(region, b.entry.record.ID)]
		}
		w.leader.compare(now, b, row)
	}
}

func (l *leader) transaction(e *entry) (table.Txn, error) {
	region := l.gate.config.Region
	id := e.record.ID
	value, err := json.Marshal(e.record)
	if err != nil {
		return table.Txn{}, err
	}
	txn := table.Txn{Checks: []table.Check{{Key: liveKey(region, id), Version: e.version}}}
	if e.version == table.Absent {
		txn.Checks = absent(region, id)
	}
	if !e.record.State.Final() {
		txn.Writes = []table.Write{{Key: liveKey(region, id), Value: value}}
		return txn, nil
	}
	txn.Writes = []table.Write{{Key: doneKey(region, id), Value: value}}
	if e.version != table.Absent {
		txn.Writes = append(txn.Writes, table.Write{Key: liveKey(region, id), Delete: true})
	}
	return txn, nil
}

func absent(region floor.RegionID, id job.ID) []table.Check {
	return []table.Check{
		{Key: liveKey(region, id), Version: table.Absent},
		{Key: doneKey(region, id), Version: table.Absent},
	}
}
