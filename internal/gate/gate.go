// Package gate implements a gate, the process on an entry VM that callers
// reach. A gate handles callers' and operators' requests. The gates of a region
// elect one leader by a lease in the table; while a gate holds the lease, it
// also schedules the region's jobs on the workers and orders the agents to
// start and stop their tasks.
//
// The package is a deterministic state machine: Gate.Step applies one event and
// returns the effects that the surrounding process carries out. It does no
// input or output itself, reads no clock, and holds no state that must survive
// the process.
package gate

import (
	"math/rand/v2"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// maxStepInterval is the time between two steps from which on the process was paused
// rather than idle: four ticks.
const maxStepInterval = 4 * DefaultTickInterval

type (
	// RequestID identifies a request within one gate: of a caller, an operator
	// or the load balancer.
	RequestID uint64

	// Start is an event: the process has started.
	Start struct{}

	// Submit is an event: a caller submits a job. The reply is given once the
	// job is accepted or, if Wait is set, once it has ended or the time Wait
	// has come.
	Submit struct {
		Request    RequestID
		ID         job.ID
		Spec       job.Spec
		BodyDigest job.Digest
		Token      account.TokenHash
		Wait       time.Time
	}

	// Lookup is an event: a caller asks for the state of a job. If Wait is set,
	// the reply is given once the job has ended or the time Wait has come.
	Lookup struct {
		Request RequestID
		Account account.Name
		Token   account.TokenHash
		ID      job.ID
		Wait    time.Time
	}

	// Cancel is an event: a caller cancels a job.
	Cancel struct {
		Request RequestID
		Account account.Name
		Token   account.TokenHash
		ID      job.ID
	}

	// Disconnected is an event: the caller of a request has disconnected.
	Disconnected struct {
		Request RequestID
	}

	// Shutdown is an event: the process is to shut down. The gate resigns its
	// leadership and answers all open requests; then it emits
	// ShutdownComplete.
	Shutdown struct{}

	// ShutdownComplete is an effect: the shutdown that Shutdown began is complete, or its
	// time-out has passed, and the process may exit.
	ShutdownComplete struct{}

	// Reply is an effect: the answer to a caller's request. Err is nil, or one
	// of the error types of this package.
	Reply struct {
		Request RequestID
		Record  job.Record
		Err     error
	}

	// Gate is the state machine of a gate. The field leader is nil unless the
	// gate holds the region's lease.
	Gate struct {
		config       Config
		node         machine.Node
		now          time.Time
		store        *machine.Store
		health       health
		random       *rand.Rand
		shutdown     shutdown
		elector      *lease.Elector
		handler      *requestHandler
		settings     *settings
		inspector    *inspector
		lastObserved time.Time
		leader       *leader
		nextWake     time.Time
		effects      []machine.Effect
	}
)

// New returns a gate for the region. Node is the gate's own address, by which
// it competes for the lease.
func New(node machine.Node, region floor.RegionID, options ...Option) *Gate {
	config := defaults(region)
	for _, option := range options {
		option(&config)
	}
	g := &Gate{config: config, node: node, store: machine.NewStore()}
	g.random = rand.New(rand.NewPCG(config.Seed, uint64(len(node))))
	g.handler = newRequestHandler(g)
	g.settings = newSettings(g)
	g.inspector = newInspector(g)
	changed := lease.WithChanged(func(current lease.Lease, held bool) {
		g.emit(LeadershipChanged{Leader: current.Holder, Epoch: current.Epoch, Held: held})
	})
	log := lease.WithLog(func(e lease.Event) { g.emit(LeaseEvent{Event: e}) })
	g.elector = lease.NewElector(leaseKey(region), node, g.store, append(config.Lease, changed, log)...)
	return g
}

// Step applies one event and returns the effects to carry out, in order.
func (g *Gate) Step(now time.Time, event machine.Event) []machine.Effect {
	g.effects = nil
	g.checkPaused(now)
	g.now = now
	g.store.Advance(now)
	switch e := event.(type) {
	case Start, machine.Tick:
		g.tick(now)
	case Shutdown:
		g.shutdown.begin(g, now)
	case machine.StoreResult:
		g.health.record(now, e.Err)
		g.store.Resolve(e)
	case machine.Message:
		g.receive(now, e)
	case Inspect:
		g.inspector.request(now, e)
	case Probe:
		g.probe(now, e)
	case Edit, View, History:
		g.settings.handleOperator(now, e)
	default:
		g.handler.handle(now, event)
	}
	g.applyLease(now)
	if g.leader != nil {
		g.leader.runPolicy(now)
	}
	g.shutdown.check(g, now)
	return append(g.effects, g.store.Take()...)
}

// checkPaused notices that the process was paused since its last step. Results that came
// in that time are still queued, so that it must not count as an outage of the table.
func (g *Gate) checkPaused(now time.Time) {
	if g.now.IsZero() || now.Sub(g.now) <= maxStepInterval {
		return
	}
	g.health.resumed(now)
	if g.leader != nil {
		g.leader.writer.startedAt = now
	}
}

// Leader returns the lease of the region's leader as far as the gate knows it,
// and whether the gate itself holds it.
func (g *Gate) Leader() (lease.Lease, bool) {
	return g.elector.Lease()
}

func (g *Gate) emit(effect machine.Effect) {
	g.effects = append(g.effects, effect)
}

func (g *Gate) send(to machine.Node, body any) {
	if to != "" {
		g.emit(machine.Send{To: to, Body: body})
	}
}

// tick does all periodic work, and asks for the next wake-up.
func (g *Gate) tick(now time.Time) {
	g.elector.Tick(now)
	g.settings.tick(now)
	g.handler.tick(now)
	g.inspector.tick(now)
	g.observeRegion(now)
	if g.leader != nil {
		g.leader.tick(now)
	}
	if !g.nextWake.After(now) {
		g.nextWake = now.Add(g.config.TickInterval)
	}
	g.emit(machine.Wake{At: g.nextWake})
}

// applyLease begins to lead once the gate holds the lease, and ceases once it
// has lost it.
func (g *Gate) applyLease(now time.Time) {
	current, held := g.elector.Lease()
	if g.leader != nil && (!held || g.leader.epoch != current.Epoch) {
		g.leader = nil
	}
	if held && g.leader == nil {
		g.leader = newLeader(g, current.Epoch)
		g.leader.recover(now)
	}
	g.handler.setLeader(now, current)
}

func (g *Gate) receive(now time.Time, message machine.Message) {
	switch m := message.Body.(type) {
	case wire.Status:
		g.handler.handleStatus(now, m)
	case wire.VolatileRequest:
		g.handler.handleVolatileRequest(now, m)
	case wire.Inspected:
		g.inspector.answer(m)
	case wire.ChangesRequest, wire.Changes, wire.GuaranteeCheck, wire.GuaranteeCheckResult:
		g.settings.receive(now, message)
	case wire.Announce:
		g.handleAnnounce(now, message.From, m)
	case wire.Submit:
		if g.leader != nil {
			g.leader.handleSubmit(now, message.From, m)
		}
	default:
		if g.leader != nil {
			g.leader.receive(now, message)
		}
	}
}

// handleAnnounce handles an agent's announcement: the leader sends a Fence to
// an agent that it has not fenced yet. Any other announcement is answered with
// a Redirect, also by the leader itself. An epoch above the one that the gate
// knows shows that another gate has been elected; the announcement gets no
// answer.
func (g *Gate) handleAnnounce(now time.Time, from machine.Node, m wire.Announce) {
	if m.Worker.Region != g.config.Region {
		return
	}
	g.settings.recordAnnounce(now, m)
	current, held := g.elector.Lease()
	if m.Epoch > current.Epoch {
		g.elector.Observe(now, lease.Lease{Epoch: m.Epoch})
		g.applyLease(now)
		return
	}
	if held && g.leader != nil && !g.leader.handleAnnounce(now, from, m) {
		return
	}
	g.send(from, wire.Redirect{Leader: current.Holder, Epoch: current.Epoch, Revision: g.settings.revision()})
}

func leaseKey(region floor.RegionID) table.Key {
	return table.Key("lease/" + string(region))
}

func liveKey(region floor.RegionID, id job.ID) table.Key {
	return job.LiveKey(region, id)
}

func endedKey(region floor.RegionID, id job.ID) table.Key {
	return job.EndedKey(region, id)
}
