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

// SettingsChanged is an effect: the gate holds another revision, or its settings
// have become fresh or stale.
type SettingsChanged struct {
	Revision revision.Number
	Fresh    bool
}

// report reports a change of the revision held or of its freshness.
func (d *directory) report(now time.Time) {
	current := SettingsChanged{Revision: d.revision(), Fresh: d.fresh(now)}
	if current != d.reported {
		d.reported = current
		d.gate.emit(current)
	}
}

// fresh reports whether the settings may be applied to new work.
func (d *directory) fresh(now time.Time) bool {
	return d.register.Fresh(now, SettingsBound) || d.undisputed(now)
}

// undisputed reports whether no newer revision can have been accepted: the table
// does not answer, and no gate that can be asked has more. A gate that can ask
// none of the others cannot know that.
func (d *directory) undisputed(now time.Time) bool {
	return d.failing && d.register.Known() && !d.register.Behind() && d.gates.reachable(now)
}

// admits reports whether the leader may take new work from a gate that holds a
// revision.
func (d *directory) admits(now time.Time, number revision.Number) bool {
	d.observe(now, number)
	return number <= d.revision() && d.fresh(now)
}

// refuses replies to a submission that comes while the settings are not known to
// be fresh. The refusal is made durable, so that a copy of the request at another
// gate cannot run.
func (d *directory) refuses(now time.Time, event machine.Event) bool {
	e, ok := event.(Submit)
	if !ok || d.fresh(now) {
		return false
	}
	r := &request{
		id:       e.Request,
		job:      e.ID,
		account:  e.Spec.Account,
		submit:   &wire.Submit{ID: e.ID, Spec: e.Spec, Body: e.Body},
		settling: true,
		deadline: now,
		wait:     e.Wait,
	}
	front := d.gate.front
	front.hold(r)
	if e.Spec.Idempotent {
		front.unavailable(r, "the settings are not known to be the newest")
		return true
	}
	record := refusal(now, *r.submit, "the settings are not known to be the newest")
	txn, err := createRefused(d.gate.config.Region, record)
	if err != nil {
		front.reply(r, job.Record{}, err)
		return true
	}
	d.gate.store.Commit(txn, func(result machine.Stored) {
		var conflict *table.ConflictError
		switch {
		case result.Err == nil:
			front.reply(r, record, nil)
		case errors.As(result.Err, &conflict):
			front.lookup(now, r)
		default:
			front.reply(r, job.Record{}, &UnavailableError{Reason: "neither the settings nor the job can be read now", Ran: job.MayHaveRun})
		}
	})
	return true
}

// check returns an error unless the token is one of the account's.
func (d *directory) check(name account.Name, token account.TokenHash) error {
	if !d.register.Known() {
		return &UnavailableError{Reason: "the accounts are not known yet", Ran: job.MayHaveRun}
	}
	a, ok := d.accounts[name]
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
