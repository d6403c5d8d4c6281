// Package serve runs gates and agents as processes. It connects their cores,
// which do no input or output themselves, to the platform's services, to the
// other processes and to the clock.
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
	// leaseKey is the row of the lease whose holder leads the region.
	leaseKey table.Key = "lease/leader"

	// leaseTerm is how long the lease must go without a renewal before another
	// gate takes it over.
	leaseTerm = 1200 * time.Millisecond

	// leaseRenewalInterval is the time between two renewals of the lease: a
	// quarter of the term.
	leaseRenewalInterval = 300 * time.Millisecond

	// electorInterval is the time between two calls of the elector.
	electorInterval = 100 * time.Millisecond

	// tableTimeout bounds one table operation of the elector, and an agent's scan
	// for gates. It is below the lease term, so that a renewal without an answer
	// is retried in time.
	tableTimeout = 600 * time.Millisecond

	// feedWait is how long the table holds a request for changes if there are
	// none. Each answer confirms that the configuration is current, so feedWait
	// also bounds the configuration's age while the table answers.
	feedWait = time.Second

	// retryDelay is the wait after a table operation that failed.
	retryDelay = 100 * time.Millisecond

	// gateCallTimeout bounds a call to another gate: a query to the leader, so that
	// the table can still be read instead, or the announcement of a new leader.
	gateCallTimeout = 400 * time.Millisecond

	// scanPageSize is the number of rows read by one scan.
	scanPageSize = 500
)

type (
	// Decoder decodes the value of the configuration's row.
	Decoder func(value []byte) (*configuration.Configuration, error)

	// GateConfig holds the settings of a Gate.
	GateConfig struct {
		// Node is the address at which agents and other gates reach the gate.
		Node machine.Node

		// Seeds are the gates that the settings name. They are used until the gates'
		// rows have been read.
		Seeds   []machine.Node
		Service relay.Service

		// ConfigurationKey is the row of the configuration, which Decode decodes.
		ConfigurationKey table.Key
		Decode           Decoder

		// Evacuations says where the evacuation of data centres is requested.
		Evacuations EvacuationConfig

		// HoldTime is how long a task may run after the last orders that a leader gave
		// its agent.
		HoldTime time.Duration

		// MaxLease is the longest lease that a runner grants.
		MaxLease time.Duration

		// GangWait is how long a member of a gang waits for the other members.
		GangWait time.Duration

		// Retention is how long the rows of a job are kept after its end, 0 for
		// region.DefaultRetention.
		Retention time.Duration

		// RowBytes is the size up to which the value of a row may grow, 0 for
		// region.DefaultRowBytes.
		RowBytes int

		// Processor is the CPU capacity that the gate may use, 0 if unknown. A gate
		// that has much less than another one leads only if no other gate takes the
		// lease.
		Processor work.Millicores
	}

	// Gate is the process that callers reach, one on each entry VM. It accepts
	// jobs, answers agents and other gates, and leads the region while it holds
	// the lease.
	Gate struct {
		config      GateConfig
		table       *relay.Table
		client      *control.Client
		holder      *configuration.Holder
		entry       *entry.Entry
		admitter    *admitter
		metrics     *Metrics
		evacuations *evacuations
		ctx         context.Context
		cancel      context.CancelFunc
		resigning   chan struct{}
		resignOnce  sync.Once

		mu sync.Mutex

		// gates are the known gates. This one may be among them.
		gates        []machine.Node
		currentLease lease.Lease

		// leaderChanged is closed, and replaced, when the epoch of currentLease
		// changes.
		leaderChanged chan struct{}
		leader        *leader
		elector       *lease.Elector

		// store holds the table operations that the elector requests.
		store *machine.Store

		// largestProcessor is the largest CPU capacity among the gates' rows, in
		// millicores.
		largestProcessor atomic.Int64

		clockMu sync.Mutex
		clock   boottime.WallClock
	}
)

// NewGate returns a gate; Run starts it.
func NewGate(config GateConfig) *Gate {
	config.Retention = cmp.Or(config.Retention, region.DefaultRetention)
	g := &Gate{
		config: config, client: control.NewClient(), holder: configuration.NewHolder(),
		resigning: make(chan struct{}), leaderChanged: make(chan struct{}), gates: config.Seeds, metrics: NewMetrics(),
	}
	g.admitter = newAdmitter(g)
	g.table = relay.New(config.Service, g.client, g.otherGates, g.logTableAccess)
	g.entry = entry.New(g.table, g, g.holder, config.ConfigurationKey, entry.WithClock(g.wallClock))
	g.evacuations = newEvacuations(config.Evacuations, g.metrics)
	g.store = machine.NewStore()
	g.elector = lease.NewElector(leaseKey, config.Node, g.store,
		lease.WithTerm(leaseTerm), lease.WithRenewal(leaseRenewalInterval), lease.WithChanged(g.leaseChanged),
		lease.WithLog(g.logLeaseEvent), lease.WithAcquireDelay(g.takeoverDelay))
	return g
}

// logTableAccess records whether this gate reaches the table directly, or only
// through other gates.
func (g *Gate) logTableAccess(available bool, reason string) {
	g.metrics.directTableAccess.Set(gaugeValue(available))
	klog.InfoS("direct table access changed", "open", available, "reason", reason)
}

// wallClockOffset returns what is to be added to a boot time to get the wall-clock
// time.
func (g *Gate) wallClockOffset() time.Duration {
	g.clockMu.Lock()
	defer g.clockMu.Unlock()
	return g.clock.Observe(boottime.Now(), time.Now())
}

// wallClock returns the wall-clock time, without the short-lived steps of the
// machine's clock.
func (g *Gate) wallClock() time.Time {
	return boottime.Now().Add(g.wallClockOffset())
}

// Entry returns the part of the gate that accepts jobs.
func (g *Gate) Entry() *entry.Entry { return g.entry }

// Metrics returns the gate's metrics.
func (g *Gate) Metrics() *Metrics { return g.metrics }

// Holder returns the holder of the gate's current configuration.
func (g *Gate) Holder() *configuration.Holder { return g.holder }

// Run serves until the context ends, or until Resign has been called and this
// gate no longer leads.
func (g *Gate) Run(ctx context.Context) {
	g.ctx, g.cancel = context.WithCancel(ctx)
	go g.followConfiguration()
	go g.discoverGates()
	go g.table.Probe(g.ctx)
	g.campaign()
}

// Resign makes the gate resign from the lease, after which Run returns. It may
// be called more than once.
func (g *Gate) Resign() {
	g.resignOnce.Do(func() {
		klog.InfoS("gate resigns", "leads", g.localLeader() != nil)
		close(g.resigning)
	})
}

// AddGates adds gates that are named in the settings. They are known until the
// gates' rows are read next.
func (g *Gate) AddGates(nodes []machine.Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range nodes {
		if !slices.Contains(g.gates, n) {
			g.gates = append(g.gates, n)
		}
	}
}

// otherGates returns all known gates but this one.
func (g *Gate) otherGates() []machine.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	others := make([]machine.Node, 0, len(g.gates))
	for _, n := range g.gates {
		if n != g.config.Node {
			others = append(others, n)
		}
	}
	return others
}

// pause waits for the given time. It returns false if the gate ends first.
func (g *Gate) pause(d time.Duration) bool {
	select {
	case <-g.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// redirect returns the answer of a gate that does not lead: the leader and the
// gates that it knows, and no orders.
func (g *Gate) redirect() control.Orders {
	g.mu.Lock()
	defer g.mu.Unlock()
	return control.Orders{Leader: g.currentLease.Holder, Epoch: g.currentLease.Epoch, Gates: g.gates}
}

// Report answers an agent's report with orders if this gate leads. Otherwise it
// waits at most report.Wait until this gate knows a newer leader than the agent
// does, and then, unless that is this gate itself, names the leader.
func (g *Gate) Report(ctx context.Context, report control.Report) control.Orders {
	received := boottime.Now()
	if l := g.localLeader(); l != nil {
		if orders, ok := l.report(ctx, report, received); ok {
			return orders
		}
	}
	g.awaitLeaderChange(ctx, report)
	if l := g.localLeader(); l != nil {
		if orders, ok := l.report(ctx, report, received); ok {
			return orders
		}
	}
	return g.redirect()
}

// awaitLeaderChange delays the answer to an agent that looks for a newer leader
// than this gate knows, so that the agent learns of the leader as soon as this
// gate does. It waits at most report.Wait.
func (g *Gate) awaitLeaderChange(ctx context.Context, report control.Report) {
	g.mu.Lock()
	changed, newer := g.leaderChanged, g.currentLease.Epoch > report.Epoch
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

// AnnounceLeader records another gate's notice that it leads.
func (g *Gate) AnnounceLeader(_ context.Context, notice control.LeaderNotice) control.LeaderNoticeReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.elector.Observe(boottime.Now(), lease.Lease{Holder: notice.Leader, Epoch: notice.Epoch})
	return control.LeaderNoticeReply{}
}

// Ask answers a query of another gate about a job or a queue, if this gate
// leads.
func (g *Gate) Ask(_ context.Context, query control.Query) control.QueryReply {
	l := g.localLeader()
	if l == nil {
		return control.QueryReply{}
	}
	return l.answer(query)
}

// CallTable carries out a table operation for another process that has no direct
// table access.
func (g *Gate) CallTable(ctx context.Context, call control.TableCall) control.TableReply {
	return g.table.Serve(ctx, call)
}

// askLeader sends a query to the leader, which may be this gate. It returns the
// zero QueryReply if no leader answers.
func (g *Gate) askLeader(ctx context.Context, query control.Query) control.QueryReply {
	if l := g.localLeader(); l != nil {
		return l.answer(query)
	}
	to := g.redirect().Leader
	if to == "" || to == g.config.Node {
		return control.QueryReply{}
	}
	ctx, cancel := context.WithTimeout(ctx, gateCallTimeout)
	defer cancel()
	reply, err := g.client.Ask(ctx, to, query)
	if err != nil {
		klog.V(1).InfoS("leader did not answer", "leader", to, "reason", err)
		return control.QueryReply{}
	}
	return reply
}

// State asks the leader for the state of a job. known is false if the leader
// does not know the job, ok is false if no leader answered.
func (g *Gate) State(ctx context.Context, id work.JobID) (state region.State, known, ok bool) {
	reply := g.askLeader(ctx, control.Query{Job: id})
	return region.State(reply.State), reply.Known, reply.Leads
}

// Waiting asks the leader how many jobs of a queue have not begun. It returns
// false if no leader answered.
func (g *Gate) Waiting(ctx context.Context, queue work.QueueID) (int, bool) {
	reply := g.askLeader(ctx, control.Query{Queue: queue})
	return reply.Waiting, reply.Leads
}
