package serve

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/runner"
	"github.com/lovageroad/lovageroad/pkg/boottime"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// agentTick is the time between two looks at what has become due.
	agentTick = 100 * time.Millisecond

	// reportTimeout bounds the answer of a gate beyond the time that it waits.
	reportTimeout = 700 * time.Millisecond

	// startTimeout bounds a start: many times what a runner takes, and short
	// enough that a start that was lost is tried elsewhere soon.
	startTimeout = 400 * time.Millisecond

	// maxEvents is the number of events that wait for the core.
	maxEvents = 1024
)

type (
	// Driver carries out calls to the runner.
	Driver interface {
		Start(ctx context.Context, call runner.StartTask) runner.StartResult
		Stop(ctx context.Context, call runner.StopTask) runner.StopResult
		Look(ctx context.Context, call runner.Look) runner.LookResult
	}

	// AgentConfig is what an agent is told.
	AgentConfig struct {
		ID     control.AgentID
		Gates  []machine.Node
		Table  table.Table
		Driver Driver
		Hold   time.Duration
	}

	// Agent is the process beside a runner.
	Agent struct {
		config AgentConfig
		core   *runner.Core
		client *control.Client
		events chan any
		ctx    context.Context

		metrics *Metrics
	}
)

// NewAgent returns an agent that begins to serve with Run.
func NewAgent(config AgentConfig) *Agent {
	life := control.Life(boottime.Now().UnixNano())
	return &Agent{
		config: config, client: control.NewClient(), events: make(chan any, maxEvents),
		metrics: NewMetrics(),
		core:    runner.New(config.ID, life, config.Gates, runner.WithHold(config.Hold)),
	}
}

// Metrics returns what the agent counts.
func (a *Agent) Metrics() *Metrics { return a.metrics }

// Post hands the core an event of the runner. It returns false if the context
// ends first.
func (a *Agent) Post(ctx context.Context, event any) bool {
	select {
	case a.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// Seed adds gates that the settings name.
func (a *Agent) Seed(ctx context.Context, gates []machine.Node) {
	a.Post(ctx, gates)
}

// Run serves until the context ends.
func (a *Agent) Run(ctx context.Context) {
	a.ctx = ctx
	go a.find()
	ticker := time.NewTicker(agentTick)
	defer ticker.Stop()
	for {
		var event any
		select {
		case <-ctx.Done():
			return
		case event = <-a.events:
		case <-ticker.C:
			event = runner.Tick{}
		}
		if gates, ok := event.([]machine.Node); ok {
			a.core.Gates(gates)
			event = runner.Tick{}
		}
		for _, effect := range a.core.Step(boottime.Now(), event) {
			a.carry(effect)
		}
	}
}

// find reads the gates that have announced themselves, for agents whose
// settings name none that lives.
func (a *Agent) find() {
	for a.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(a.ctx, storeTimeout)
		rows, err := a.config.Table.Scan(ctx, gatePrefix, "", scanPage)
		cancel()
		if err == nil && len(rows) > 0 {
			a.Post(a.ctx, nodes(rows))
			return
		}
		select {
		case <-a.ctx.Done():
		case <-time.After(memberPause / 4):
		}
	}
}

// carry carries an effect out, and posts its result.
func (a *Agent) carry(effect any) {
	switch e := effect.(type) {
	case runner.Log:
		a.metrics.events.WithLabelValues(e.Event).Inc()
		klog.InfoS(e.Event, e.Pairs...)
	case runner.Send:
		a.call(func(ctx context.Context) any {
			word, err := a.client.Report(ctx, e.To, e.Report)
			return runner.Heard{Call: e, Word: word, Err: err}
		}, e.Report.Wait+reportTimeout)
	case runner.StartTask:
		a.call(func(ctx context.Context) any { return a.config.Driver.Start(ctx, e) }, startTimeout)
	case runner.StopTask:
		a.call(func(ctx context.Context) any { return a.config.Driver.Stop(ctx, e) }, startTimeout)
	case runner.Look:
		a.call(func(ctx context.Context) any { return a.config.Driver.Look(ctx, e) }, e.Wait+startTimeout)
	}
}

func (a *Agent) call(carry func(ctx context.Context) any, timeout time.Duration) {
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, timeout)
		defer cancel()
		a.Post(a.ctx, carry(ctx))
	}()
}
