package lab

import (
	"fmt"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/job"
)

type (
	// Callers sends the requests of simulated callers to gates and records the
	// replies. Calls has all requests in the order in which they were sent.
	Callers struct {
		region *Region
		lastID gate.RequestID
		Calls  []*Call
		byID   map[gate.RequestID]*Call
	}

	// Call is one request of a caller. GateIncarnation is the incarnation that the
	// gate had when it was sent. SentAt and RepliedAt are the virtual times of the
	// request and of the reply; Reply is nil until there is one. Spec and its digest
	// Body are empty unless the request is a submission.
	Call struct {
		Request         gate.RequestID
		Gate            *Process
		GateIncarnation uint64
		Job             job.ID
		Spec            job.Spec
		Body            job.Digest
		Cancel          bool
		SentAt          time.Duration
		RepliedAt       time.Duration
		Reply           *gate.Reply
	}
)

func newCallers(r *Region) *Callers {
	return &Callers{region: r, byID: make(map[gate.RequestID]*Call)}
}

// SpecOf returns the spec of a job that runs for the given time on one accelerator
// of each of the given number of workers. The class of the job names that time, for
// Runner.
func SpecOf(workers int, idempotent bool, duration time.Duration) job.Spec {
	return job.Spec{
		Account:    Tenant,
		Class:      account.Class(duration.String()),
		Shape:      floor.Shape{Workers: workers, Accelerators: 1}.WithDefaults(),
		Idempotent: idempotent,
		Expected:   duration,
	}
}

// Submit submits a job under an idempotency key at a gate. The gate replies when the
// job has ended or the wait has passed; with a wait of zero it replies when the job
// is accepted.
func (c *Callers) Submit(g *Process, key string, spec job.Spec, wait time.Duration) *Call {
	call := c.newCall(g, key)
	call.Spec = spec
	call.Body = job.DigestOf(fmt.Appendf(nil, "%v", spec))
	event := gate.Submit{
		Request:    call.Request,
		ID:         call.Job,
		Spec:       spec,
		BodyDigest: call.Body,
		Token:      account.HashToken(Secret),
	}
	if wait > 0 {
		event.Wait = g.Now().Add(wait)
	}
	g.Post(event)
	return call
}

// Lookup asks a gate for the state of a job, and waits like Submit.
func (c *Callers) Lookup(g *Process, key string, wait time.Duration) *Call {
	call := c.newCall(g, key)
	event := gate.Lookup{Request: call.Request, Account: Tenant, Token: account.HashToken(Secret), ID: call.Job}
	if wait > 0 {
		event.Wait = g.Now().Add(wait)
	}
	g.Post(event)
	return call
}

// Cancel asks a gate to cancel a job.
func (c *Callers) Cancel(g *Process, key string) *Call {
	call := c.newCall(g, key)
	call.Cancel = true
	g.Post(gate.Cancel{Request: call.Request, Account: Tenant, Token: account.HashToken(Secret), ID: call.Job})
	return call
}

// newCall records a new request.
func (c *Callers) newCall(g *Process, key string) *Call {
	c.lastID++
	call := &Call{
		Request:         c.lastID,
		Gate:            g,
		GateIncarnation: g.Incarnation(),
		Job:             job.NewID(Tenant, key),
		SentAt:          c.region.Elapsed(),
	}
	c.Calls = append(c.Calls, call)
	c.byID[call.Request] = call
	return call
}

// reply records the first reply to a request.
func (c *Callers) reply(_ *Process, reply gate.Reply) {
	call, ok := c.byID[reply.Request]
	if !ok || call.Reply != nil {
		return
	}
	call.Reply = &reply
	call.RepliedAt = c.region.Elapsed()
}
