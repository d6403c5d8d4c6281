package serve

import (
	"cmp"
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/runner"
	"github.com/lovageroad/lovageroad/pkg/boottime"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// agentTickInterval is the time between two ticks of the core, at which it
	// does what has become due.
	agentTickInterval = 100 * time.Millisecond

	// reportTimeout bounds a report to a gate, in addition to the time that the
	// report asks the gate to wait for orders.
	reportTimeout = 700 * time.Millisecond

	// runnerCallTimeout bounds a call to the runner, in addition to the time that
	// a RenewLease asks the runner to wait: many times what a runner takes, and short
	// enough that a task whose start was lost is soon started elsewhere.
	runnerCallTimeout = 400 * time.Millisecond

	// reportInterval and listInterval bound what an agent sends while much changes at
	// its runner, or while the leader is slow to acknowledge results.
	reportInterval = 50 * time.Millisecond
	listInterval   = 100 * time.Millisecond

	// maxEvents is the capacity of the queue of events for the core.
	maxEvents = 1024
)

type (
	// Driver sends calls to the runner beside the agent. Its methods block until
	// the runner answers or the context ends.
	Driver interface {
		Start(ctx context.Context, call runner.StartTask) runner.StartResult
		Stop(ctx context.Context, call runner.StopTask) runner.StopResult
		Pace(ctx context.Context, call runner.PaceTask) runner.PaceResult
		RenewLease(ctx context.Context, call runner.RenewLease) runner.RenewLeaseResult
	}

	// AgentConfig holds the settings of an Agent.
	AgentConfig struct {
		ID control.AgentID

		// Seeds are the gates that the settings name.
		Seeds  []machine.Node
		Table  table.Table
		Driver Driver

		// HoldTime is how long a task may run after the last orders that a leader
		// gave the agent.
		HoldTime time.Duration

		// MaxLease is the longest lease that the runner grants.
		MaxLease time.Duration
	}

	// Agent is the process beside a runner: it reports to the leading gate,
	// carries out the leader's orders at the runner and logs what it does. It feeds
	// events to a runner.Core and carries out the effects that the core returns.
	Agent struct {
		config AgentConfig
		core   *runner.Core
		client *control.Client
		events chan any
		ctx    context.Context

		// ignoredRows has the versions of the rows that are not those of gates. Only
		// findGates uses it, of which one call runs at a time.
		ignoredRows map[table.Key]table.Version
		metrics     *Metrics
	}
)

// NewAgent returns an agent; Run starts it. Its incarnation is the boot time in
// nanoseconds, which differs from that of other processes under the same ID.
func NewAgent(config AgentConfig) *Agent {
	incarnation := control.Incarnation(boottime.Now().UnixNano())
	return &Agent{
		config: config, client: control.NewClient(), events: make(chan any, maxEvents),
		ignoredRows: make(map[table.Key]table.Version), metrics: NewMetrics(),
		core: runner.New(config.ID, incarnation, config.Seeds, runner.WithHoldTime(config.HoldTime), runner.WithMaxLease(config.MaxLease),
			runner.WithIntervals(reportInterval, listInterval)),
	}
}

// Metrics returns the agent's metrics.
func (a *Agent) Metrics() *Metrics { return a.metrics }

// Post queues an event for the core. It blocks while the queue is full and
// returns false if the context ends first.
func (a *Agent) Post(ctx context.Context, event any) bool {
	select {
	case a.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// AddGates adds gates that are named in the settings.
func (a *Agent) AddGates(ctx context.Context, gates []machine.Node) {
	a.Post(ctx, gates)
}

// Run processes events until the context ends.
func (a *Agent) Run(ctx context.Context) {
	a.ctx = ctx
	ticker := time.NewTicker(agentTickInterval)
	defer ticker.Stop()
	timer := time.NewTimer(agentTickInterval)
	defer timer.Stop()
	for {
		var event any
		select {
		case <-ctx.Done():
			return
		case event = <-a.events:
		case <-ticker.C:
			event = runner.Tick{}
		case <-timer.C:
			event = runner.Tick{}
		}
		if gates, ok := event.([]machine.Node); ok {
			a.core.AddGates(gates)
			event = runner.Tick{}
		}
		now := boottime.Now()
		for _, effect := range a.core.Step(now, event) {
			a.execute(effect)
		}
		if next := a.core.NextStep(); next.After(now) {
			timer.Reset(next.Sub(now))
		}
	}
}

// findGates reads the gates' rows from the table. The gates that announced themselves last
// come first, since the rows of those that are gone stay for a while.
func (a *Agent) findGates(ctx context.Context) any {
	rows, err := scanAll(ctx, a.config.Table, gatePrefix)
	slices.SortStableFunc(rows, func(x, y table.Row) int { return cmp.Compare(y.Version, x.Version) })
	return runner.GatesFound{Gates: gateNodes(rows, a.ignoredRows), Err: err}
}

// execute carries out an effect. The result of a call is posted as an event.
func (a *Agent) execute(effect any) {
	switch e := effect.(type) {
	case runner.Log:
		a.metrics.events.WithLabelValues(e.Event).Inc()
		klog.InfoS(e.Event, e.KeyValues...)
	case runner.Send:
		a.runAsync(func(ctx context.Context) any {
			orders, err := a.client.Report(ctx, e.To, e.Report)
			return runner.SendResult{Call: e, Orders: orders, Err: err}
		}, e.Report.Wait+reportTimeout)
	case runner.FindGates:
		a.runAsync(a.findGates, tableTimeout)
	case runner.StartTask:
		a.runAsync(func(ctx context.Context) any { return a.config.Driver.Start(ctx, e) }, runnerCallTimeout)
	case runner.StopTask:
		a.runAsync(func(ctx context.Context) any { return a.config.Driver.Stop(ctx, e) }, runnerCallTimeout)
	case runner.PaceTask:
		a.runAsync(func(ctx context.Context) any { return a.config.Driver.Pace(ctx, e) }, runnerCallTimeout)
	case runner.RenewLease:
		a.runAsync(func(ctx context.Context) any { return a.config.Driver.RenewLease(ctx, e) }, e.Wait+runnerCallTimeout)
	}
}

// runAsync calls f with a time-out in a goroutine of its own and posts its result.
func (a *Agent) runAsync(f func(ctx context.Context) any, timeout time.Duration) {
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, timeout)
		defer cancel()
		a.Post(a.ctx, f(ctx))
	}()
}
