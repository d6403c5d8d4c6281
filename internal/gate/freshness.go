package gate

import (
	"crypto/subtle"
	"errors"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/revision"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// SettingsChanged is an effect: the gate holds another revision of the
// settings, or they have become fresh or stale.
type SettingsChanged struct {
	Revision revision.Number
	Fresh    bool
}

// reportChange emits a SettingsChanged if the revision or its freshness has
// changed.
func (s *settings) reportChange(now time.Time) {
	current := SettingsChanged{Revision: s.revision(), Fresh: s.fresh(now)}
	if current != s.lastReported {
		s.lastReported = current
		s.gate.emit(current)
	}
}

// fresh reports whether the settings may be applied to new work.
func (s *settings) fresh(now time.Time) bool {
	return s.register.Fresh(now, SettingsMaxAge) || s.newestDuringOutage(now)
}

// newestDuringOutage reports whether no newer revision can have been accepted:
// the table does not answer, so that no change can be made, and no other gate
// has reported a newer revision. A gate that reaches none of the other gates
// cannot know that.
func (s *settings) newestDuringOutage(now time.Time) bool {
	return s.readFailed && s.register.HasValue() && !s.register.Behind() && s.exchange.reachable(now)
}

// acceptsRevision reports whether the leader may accept new work from a gate
// that holds a revision: the leader's settings are fresh and at least as new.
func (s *settings) acceptsRevision(now time.Time, number revision.Number) bool {
	s.observe(now, number)
	return number <= s.revision() && s.fresh(now)
}

// refuseIfStale replies to a submission while the settings are stale, and
// reports whether it did. The refusal of a non-idempotent job is made durable,
// so that a copy of the request at another gate cannot run.
func (s *settings) refuseIfStale(now time.Time, event machine.Event) bool {
	e, ok := event.(Submit)
	if !ok || s.fresh(now) {
		return false
	}
	r := &request{
		id:           e.Request,
		job:          e.ID,
		account:      e.Spec.Account,
		submit:       &wire.Submit{ID: e.ID, Spec: e.Spec, BodyDigest: e.BodyDigest},
		tablePending: true,
		deadline:     now,
		waitUntil:    e.Wait,
	}
	handler := s.gate.handler
	handler.track(r)
	if e.Spec.Idempotent {
		handler.unavailable(r, "the settings are not confirmed to be the newest")
		return true
	}
	record := refusedRecord(now, *r.submit, "the settings are not confirmed to be the newest")
	txn, err := refusalTransaction(s.gate.config.Region, record)
	if err != nil {
		handler.reply(r, job.Record{}, err)
		return true
	}
	s.gate.store.Commit(txn, func(result machine.StoreResult) {
		var conflict *table.ConflictError
		switch {
		case result.Err == nil:
			handler.reply(r, record, nil)
		case errors.As(result.Err, &conflict):
			handler.lookup(now, r)
		default:
			handler.reply(r, job.Record{}, &UnavailableError{Reason: "neither the settings nor the job can be read now", Ran: job.MayHaveRun})
		}
	})
	return true
}

// checkToken returns an error unless the token is one of the account's. The
// comparison takes constant time, so that its duration reveals nothing about
// the token.
func (s *settings) checkToken(name account.Name, token account.TokenHash) error {
	if !s.register.HasValue() {
		return &UnavailableError{Reason: "the accounts are not loaded yet", Ran: job.MayHaveRun}
	}
	a, ok := s.accounts[name]
	if !ok {
		return &DeniedError{Account: name}
	}
	for _, t := range a.Tokens {
		if subtle.ConstantTimeCompare([]byte(t), []byte(token)) == 1 {
			return nil
		}
	}
	return &DeniedError{Account: name}
}
