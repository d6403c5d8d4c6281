// Package serve runs the cores of gates and agents in a process: it connects
// them with the platform's services, the other processes and the clock.
package serve

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/internal/configuration"
	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/entry"
	"github.com/lovageroad/lovageroad/internal/region"
	"github.com/lovageroad/lovageroad/internal/relay"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/boottime"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// leaseKey is the row of the right to lead.
	leaseKey table.Key = "lease/leader"

	// term is how long the leader is silent before another gate takes over.
	term = 1200 * time.Millisecond

	// renewal is the time between two renewals, four in a term.
	renewal = 300 * time.Millisecond

	// electorTick is the time between two looks at the lease.
	electorTick = 100 * time.Millisecond

	// storeTimeout bounds a call of the elector: below the term, so that a
	// renewal without an answer is tried again in time.
	storeTimeout = 600 * time.Millisecond

	// feedWait is how long the table waits for a change. Each answer confirms
	// the configuration, so that it bounds its age too.
	feedWait = time.Second

	// retryPause is the wait after a call of the table that failed.
	retryPause = 100 * time.Millisecond

	// askTimeout bounds a question to the leader, before the table is asked.
	askTimeout = 400 * time.Millisecond

	// scanPage is the number of rows that are read at a time.
	scanPage = 500
)

type (
	// Decoder decodes the row of the configuration.
	Decoder func(value []byte) (*configuration.Configuration, error)

	// GateConfig is what a gate is told.
	GateConfig struct {
		Node    machine.Node
		Seeds   []machine.Node
		Service relay.Service
		Key     table.Key
		Decode  Decoder
		Hold    time.Duration
		Gang    time.Duration

		// Retention is how long the rows of a job are kept after its end, 0 for
		// region.DefaultRetention.
		Retention time.Duration

		// Processor is what the gate may use, 0 if that is not known. Gates that
		// have much less than others lead only if no other one does.
		Processor work.Millicores
	}

	// Gate is the process of an entry VM: it accepts jobs, and leads the region
	// when it is elected.
	Gate struct {
		config  GateConfig
		table   *relay.Table
		client  *control.Client
		holder  *configuration.Holder
		entry   *entry.Entry
		metrics *Metrics
		ctx     context.Context
		cancel  context.CancelFunc
		leaving chan struct{}
		once    sync.Once

		mu      sync.Mutex
		peers   []machine.Node
		current lease.Lease

		// changed is closed when another leader is known.
		changed chan struct{}
		leader  *leader
		elector *lease.Elector
		store   *machine.Store

		// strongest is the most processor that another gate has, in millicores.
		strongest atomic.Int64

		clock     sync.Mutex
		timeOfDay boottime.Day
	}
)

// NewGate returns a gate that begins to serve with Run.
func NewGate(config GateConfig) *Gate {
	config.Retention = cmp.Or(config.Retention, region.DefaultRetention)
	g := &Gate{
		config: config, client: control.NewClient(), holder: configuration.NewHolder(),
		leaving: make(chan struct{}), changed: make(chan struct{}), peers: config.Seeds, metrics: NewMetrics(),
	}
	g.table = relay.New(config.Service, g.client, g.others, g.logWay)
	g.entry = entry.New(g.table, g, g.holder, config.Key, entry.WithClock(g.today))
	g.store = machine.NewStore()
	g.elector = lease.NewElector(leaseKey, config.Node, g.store,
		lease.WithTerm(term), lease.WithRenewal(renewal), lease.WithChanged(g.elected),
		lease.WithHandicap(g.handicap))
	return g
}

func (g *Gate) logWay(open bool, reason string) {
	g.metrics.open.Set(flag(open))
	klog.InfoS("way to the table changed", "open", open, "reason", reason)
}

// day returns what is to be added to a boot time to get the time of day.
func (g *Gate) day() time.Duration {
	g.clock.Lock()
	defer g.clock.Unlock()
	return g.timeOfDay.Observe(boottime.Now(), time.Now())
}

// today returns the time of day.
func (g *Gate) today() time.Time {
	return boottime.Now().Add(g.day())
}

// Entry returns what accepts jobs.
func (g *Gate) Entry() *entry.Entry { return g.entry }

// Metrics returns what the gate counts.
func (g *Gate) Metrics() *Metrics { return g.metrics }

// Holder returns the configuration that the gate has.
func (g *Gate) Holder() *configuration.Holder { return g.holder }

// Run serves until Leave has been called and the lease is given up.
func (g *Gate) Run(ctx context.Context) {
	g.ctx, g.cancel = context.WithCancel(ctx)
	go g.watch()
	go g.meet()
	go g.table.Probe(g.ctx)
	g.campaign()
}

// Leave gives the lease up.
func (g *Gate) Leave() {
	g.once.Do(func() { close(g.leaving) })
}

// Seed adds gates that the settings name.
func (g *Gate) Seed(nodes []machine.Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range nodes {
		if !slices.Contains(g.peers, n) {
			g.peers = append(g.peers, n)
		}
	}
}

// others returns the other gates.
func (g *Gate) others() []machine.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	others := make([]machine.Node, 0, len(g.peers))
	for _, p := range g.peers {
		if p != g.config.Node {
			others = append(others, p)
		}
	}
	return others
}

// pause waits and returns false if the gate ends.
func (g *Gate) pause(d time.Duration) bool {
	select {
	case <-g.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// redirect returns the word of a gate that does not lead.
func (g *Gate) redirect() control.Word {
	g.mu.Lock()
	defer g.mu.Unlock()
	return control.Word{Leader: g.current.Holder, Epoch: g.current.Epoch, Gates: g.peers}
}

// Report answers an agent.
func (g *Gate) Report(ctx context.Context, report control.Report) control.Word {
	if l := g.leading(); l != nil {
		if word, ok := l.report(ctx, report); ok {
			return word
		}
	}
	g.await(ctx, report)
	if l := g.leading(); l != nil {
		if word, ok := l.report(ctx, report); ok {
			return word
		}
	}
	return g.redirect()
}

// await holds the report of an agent that looks for another leader than this
// gate knows, so that the agent learns of it at once.
func (g *Gate) await(ctx context.Context, report control.Report) {
	g.mu.Lock()
	changed, newer := g.changed, g.current.Epoch > report.Epoch
	g.mu.Unlock()
	if newer {
		return
	}
	timer := time.NewTimer(report.Wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Lead takes note of another leader.
func (g *Gate) Lead(_ context.Context, claim control.Claim) control.Noted {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.elector.Observe(boottime.Now(), lease.Lease{Holder: claim.Leader, Epoch: claim.Epoch})
	return control.Noted{}
}

// Ask answers a question of another gate.
func (g *Gate) Ask(_ context.Context, question control.Question) control.Reply {
	l := g.leading()
	if l == nil {
		return control.Reply{}
	}
	return l.answer(question)
}

// Store carries out a call of the table for another process.
func (g *Gate) Store(ctx context.Context, call control.StoreCall) control.StoreReply {
	return g.table.Serve(ctx, call)
}

// ask asks the leader.
func (g *Gate) ask(ctx context.Context, question control.Question) control.Reply {
	if l := g.leading(); l != nil {
		return l.answer(question)
	}
	to := g.redirect().Leader
	if to == "" || to == g.config.Node {
		return control.Reply{}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := g.client.Ask(ctx, to, question)
	if err != nil {
		klog.V(1).InfoS("leader did not answer", "leader", to, "reason", err)
		return control.Reply{}
	}
	return reply
}

// State asks the leader for the state of a job.
func (g *Gate) State(ctx context.Context, id work.JobID) (state region.State, known, ok bool) {
	reply := g.ask(ctx, control.Question{Job: id})
	return region.State(reply.State), reply.Known, reply.Leads
}

// Waiting asks the leader how many jobs of a queue have not begun. It returns
// false if no leader answers.
func (g *Gate) Waiting(ctx context.Context, queue work.QueueID) (int, bool) {
	reply := g.ask(ctx, control.Question{Queue: queue})
	return reply.Waiting, reply.Leads
}
