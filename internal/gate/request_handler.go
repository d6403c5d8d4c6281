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
	// maxResendDelay bounds the back-off between two copies of one request to a
	// leader.
	maxResendDelay = 4 * time.Second

	// maxWatchedJobs is the number of jobs in one message to a leader.
	maxWatchedJobs = 1000

	// tableNode stands for the table among the destinations of the retry
	// budgets.
	tableNode machine.Node = "table"
)

type (
	// requestHandler tracks callers' requests until each has its reply. It
	// sends them to the leader and repeats them, also to a new leader, and
	// turns to the table if no leader answers in time. openByAccount counts the
	// open requests; nextWatch is when the watched jobs are sent to the leader
	// again.
	requestHandler struct {
		gate          *Gate
		limiter       *limiter
		requests      map[RequestID]*request
		openByAccount map[account.Name]int
		retries       *retry.Group[machine.Node]
		backoff       retry.Backoff
		leader        lease.Lease
		nextWatch     time.Time
		outcomes      *outcomeBuffer
	}

	// request is an open request of a caller. submit is nil unless the request
	// submits a job. accepted is set once a leader or the table has a record of
	// the job, which is then in record; notInTable once a lookup has found
	// none. tablePending is set while a table operation for the request is in
	// flight, and replyDue if its result is to be the reply in any case.
	// deadline is when an unaccepted request expires, waitUntil how long the
	// caller waits for the outcome.
	request struct {
		id           RequestID
		job          job.ID
		account      account.Name
		submit       *wire.Submit
		cancel       bool
		accepted     bool
		notInTable   bool
		tablePending bool
		replyDue     bool
		record       job.Record
		deadline     time.Time
		waitUntil    time.Time
		resendAt     time.Time
		tries        int
	}
)

func newRequestHandler(g *Gate) *requestHandler {
	return &requestHandler{
		gate:          g,
		limiter:       newLimiter(g.config),
		requests:      make(map[RequestID]*request),
		openByAccount: make(map[account.Name]int),
		retries:       retry.NewGroup[machine.Node](retry.WithJitter(g.random.Float64)),
		backoff:       retry.Backoff{Base: g.config.ResendInterval, Cap: maxResendDelay, Jitter: g.random.Float64},
		outcomes:      newOutcomeBuffer(g),
	}
}

// handle begins a caller's request, unless the account is not authorized or,
// for a submission, the settings are stale.
func (h *requestHandler) handle(now time.Time, event machine.Event) {
	if err := h.authorizeEvent(now, event); err != nil || h.gate.settings.refuseIfStale(now, event) {
		return
	}
	switch e := event.(type) {
	case Submit:
		submit := &wire.Submit{ID: e.ID, Spec: e.Spec, BodyDigest: e.BodyDigest, Revision: h.gate.settings.revision(), Wait: now.Before(e.Wait)}
		h.add(now, &request{id: e.Request, job: e.ID, account: e.Spec.Account, submit: submit, waitUntil: e.Wait})
	case Lookup:
		h.add(now, &request{id: e.Request, job: e.ID, account: e.Account, waitUntil: e.Wait})
	case Cancel:
		h.add(now, &request{id: e.Request, job: e.ID, account: e.Account, cancel: true})
	case Disconnected:
		h.remove(e.Request)
	}
}

// authorizeEvent checks the account of a request, as authorize does.
func (h *requestHandler) authorizeEvent(now time.Time, event machine.Event) error {
	switch e := event.(type) {
	case Submit:
		return h.authorize(now, e.Request, e.Spec.Account, e.Token)
	case Lookup:
		return h.authorize(now, e.Request, e.Account, e.Token)
	case Cancel:
		return h.authorize(now, e.Request, e.Account, e.Token)
	default:
		return nil
	}
}

// authorize replies with an error, and returns it, if the token is not valid
// for the account or a request limit is exceeded.
func (h *requestHandler) authorize(now time.Time, id RequestID, name account.Name, token account.TokenHash) error {
	err := h.gate.settings.checkToken(name, token)
	if err == nil {
		err = h.limiter.checkRate(now, name)
	}
	if err == nil && h.atLimit(name) {
		err = &UnavailableError{Reason: "too many requests are open", Ran: job.MayHaveRun}
	}
	if err != nil {
		h.gate.observeError("", err)
		h.gate.emit(Reply{Request: id, Err: err})
	}
	return err
}

// atLimit reports whether the gate or the account has as many open requests as
// it may have.
func (h *requestHandler) atLimit(name account.Name) bool {
	limit := h.gate.config.MaxRequests
	return len(h.requests) >= limit || float64(h.openByAccount[name]) >= h.gate.config.AccountShare*float64(limit)
}

// add tracks a request and sends it to the leader. A lookup reads the table
// first, and a job whose outcome is buffered is answered at once.
func (h *requestHandler) add(now time.Time, r *request) {
	r.deadline = now.Add(h.gate.config.AcceptTimeout)
	if r.mayWaitForLeader() && r.waitUntil.After(r.deadline) {
		r.deadline = r.waitUntil
	}
	h.track(r)
	if r.submit == nil && !r.cancel {
		h.lookup(now, r)
		return
	}
	if record, ok := h.outcomes.records[r.job]; ok && r.submit != nil {
		h.answer(now, r, record)
		return
	}
	h.retries.FirstAttempt(now, h.leader.Holder)
	h.sendToLeader(now, r)
}

func (h *requestHandler) track(r *request) {
	h.requests[r.id] = r
	h.openByAccount[r.account]++
}

// mayWaitForLeader reports whether a request may wait for a leader for as long
// as its caller waits: it only reads, or its job may safely run twice.
func (r *request) mayWaitForLeader() bool {
	return !r.cancel && (r.submit == nil || r.submit.Spec.Idempotent)
}

// sendToLeader sends a request to the leader and schedules the next copy. A
// submission is not sent while the settings are stale.
func (h *requestHandler) sendToLeader(now time.Time, r *request) {
	r.tries++
	r.resendAt = now.Add(h.backoff.Delay(r.tries))
	to := h.leader.Holder
	switch {
	case r.cancel:
		h.gate.send(to, wire.Cancel{ID: r.job, Account: r.account})
	case r.submit != nil && !r.accepted && !h.gate.settings.fresh(now):
	case r.submit != nil && !r.accepted:
		r.submit.Revision = h.gate.settings.revision()
		r.submit.Timeout = r.deadline.Sub(now)
		h.gate.send(to, *r.submit)
	default:
		h.gate.send(to, wire.Watch{Jobs: []job.ID{r.job}})
	}
}

// setLeader sends all open requests to a new leader.
func (h *requestHandler) setLeader(now time.Time, current lease.Lease) {
	if current.Holder == h.leader.Holder && current.Epoch == h.leader.Epoch {
		return
	}
	h.leader = current
	h.nextWatch = now
	for _, r := range h.sortedRequests() {
		r.tries = 0
		r.resendAt = now
		if !r.accepted && !r.tablePending {
			h.retries.FirstAttempt(now, current.Holder)
			h.sendToLeader(now, r)
		}
	}
}

func (h *requestHandler) tick(now time.Time) {
	for _, r := range h.sortedRequests() {
		h.tickRequest(now, r)
	}
	if !now.Before(h.nextWatch) {
		h.nextWatch = now.Add(h.gate.config.WatchInterval)
		h.sendWatch()
	}
	h.outcomes.tick(now)
}

// tickRequest handles the time-outs and resends of one request.
func (h *requestHandler) tickRequest(now time.Time, r *request) {
	switch {
	case r.tablePending:
	case r.accepted && !now.Before(r.waitUntil):
		h.finishWait(now, r)
	case !r.accepted && !now.Before(r.deadline):
		h.expire(now, r)
	case r.accepted || now.Before(r.resendAt):
	case !h.retries.Allow(now, h.leader.Holder):
		r.resendAt = now.Add(h.gate.config.ResendInterval)
	case r.submit == nil && !r.cancel && !r.notInTable && h.retries.Allow(now, tableNode):
		r.resendAt = now.Add(h.gate.config.ResendInterval)
		h.lookup(now, r)
	default:
		h.sendToLeader(now, r)
	}
}

// sendWatch subscribes to the outcomes of all jobs that callers wait for.
func (h *requestHandler) sendWatch() {
	var jobs []job.ID
	for _, r := range h.sortedRequests() {
		if r.accepted && len(jobs) < maxWatchedJobs {
			jobs = append(jobs, r.job)
		}
	}
	if len(jobs) > 0 {
		h.gate.send(h.leader.Holder, wire.Watch{Jobs: jobs})
	}
}

// handleStatus applies the leader's state of a job to all requests for it.
func (h *requestHandler) handleStatus(now time.Time, m wire.Status) {
	h.outcomes.add(m)
	for _, r := range h.sortedRequests() {
		switch {
		case r.job != m.Record.ID || r.tablePending:
		case m.Known:
			h.answer(now, r, m.Record)
		case r.notInTable:
			h.reply(r, job.Record{}, &UnknownJobError{ID: r.job})
		default:
			h.lookup(now, r)
		}
	}
}

// handleVolatileRequest permits an idempotent job to start without a durable record.
// From then on this gate does not refuse it any more.
func (h *requestHandler) handleVolatileRequest(now time.Time, m wire.VolatileRequest) {
	for _, r := range h.sortedRequests() {
		if r.job != m.ID || r.submit == nil || r.accepted || !r.mayWaitForLeader() || !now.Before(r.waitUntil) {
			continue
		}
		r.submit.Volatile = true
		h.sendToLeader(now, r)
	}
}

// answer replies to a request from its job's record, or goes on waiting if the
// caller waits for the outcome. A cancellation is answered once the job has
// ended.
func (h *requestHandler) answer(now time.Time, r *request, record job.Record) {
	switch {
	case record.Spec.Account != r.account:
		h.reply(r, job.Record{}, &UnknownJobError{ID: r.job})
	case r.submit != nil && record.BodyDigest != r.submit.BodyDigest:
		h.reply(r, job.Record{}, &BodyMismatchError{ID: r.job})
	case record.State.Final() || (!r.cancel && !now.Before(r.waitUntil)):
		h.reply(r, record, nil)
	case !r.cancel:
		r.accepted = true
		r.record = record
	}
}

func (h *requestHandler) reply(r *request, record job.Record, err error) {
	if _, ok := h.requests[r.id]; !ok {
		return
	}
	h.remove(r.id)
	h.gate.observeError(r.account, err)
	h.gate.emit(Reply{Request: r.id, Record: record, Err: err})
}

func (h *requestHandler) remove(id RequestID) {
	r, ok := h.requests[id]
	if !ok {
		return
	}
	delete(h.requests, id)
	h.openByAccount[r.account]--
	if h.openByAccount[r.account] <= 0 {
		delete(h.openByAccount, r.account)
	}
}

// idle reports whether no request is open.
func (h *requestHandler) idle() bool {
	return len(h.requests) == 0
}

// sortedRequests returns the open requests by ID, so that runs are
// reproducible.
func (h *requestHandler) sortedRequests() []*request {
	list := make([]*request, 0, len(h.requests))
	for _, r := range h.requests {
		list = append(list, r)
	}
	slices.SortFunc(list, func(x, y *request) int { return cmp.Compare(x.id, y.id) })
	return list
}
