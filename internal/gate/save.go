package gate

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// save writes the record of a job. Its function saved is called once the record
// as it stands is durable.
func (l *leader) save(now time.Time, e *entry) {
	e.durable = false
	if e.writing {
		return
	}
	written := e.record
	txn, err := l.transaction(e)
	if err != nil {
		return
	}
	e.writing = true
	l.gate.store.Commit(txn, func(result machine.Stored) {
		e.writing = false
		if l.gate.leader == l {
			l.written(now, e, written, result)
		}
	})
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

// written settles a write. One whose answer was lost, or that met another
// version, is settled by reading the rows back.
func (l *leader) written(now time.Time, e *entry, written job.Record, result machine.Stored) {
	var rejected *table.RejectedError
	switch {
	case result.Err == nil:
		l.confirm(now, e, written, result.Rows[0].Version)
	case errors.As(result.Err, &rejected):
		e.retry = now.Add(l.gate.config.Resend)
	default:
		l.readBack(now, e, written)
	}
}

func (l *leader) confirm(now time.Time, e *entry, written job.Record, version table.Version) {
	e.version = version
	if !same(written, e.record) {
		l.save(now, e)
		return
	}
	e.durable = true
	if saved := e.saved; saved != nil {
		e.saved = nil
		saved(now)
	}
	l.report(e)
}

func (l *leader) readBack(now time.Time, e *entry, written job.Record) {
	region := l.gate.config.Region
	id := e.record.ID
	e.writing = true
	l.gate.store.Read([]table.Key{doneKey(region, id), liveKey(region, id)}, func(result machine.Stored) {
		e.writing = false
		if l.gate.leader != l {
			return
		}
		if result.Err != nil {
			e.retry = now.Add(l.gate.config.Resend)
			e.writing = false
			l.retryRead(now, e, written)
			return
		}
		l.compare(now, e, written, result.Rows)
	})
}

// retryRead reads back once more after a pause.
func (l *leader) retryRead(now time.Time, e *entry, written job.Record) {
	l.readBack(now, e, written)
}

// compare finds out from the rows whether a write took effect.
func (l *leader) compare(now time.Time, e *entry, written job.Record, rows []table.Row) {
	if len(rows) == 0 {
		e.retry = now
		return
	}
	var stored job.Record
	if json.Unmarshal(rows[0].Value, &stored) != nil {
		return
	}
	switch {
	case same(stored, written):
		l.confirm(now, e, written, rows[0].Version)
	case rows[0].Version == e.version:
		e.retry = now
	default:
		l.adopt(now, e, stored, rows[0].Version)
	}
}

// adopt takes over a record that another process wrote.
func (l *leader) adopt(now time.Time, e *entry, stored job.Record, version table.Version) {
	if !stored.State.Final() {
		l.gate.elector.Resign(now)
		return
	}
	l.policy.Remove(now, e.record.ID, outcomeOf(stored))
	e.record = stored
	e.version = version
	e.durable = true
	e.ended = now
	e.saved = nil
	l.report(e)
}

// finish ends a job.
func (l *leader) finish(now time.Time, e *entry, state job.State, ran job.Ran, reason string) {
	e.record.State = state
	e.record.Ran = ran
	e.record.Reason = reason
	e.record.Ended = now
	e.record.Spec.Input = nil
	e.ended = now
	l.policy.Remove(now, e.record.ID, outcomeOf(e.record))
	l.gate.observeEnd(e.record)
	l.save(now, e)
}

func same(x, y job.Record) bool {
	return x.State == y.State && x.Attempt == y.Attempt && x.Epoch == y.Epoch
}

func absent(region floor.RegionID, id job.ID) []table.Check {
	return []table.Check{
		{Key: liveKey(region, id), Version: table.Absent},
		{Key: doneKey(region, id), Version: table.Absent},
	}
}
