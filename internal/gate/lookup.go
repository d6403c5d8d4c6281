package gate

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// lookup reads a job from the table.
func (f *front) lookup(_ time.Time, r *request) {
	region := f.gate.config.Region
	r.settling = true
	keys := []table.Key{doneKey(region, r.job), liveKey(region, r.job)}
	f.gate.store.Read(keys, func(result machine.Stored) {
		r.settling = false
		f.found(f.gate.now, r, result)
	})
}

func (f *front) found(now time.Time, r *request, result machine.Stored) {
	if _, ok := f.requests[r.id]; !ok {
		return
	}
	if result.Err != nil {
		f.retries.Failed(now, tableNode)
		f.unread(now, r)
		return
	}
	f.retries.Succeeded(tableNode)
	for _, row := range result.Rows {
		var record job.Record
		if json.Unmarshal(row.Value, &record) == nil {
			f.answer(now, r, record)
			if r.last {
				f.unavailable(r, "no leader answers")
			}
			return
		}
	}
	switch {
	case r.last:
		f.unavailable(r, "no leader answers")
	case r.submit == nil && !r.missing:
		r.missing = true
		f.ask(now, r)
	}
}

// unread goes on with a request whose job could not be read: the leader may know.
func (f *front) unread(now time.Time, r *request) {
	switch {
	case !r.last:
		r.resend = now.Add(f.backoff.Delay(r.tries))
		if r.submit == nil && !r.cancel {
			f.ask(now, r)
		}
	case r.accepted:
		f.reply(r, r.record, nil)
	default:
		f.unavailable(r, "neither the leader nor the store answers")
	}
}

func (f *front) unavailable(r *request, reason string) {
	f.reply(r, job.Record{}, &UnavailableError{Reason: reason, Ran: job.MayHaveRun})
}

// conclude ends the wait of a caller whose job has not ended as far as the gate
// knows.
func (f *front) conclude(now time.Time, r *request) {
	r.last = true
	f.lookup(now, r)
}

// expire settles a request that no leader has answered. A job that must not run
// twice is recorded as refused, so that it never runs, unless it is known. Any
// other may have been started without a record, so nothing is said of it.
func (f *front) expire(now time.Time, r *request) {
	r.last = true
	if r.submit == nil || r.submit.Spec.Idempotent {
		f.lookup(now, r)
		return
	}
	record := refusal(now, *r.submit, "no leader answered in time")
	txn, err := createRefused(f.gate.config.Region, record)
	if err != nil {
		f.reply(r, job.Record{}, err)
		return
	}
	r.settling = true
	f.gate.store.Commit(txn, func(result machine.Stored) {
		r.settling = false
		var conflict *table.ConflictError
		switch {
		case result.Err == nil:
			f.reply(r, record, nil)
		case errors.As(result.Err, &conflict):
			f.lookup(now, r)
		default:
			f.unavailable(r, "neither the leader nor the store answers")
		}
	})
}

// refusal returns the record of a non-idempotent job that no leader has accepted.
func refusal(now time.Time, m wire.Submit, reason string) job.Record {
	return job.Record{
		ID:        m.ID,
		Spec:      m.Spec,
		Body:      m.Body,
		State:     job.StateRefused,
		Ran:       job.NotRun,
		Reason:    reason,
		Submitted: now,
		Ended:     now,
	}
}

// createRefused returns a transaction that records a refusal unless the job is
// known already.
func createRefused(region floor.RegionID, record job.Record) (table.Txn, error) {
	record.Spec.Input = nil
	value, err := json.Marshal(record)
	if err != nil {
		return table.Txn{}, err
	}
	return table.Txn{
		Checks: absent(region, record.ID),
		Writes: []table.Write{{Key: doneKey(region, record.ID), Value: value}},
	}, nil
}
