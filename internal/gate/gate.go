// Package gate is the core of an entry VM's process: it takes callers' requests
// and, while it holds a region's lease, leads the region. It has no input or
// output and holds nothing that cannot be lost.
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

type (
	// RequestID identifies a caller's request within one gate.
	RequestID uint64

	// Start is an event: the process is up.
	Start struct{}

	// Submit is an event: a caller submits a job. The reply is given when the job
	// is accepted or, if Wait is set, when it has ended or Wait has come.
	Submit struct {
		Request RequestID
		ID      job.ID
		Spec    job.Spec
		Body    job.Digest
		Token   account.TokenHash
		Wait    time.Time
	}

	// Lookup is an event: a caller asks for a job. If Wait is set the reply is
	// given when the job has ended or Wait has come.
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

	// Abandon is an event: the caller of a request has gone.
	Abandon struct {
		Request RequestID
	}

	// Leave is an event: the process is to shut down. The gate hands its
	// leadership over and answers what is open; then it says Left.
	Leave struct{}

	// Left is an effect: no request is open after a Leave, or the bound for that
	// has passed, and the process may end.
	Left struct{}

	// Reply is an effect: the answer to a request. Err is nil, or one of the
	// error types of this package.
	Reply struct {
		Request RequestID
		Record  job.Record
		Err     error
	}

	// Gate is the state machine of a gate.
	Gate struct {
		config    Config
		node      machine.Node
		now       time.Time
		store     *machine.Store
		health    health
		random    *rand.Rand
		departure departure
		elector   *lease.Elector
		front     *front
		directory *directory
		inspector *inspector
		observed  time.Time
		leader    *leader
		wake      time.Time
		effects   []machine.Effect
	}
)

// New returns a gate for the region.
func New(node machine.Node, region floor.RegionID, options ...Option) *Gate {
	config := defaults(region)
	for _, option := range options {
		option(&config)
	}
	g := &Gate{config: config, node: node, store: machine.NewStore()}
	g.random = rand.New(rand.NewPCG(config.Seed, uint64(len(node))))
	g.front = newFront(g)
	g.directory = newDirectory(g)
	g.inspector = newInspector(g)
	changed := lease.WithChanged(func(current lease.Lease, held bool) {
		g.emit(LeadershipChanged{Leader: current.Holder, Epoch: current.Epoch, Held: held})
	})
	g.elector = lease.NewElector(leaseKey(region), node, g.store, append(config.Lease, changed)...)
	return g
}

// Step applies one event.
func (g *Gate) Step(now time.Time, event machine.Event) []machine.Effect {
	g.effects = nil
	g.now = now
	g.store.Advance(now)
	switch e := event.(type) {
	case Start, machine.Tick:
		g.tick(now)
	case Leave:
		g.departure.begin(g, now)
	case machine.Stored:
		g.health.note(now, e.Err)
		g.store.Resolve(e)
	case machine.Message:
		g.receive(now, e)
	case Inspect:
		g.inspector.request(now, e)
	case Probe:
		g.probe(now, e)
	case Edit, View, Recall:
		g.directory.operate(now, e)
	default:
		g.front.request(now, event)
	}
	g.follow(now)
	if g.leader != nil {
		g.leader.act(now)
	}
	g.departure.check(g, now)
	return append(g.effects, g.store.Take()...)
}

// Leader returns the leader of the region as far as the gate knows, and whether
// it is the gate itself.
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

func (g *Gate) tick(now time.Time) {
	g.elector.Tick(now)
	g.directory.tick(now)
	g.front.tick(now)
	g.inspector.tick(now)
	g.observeRegion(now)
	if g.leader != nil {
		g.leader.tick(now)
	}
	if !g.wake.After(now) {
		g.wake = now.Add(g.config.Tick)
	}
	g.emit(machine.Wake{At: g.wake})
}

// follow starts to lead when the lease is gained, and ceases when it is lost.
func (g *Gate) follow(now time.Time) {
	current, held := g.elector.Lease()
	if g.leader != nil && (!held || g.leader.epoch != current.Epoch) {
		g.leader = nil
	}
	if held && g.leader == nil {
		g.leader = newLeader(g, current.Epoch)
		g.leader.recover(now)
	}
	g.front.follow(now, current)
}

func (g *Gate) receive(now time.Time, message machine.Message) {
	switch m := message.Body.(type) {
	case wire.Status:
		g.front.status(now, m)
	case wire.Pending:
		g.front.pending(now, m)
	case wire.Inspected:
		g.inspector.answer(m)
	case wire.Revisions, wire.Changes, wire.Check, wire.Checked:
		g.directory.receive(now, message)
	case wire.Announce:
		g.announced(now, message.From, m)
	case wire.Submit:
		if g.leader != nil {
			g.leader.submit(now, message.From, m)
		}
	default:
		if g.leader != nil {
			g.leader.receive(now, message)
		}
	}
}

// announced answers an agent: as its leader, or by naming its leader.
func (g *Gate) announced(now time.Time, from machine.Node, m wire.Announce) {
	if m.Worker.Region != g.config.Region {
		return
	}
	g.directory.announced(now, m)
	current, held := g.elector.Lease()
	if m.Epoch > current.Epoch {
		g.elector.Observe(now, lease.Lease{Epoch: m.Epoch})
		g.follow(now)
		return
	}
	if held && g.leader != nil && !g.leader.announced(now, from, m) {
		return
	}
	g.send(from, wire.Redirect{Leader: current.Holder, Epoch: current.Epoch, Revision: g.directory.revision()})
}

func leaseKey(region floor.RegionID) table.Key {
	return table.Key("lease/" + string(region))
}

func liveKey(region floor.RegionID, id job.ID) table.Key {
	return job.LiveKey(region, id)
}

func doneKey(region floor.RegionID, id job.ID) table.Key {
	return job.DoneKey(region, id)
}
