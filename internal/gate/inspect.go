package gate

import (
	"maps"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

type (
	// Inspect is an event: an operator asks for an overview of the region or,
	// if Job is set, why that job is waiting.
	Inspect struct {
		Request RequestID
		Job     job.ID
	}

	// Inspected is an effect: the answer to an Inspect.
	Inspected struct {
		Request     RequestID
		Leader      lease.Lease
		Overview    scheduler.Overview
		Explanation scheduler.Explanation
		Err         error
	}

	// inspection is a request that waits for the leader's answer.
	inspection struct {
		job      job.ID
		deadline time.Time
		resendAt time.Time
	}

	// inspector sends operators' requests for the state of the region to the
	// leader.
	inspector struct {
		gate *Gate
		open map[RequestID]*inspection
	}
)

func newInspector(g *Gate) *inspector {
	return &inspector{gate: g, open: make(map[RequestID]*inspection)}
}

// request begins an inspection.
func (i *inspector) request(now time.Time, e Inspect) {
	i.open[e.Request] = &inspection{job: e.Job, deadline: now.Add(i.gate.config.AcceptTimeout)}
	i.tick(now)
}

// tick sends unanswered requests again, and gives up at the deadline.
func (i *inspector) tick(now time.Time) {
	leader, _ := i.gate.elector.Lease()
	for _, id := range slices.Sorted(maps.Keys(i.open)) {
		pending := i.open[id]
		switch {
		case !now.Before(pending.deadline):
			delete(i.open, id)
			i.gate.emit(Inspected{Request: id, Leader: leader, Err: &UnavailableError{Reason: "no leader answers", Ran: job.MayHaveRun}})
		case !now.Before(pending.resendAt):
			pending.resendAt = now.Add(i.gate.config.ResendInterval)
			i.gate.send(leader.Holder, wire.Inspect{Request: uint64(id), Job: pending.job})
		}
	}
}

// answer answers an operator from the leader's reply.
func (i *inspector) answer(m wire.Inspected) {
	id := RequestID(m.Request)
	pending, ok := i.open[id]
	if !ok {
		return
	}
	delete(i.open, id)
	leader, _ := i.gate.elector.Lease()
	reply := Inspected{Request: id, Leader: leader, Overview: m.Overview, Explanation: m.Explanation}
	if !m.Known {
		reply.Err = &UnknownJobError{ID: pending.job}
	}
	i.gate.emit(reply)
}

// handleInspect answers a gate from the policy.
func (l *leader) handleInspect(now time.Time, from machine.Node, m wire.Inspect) {
	if !l.ready {
		return
	}
	reply := wire.Inspected{Request: m.Request, Known: true}
	if m.Job == "" {
		reply.Overview = l.policy.Overview(now)
	} else {
		reply.Explanation, reply.Known = l.policy.Explain(now, m.Job)
	}
	l.gate.send(from, reply)
}
