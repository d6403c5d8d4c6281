// Package gate is the core of an entry VM's process: it takes callers' requests
// and, while it holds a region's lease, leads the region. It has no input or
// output and holds nothing that cannot be lost.
package gate

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// DefaultTick is the time between two looks at what is due.
	DefaultTick = 250 * time.Millisecond

	// DefaultAcceptTimeout bounds the time in which a job is accepted or refused.
	DefaultAcceptTimeout = 10 * time.Second

	// DefaultResend is the time after which an unanswered message is sent again.
	DefaultResend = 500 * time.Millisecond

	// DefaultAgentTimeout is the silence after which an agent's worker is taken
	// for lost.
	DefaultAgentTimeout = 15 * time.Second

	// DefaultReserveTimeout bounds the reservation of all members of a job.
	DefaultReserveTimeout = 3 * time.Second

	// DefaultMaxAttempts is the number of starts after which a failing job fails.
	DefaultMaxAttempts = 3

	// DefaultRemember is how long a leader remembers an ended job.
	DefaultRemember = 10 * time.Minute
)

type (
	// RequestID identifies a caller's request within one gate.
	RequestID uint64

	// Config holds what a gate is told by its settings.
	Config struct {
		Region         floor.RegionID
		Tick           time.Duration
		AcceptTimeout  time.Duration
		Resend         time.Duration
		AgentTimeout   time.Duration
		ReserveTimeout time.Duration
		MaxAttempts    job.Attempt
		Remember       time.Duration
		Rate           rate.Limit
		Burst          int
		Lease          []lease.Option
		Policy         func() scheduler.Policy
		Gates          []machine.Node
	}

	// Option sets a field of a Config.
	Option func(*Config)

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
		store     *machine.Store
		elector   *lease.Elector
		front     *front
		directory *directory
		inspector *inspector
		leader    *leader
		effects   []machine.Effect
	}
)

// WithLease sets options of the region's lease.
func WithLease(options ...lease.Option) Option {
	return func(c *Config) { c.Lease = append(c.Lease, options...) }
}

// WithPolicy sets the policy that decides when this gate leads.
func WithPolicy(policy func() scheduler.Policy) Option {
	return func(c *Config) { c.Policy = policy }
}

// New returns a gate for the region.
func New(node machine.Node, region floor.RegionID, options ...Option) *Gate {
	config := Config{
		Region:         region,
		Tick:           DefaultTick,
		AcceptTimeout:  DefaultAcceptTimeout,
		Resend:         DefaultResend,
		AgentTimeout:   DefaultAgentTimeout,
		ReserveTimeout: DefaultReserveTimeout,
		MaxAttempts:    DefaultMaxAttempts,
		Remember:       DefaultRemember,
		Rate:           DefaultRate,
		Burst:          DefaultBurst,
		Policy:         func() scheduler.Policy { return scheduler.New() },
	}
	for _, option := range options {
		option(&config)
	}
	g := &Gate{config: config, node: node, store: machine.NewStore()}
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
	switch e := event.(type) {
	case Start, machine.Tick:
		g.tick(now)
	case machine.Stored:
		g.store.Resolve(e)
	case machine.Message:
		g.receive(now, e)
	case Inspect:
		g.inspector.request(now, e)
	case Edit, View, Recall:
		g.directory.operate(now, e)
	default:
		g.front.request(now, event)
	}
	g.follow(now)
	if g.leader != nil {
		g.leader.decide(now)
	}
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
	if g.leader != nil {
		g.leader.tick(now)
	}
	g.emit(machine.Wake{At: now.Add(g.config.Tick)})
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
}

func (g *Gate) receive(now time.Time, message machine.Message) {
	switch m := message.Body.(type) {
	case wire.Status:
		g.front.status(now, m)
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

// announced answers an agent: as its leader, or by naming its leader. An agent
// with newer settings cannot be fenced yet; it gets no answer, since it would
// announce itself again at once.
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
	if held && g.leader != nil {
		g.leader.announced(now, from, m)
	}
	if held && m.Epoch < current.Epoch && m.Revision > g.directory.revision() {
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
