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

// lookup reads the record of a request's job from the table.
func (h *requestHandler) lookup(_ time.Time, r *request) {
	region := h.gate.config.Region
	r.tablePending = true
	keys := []table.Key{endedKey(region, r.job), liveKey(region, r.job)}
	h.gate.store.Read(keys, func(result machine.StoreResult) {
		r.tablePending = false
		h.handleLookup(h.gate.now, r, result)
	})
}

// handleLookup applies the result of a lookup. If the table has no record of
// the job, the leader is asked, which may know it.
func (h *requestHandler) handleLookup(now time.Time, r *request, result machine.StoreResult) {
	if _, ok := h.requests[r.id]; !ok {
		return
	}
	if result.Err != nil {
		h.retries.Failed(now, tableNode)
		h.handleLookupError(now, r)
		return
	}
	h.retries.Succeeded(tableNode)
	for _, row := range result.Rows {
		var record job.Record
		if json.Unmarshal(row.Value, &record) == nil {
			h.answer(now, r, record)
			if r.replyDue {
				h.unavailable(r, "no leader answers")
			}
			return
		}
	}
	switch {
	case r.replyDue:
		h.unavailable(r, "no leader answers")
	case r.submit == nil && !r.notInTable:
		r.notInTable = true
		h.sendToLeader(now, r)
	}
}

// handleLookupError goes on with a request whose job could not be read from the
// table: the leader may know it.
func (h *requestHandler) handleLookupError(now time.Time, r *request) {
	switch {
	case !r.replyDue:
		r.resendAt = now.Add(h.backoff.Delay(r.tries))
		if r.submit == nil && !r.cancel {
			h.sendToLeader(now, r)
		}
	case r.accepted:
		h.reply(r, r.record, nil)
	default:
		h.unavailable(r, "neither the leader nor the table answers")
	}
}

// unavailable replies that the request cannot be carried out and that its job
// may have run.
func (h *requestHandler) unavailable(r *request, reason string) {
	h.reply(r, job.Record{}, &UnavailableError{Reason: reason, Ran: job.MayHaveRun})
}

// finishWait ends the wait of a caller whose job has not ended as far as the
// gate knows. The reply comes from the table.
func (h *requestHandler) finishWait(now time.Time, r *request) {
	r.replyDue = true
	h.lookup(now, r)
}

// expire completes a request that no leader has answered by its deadline. A
// non-idempotent job of which the table has no record is recorded as refused,
// so that it never runs. An idempotent job may have been started without a
// record, so that it cannot be refused.
func (h *requestHandler) expire(now time.Time, r *request) {
	r.replyDue = true
	if r.submit == nil || r.submit.Spec.Idempotent {
		h.lookup(now, r)
		return
	}
	record := refusedRecord(now, *r.submit, "no leader answered in time")
	txn, err := refusalTransaction(h.gate.config.Region, record)
	if err != nil {
		h.reply(r, job.Record{}, err)
		return
	}
	r.tablePending = true
	h.gate.store.Commit(txn, func(result machine.StoreResult) {
		r.tablePending = false
		var conflict *table.ConflictError
		switch {
		case result.Err == nil:
			h.reply(r, record, nil)
		case errors.As(result.Err, &conflict):
			h.lookup(now, r)
		default:
			h.unavailable(r, "neither the leader nor the table answers")
		}
	})
}

// refusedRecord returns the record of a refused job that no leader has
// accepted.
func refusedRecord(now time.Time, m wire.Submit, reason string) job.Record {
	return job.Record{
		ID:         m.ID,
		Spec:       m.Spec,
		BodyDigest: m.BodyDigest,
		State:      job.StateRefused,
		Ran:        job.NotRun,
		Reason:     reason,
		Submitted:  now,
		Ended:      now,
	}
}

// refusalTransaction returns a transaction that records a refusal unless the
// table has a record of the job already.
func refusalTransaction(region floor.RegionID, record job.Record) (table.Txn, error) {
	record.Spec.Input = nil
	value, err := json.Marshal(record)
	if err != nil {
		return table.Txn{}, err
	}
	return table.Txn{
		Checks: absentChecks(region, record.ID),
		Writes: []table.Write{{Key: endedKey(region, record.ID), Value: value}},
	}, nil
}
