package gate

import (
	"cmp"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

type (
	// front holds callers' requests until each has its reply.
	front struct {
		gate     *Gate
		limiter  *limiter
		requests map[RequestID]*request
	}

	request struct {
		id       RequestID
		job      job.ID
		account  account.Name
		submit   *wire.Submit
		cancel   bool
		accepted bool
		settling bool
		sent     bool
		deadline time.Time
		wait     time.Time
		resend   time.Time
	}
)

func newFront(g *Gate) *front {
	return &front{gate: g, limiter: newLimiter(g.config), requests: make(map[RequestID]*request)}
}

func (f *front) request(now time.Time, event machine.Event) {
	if err := f.denied(now, event); err != nil || f.gate.directory.refuses(now, event) {
		return
	}
	switch e := event.(type) {
	case Submit:
		f.add(now, &request{
			id:      e.Request,
			job:     e.ID,
			account: e.Spec.Account,
			submit:  &wire.Submit{ID: e.ID, Spec: e.Spec, Body: e.Body, Revision: f.gate.directory.revision()},
			wait:    e.Wait,
		})
	case Lookup:
		r := &request{id: e.Request, job: e.ID, account: e.Account, accepted: true, wait: e.Wait}
		f.requests[r.id] = r
		r.deadline = now.Add(f.gate.config.AcceptTimeout)
		f.lookup(now, r)
	case Cancel:
		f.add(now, &request{id: e.Request, job: e.ID, account: e.Account, cancel: true})
	case Abandon:
		delete(f.requests, e.Request)
	}
}

// denied replies to a request whose token does not open its account.
func (f *front) denied(now time.Time, event machine.Event) error {
	switch e := event.(type) {
	case Submit:
		return f.deny(now, e.Request, e.Spec.Account, e.Token)
	case Lookup:
		return f.deny(now, e.Request, e.Account, e.Token)
	case Cancel:
		return f.deny(now, e.Request, e.Account, e.Token)
	default:
		return nil
	}
}

func (f *front) deny(now time.Time, id RequestID, name account.Name, token account.TokenHash) error {
	err := f.gate.directory.check(name, token)
	if err == nil {
		err = f.limiter.check(now, name)
	}
	if err != nil {
		f.gate.observeError("", err)
		f.gate.emit(Reply{Request: id, Err: err})
	}
	return err
}

func (f *front) add(now time.Time, r *request) {
	r.deadline = now.Add(f.gate.config.AcceptTimeout)
	f.requests[r.id] = r
	f.ask(now, r)
}

// ask sends the request to the leader, as often as it takes.
func (f *front) ask(now time.Time, r *request) {
	r.resend = now.Add(f.gate.config.Resend)
	leader, _ := f.gate.elector.Lease()
	if leader.Holder == "" {
		return
	}
	switch {
	case r.cancel:
		f.gate.send(leader.Holder, wire.Cancel{ID: r.job, Account: r.account})
	case r.submit != nil && !r.accepted:
		r.sent = true
		f.gate.send(leader.Holder, *r.submit)
	default:
		f.gate.send(leader.Holder, wire.Watch{Jobs: []job.ID{r.job}})
	}
}

func (f *front) tick(now time.Time) {
	for _, r := range f.list() {
		switch {
		case r.settling:
		case r.accepted && !r.wait.IsZero() && !now.Before(r.wait):
			f.lookup(now, r)
		case !r.accepted && !now.Before(r.deadline):
			f.expire(now, r)
		case !now.Before(r.resend):
			f.ask(now, r)
		}
	}
}

// status takes the leader's word on a job to all requests for it.
func (f *front) status(now time.Time, m wire.Status) {
	for _, r := range f.list() {
		if r.job != m.Record.ID || r.settling {
			continue
		}
		if !m.Known {
			f.lookup(now, r)
			continue
		}
		f.answer(now, r, m.Record)
	}
}

// answer gives the reply, or waits on if the caller waits for the end.
func (f *front) answer(now time.Time, r *request, record job.Record) {
	if record.Spec.Account != r.account {
		f.reply(r, job.Record{}, &UnknownJobError{ID: r.job})
		return
	}
	if r.submit != nil && record.Body != r.submit.Body {
		f.reply(r, job.Record{}, &MismatchError{ID: r.job})
		return
	}
	if record.State.Final() || !now.Before(r.wait) {
		f.reply(r, record, nil)
		return
	}
	r.accepted = true
}

// lookup reads a job from the table.
func (f *front) lookup(now time.Time, r *request) {
	region := f.gate.config.Region
	r.settling = true
	keys := []table.Key{doneKey(region, r.job), liveKey(region, r.job)}
	f.gate.store.Read(keys, func(result machine.Stored) {
		r.settling = false
		f.found(now, r, result)
	})
}

func (f *front) found(now time.Time, r *request, result machine.Stored) {
	if _, ok := f.requests[r.id]; !ok {
		return
	}
	if result.Err != nil {
		f.unavailable(now, r)
		return
	}
	for _, row := range result.Rows {
		var record job.Record
		if json.Unmarshal(row.Value, &record) == nil {
			f.answer(now, r, record)
			return
		}
	}
	if r.submit == nil {
		f.reply(r, job.Record{}, &UnknownJobError{ID: r.job})
	}
}

func (f *front) unavailable(now time.Time, r *request) {
	if now.Before(r.deadline) || now.Before(r.wait) {
		f.ask(now, r)
		return
	}
	f.reply(r, job.Record{}, &UnavailableError{Reason: "the job's state cannot be read now", Ran: job.MayHaveRun})
}

// expire settles a submission that no leader has answered: it makes certain that
// the job never runs, or finds out that it was accepted.
func (f *front) expire(now time.Time, r *request) {
	if r.submit == nil {
		f.reply(r, job.Record{}, &UnavailableError{Reason: "no leader answers", Ran: job.MayHaveRun})
		return
	}
	if !r.sent {
		f.reply(r, job.Record{}, &UnavailableError{Reason: "there is no leader", Ran: job.NotRun})
		return
	}
	r.settling = true
	region := f.gate.config.Region
	record := refusal(now, *r.submit, "no leader answered in time")
	txn, err := createRefused(region, record)
	if err != nil {
		f.reply(r, job.Record{}, err)
		return
	}
	f.gate.store.Commit(txn, func(result machine.Stored) {
		r.settling = false
		var conflict *table.ConflictError
		switch {
		case result.Err == nil:
			f.reply(r, record, nil)
		case errors.As(result.Err, &conflict):
			f.lookup(now, r)
		default:
			f.reply(r, job.Record{}, &UnavailableError{Reason: "the store does not answer", Ran: job.MayHaveRun})
		}
	})
}

func (f *front) reply(r *request, record job.Record, err error) {
	if _, ok := f.requests[r.id]; !ok {
		return
	}
	delete(f.requests, r.id)
	f.gate.observeError(r.account, err)
	f.gate.emit(Reply{Request: r.id, Record: record, Err: err})
}

func (f *front) list() []*request {
	list := make([]*request, 0, len(f.requests))
	for _, r := range f.requests {
		list = append(list, r)
	}
	slices.SortFunc(list, func(x, y *request) int { return cmp.Compare(x.id, y.id) })
	return list
}

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
