package gate

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/retry"
)

const (
	// askCap is the longest time between two copies of one request to a leader.
	askCap = 4 * time.Second

	// maxWatch is the number of jobs in one message to a leader.
	maxWatch = 1000

	// tableNode stands for the table among the destinations of retries.
	tableNode machine.Node = "table"
)

type (
	// front holds callers' requests until each has its reply.
	front struct {
		gate     *Gate
		limiter  *limiter
		requests map[RequestID]*request
		accounts map[account.Name]int
		retries  *retry.Group[machine.Node]
		backoff  retry.Backoff
		leader   lease.Lease
		watch    time.Time
		keeper   *keeper
	}

	// request is one request of a caller. It is accepted once a leader or the
	// table has a record of its job, settling while a store operation is under
	// way, and last if the result of that is its reply in any case.
	request struct {
		id       RequestID
		job      job.ID
		account  account.Name
		submit   *wire.Submit
		cancel   bool
		accepted bool
		missing  bool
		settling bool
		last     bool
		record   job.Record
		deadline time.Time
		wait     time.Time
		resend   time.Time
		tries    int
	}
)

func newFront(g *Gate) *front {
	return &front{
		gate:     g,
		limiter:  newLimiter(g.config),
		requests: make(map[RequestID]*request),
		accounts: make(map[account.Name]int),
		retries:  retry.NewGroup[machine.Node](retry.WithJitter(g.random.Float64)),
		backoff:  retry.Backoff{Base: g.config.Resend, Cap: askCap, Jitter: g.random.Float64},
		keeper:   newKeeper(g),
	}
}

func (f *front) request(now time.Time, event machine.Event) {
	if err := f.denied(now, event); err != nil || f.gate.directory.refuses(now, event) {
		return
	}
	switch e := event.(type) {
	case Submit:
		submit := &wire.Submit{ID: e.ID, Spec: e.Spec, Body: e.Body, Revision: f.gate.directory.revision(), Wait: now.Before(e.Wait)}
		f.add(now, &request{id: e.Request, job: e.ID, account: e.Spec.Account, submit: submit, wait: e.Wait})
	case Lookup:
		f.add(now, &request{id: e.Request, job: e.ID, account: e.Account, wait: e.Wait})
	case Cancel:
		f.add(now, &request{id: e.Request, job: e.ID, account: e.Account, cancel: true})
	case Abandon:
		f.remove(e.Request)
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
	if err == nil && f.full(name) {
		err = &UnavailableError{Reason: "too many requests are open", Ran: job.MayHaveRun}
	}
	if err != nil {
		f.gate.observeError("", err)
		f.gate.emit(Reply{Request: id, Err: err})
	}
	return err
}

// full reports whether the gate or the account has too many open requests.
func (f *front) full(name account.Name) bool {
	limit := f.gate.config.MaxRequests
	return len(f.requests) >= limit || float64(f.accounts[name]) >= f.gate.config.AccountShare*float64(limit)
}

func (f *front) add(now time.Time, r *request) {
	r.deadline = now.Add(f.gate.config.AcceptTimeout)
	if r.patient() && r.wait.After(r.deadline) {
		r.deadline = r.wait
	}
	f.hold(r)
	if r.submit == nil && !r.cancel {
		f.lookup(now, r)
		return
	}
	if record, ok := f.keeper.known[r.job]; ok && r.submit != nil {
		f.answer(now, r, record)
		return
	}
	f.retries.First(now, f.leader.Holder)
	f.ask(now, r)
}

func (f *front) hold(r *request) {
	f.requests[r.id] = r
	f.accounts[r.account]++
}

// patient reports whether a request may wait for a leader for as long as its
// caller waits: it asks only, or its job may run twice.
func (r *request) patient() bool {
	return !r.cancel && (r.submit == nil || r.submit.Spec.Idempotent)
}

// ask sends a request to the leader.
func (f *front) ask(now time.Time, r *request) {
	r.tries++
	r.resend = now.Add(f.backoff.Delay(r.tries))
	to := f.leader.Holder
	switch {
	case r.cancel:
		f.gate.send(to, wire.Cancel{ID: r.job, Account: r.account})
	case r.submit != nil && !r.accepted && !f.gate.directory.fresh(now):
	case r.submit != nil && !r.accepted:
		r.submit.Revision = f.gate.directory.revision()
		r.submit.Patience = r.deadline.Sub(now)
		f.gate.send(to, *r.submit)
	default:
		f.gate.send(to, wire.Watch{Jobs: []job.ID{r.job}})
	}
}

// follow asks a new leader for everything that is open.
func (f *front) follow(now time.Time, current lease.Lease) {
	if current.Holder == f.leader.Holder && current.Epoch == f.leader.Epoch {
		return
	}
	f.leader = current
	f.watch = now
	for _, r := range f.list() {
		r.tries = 0
		r.resend = now
		if !r.accepted && !r.settling {
			f.retries.First(now, current.Holder)
			f.ask(now, r)
		}
	}
}

func (f *front) tick(now time.Time) {
	for _, r := range f.list() {
		f.tickRequest(now, r)
	}
	if !now.Before(f.watch) {
		f.watch = now.Add(f.gate.config.Watch)
		f.sendWatch()
	}
	f.keeper.tick(now)
}

func (f *front) tickRequest(now time.Time, r *request) {
	switch {
	case r.settling:
	case r.accepted && !now.Before(r.wait):
		f.conclude(now, r)
	case !r.accepted && !now.Before(r.deadline):
		f.expire(now, r)
	case r.accepted || now.Before(r.resend):
	case !f.retries.Allow(now, f.leader.Holder):
		r.resend = now.Add(f.gate.config.Resend)
	case r.submit == nil && !r.cancel && !r.missing && f.retries.Allow(now, tableNode):
		r.resend = now.Add(f.gate.config.Resend)
		f.lookup(now, r)
	default:
		f.ask(now, r)
	}
}

// sendWatch asks the leader for all jobs whose end callers wait for.
func (f *front) sendWatch() {
	var jobs []job.ID
	for _, r := range f.list() {
		if r.accepted && len(jobs) < maxWatch {
			jobs = append(jobs, r.job)
		}
	}
	if len(jobs) > 0 {
		f.gate.send(f.leader.Holder, wire.Watch{Jobs: jobs})
	}
}

// status takes the leader's word on a job to all requests for it.
func (f *front) status(now time.Time, m wire.Status) {
	f.keeper.take(m)
	for _, r := range f.list() {
		switch {
		case r.job != m.Record.ID || r.settling:
		case m.Known:
			f.answer(now, r, m.Record)
		case r.missing:
			f.reply(r, job.Record{}, &UnknownJobError{ID: r.job})
		default:
			f.lookup(now, r)
		}
	}
}

// pending permits a job to start without a durable record: this gate will not
// refuse it any more.
func (f *front) pending(now time.Time, m wire.Pending) {
	for _, r := range f.list() {
		if r.job != m.ID || r.submit == nil || r.accepted || !r.patient() || !now.Before(r.wait) {
			continue
		}
		r.submit.Volatile = true
		f.ask(now, r)
	}
}

// answer gives the reply, or waits on if the caller waits for the end.
func (f *front) answer(now time.Time, r *request, record job.Record) {
	switch {
	case record.Spec.Account != r.account:
		f.reply(r, job.Record{}, &UnknownJobError{ID: r.job})
	case r.submit != nil && record.Body != r.submit.Body:
		f.reply(r, job.Record{}, &MismatchError{ID: r.job})
	case record.State.Final() || (!r.cancel && !now.Before(r.wait)):
		f.reply(r, record, nil)
	case !r.cancel:
		r.accepted = true
		r.record = record
	}
}

func (f *front) reply(r *request, record job.Record, err error) {
	if _, ok := f.requests[r.id]; !ok {
		return
	}
	f.remove(r.id)
	f.gate.observeError(r.account, err)
	f.gate.emit(Reply{Request: r.id, Record: record, Err: err})
}

func (f *front) remove(id RequestID) {
	r, ok := f.requests[id]
	if !ok {
		return
	}
	delete(f.requests, id)
	f.accounts[r.account]--
	if f.accounts[r.account] <= 0 {
		delete(f.accounts, r.account)
	}
}

// idle reports whether no request is open.
func (f *front) idle() bool {
	return len(f.requests) == 0
}

func (f *front) list() []*request {
	list := make([]*request, 0, len(f.requests))
	for _, r := range f.requests {
		list = append(list, r)
	}
	slices.SortFunc(list, func(x, y *request) int { return cmp.Compare(x.id, y.id) })
	return list
}
