package lovageroad

import (
	"context"
	"math/rand/v2"

	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/internal/agent"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/loop"
	"github.com/lovageroad/lovageroad/internal/mtls"
	"github.com/lovageroad/lovageroad/internal/peer"
	"github.com/lovageroad/lovageroad/internal/platform"
	"github.com/lovageroad/lovageroad/internal/prom"
	"github.com/lovageroad/lovageroad/internal/settings"
	"github.com/lovageroad/lovageroad/internal/upstream"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// agentRole runs an agent.
type agentRole struct {
	settings AgentSettings
	config   config
}

// NewAgent returns the role of the process beside an upstream.
func NewAgent(settings AgentSettings, options ...Option) Role {
	return &agentRole{settings: settings, config: newConfig(options)}
}

// Run announces the upstream and runs tasks on it.
func (a *agentRole) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	keys, err := a.config.load(a.settings.Keys())
	if err != nil {
		return err
	}
	p := a.newProcess(inner, keys)
	private, err := serve(a.settings.Peer, p.private(), serverConfig(keys))
	if err != nil {
		return err
	}
	defer private.Close()
	if a.settings.Listen != "" {
		public, err := serve(a.settings.Listen, p.public(), nil)
		if err != nil {
			return err
		}
		defer public.Close()
	}
	go p.loop.Run(inner)
	go p.begin()
	klog.InfoS("agent serves", "peer", a.settings.Peer, "worker", a.settings.Worker)
	<-ctx.Done()
	a.leave(inner, p)
	return nil
}

// newProcess puts the agent's machine between its server and its runner.
func (a *agentRole) newProcess(ctx context.Context, keys *mtls.Keys) *agentProcess {
	self := machine.Node(a.settings.Peer)
	registry := prom.NewRegistry()
	p := &agentProcess{ctx: ctx, registry: registry, metrics: prom.NewProcess(registry), left: make(chan struct{})}
	store := platform.NewClient(string(a.settings.Platform), newPlatformClient())
	client, scheme := newClient(keys)
	sender := peer.NewSender(ctx, self, scheme, client, p.metrics.Dropped)
	p.driver = upstream.NewDriver(ctx, upstream.NewClient(string(a.settings.Upstream), newPlatformClient()), store, p.post)
	core := agent.New(a.worker(), settings.Nodes(a.settings.Gates),
		agent.WithIncarnation(wire.Incarnation(rand.Uint64())))
	p.loop = loop.New(self, core,
		loop.WithStore(store, store),
		loop.WithSend(sender.Send),
		loop.WithObserve(p.metrics.Store),
		loop.WithHandle(p.handle),
	)
	return p
}

// leave takes no new tasks and returns when those at hand have ended, or after
// the longest time of a graceful shutdown.
func (a *agentRole) leave(ctx context.Context, p *agentProcess) {
	p.post(ctx, agent.Leave{})
	drain, cancel := context.WithTimeout(ctx, a.settings.Drain)
	defer cancel()
	select {
	case <-p.left:
	case <-drain.Done():
		klog.InfoS("agent shut down with tasks running", "worker", a.settings.Worker)
	}
}

func (a *agentRole) worker() floor.Worker {
	return floor.Worker{
		ID:           a.settings.Worker,
		Rack:         a.settings.Rack,
		DataCentre:   a.settings.DataCentre,
		Region:       a.settings.Region,
		Accelerators: a.settings.Accelerators,
		Cores:        a.settings.Cores,
		Memory:       a.settings.Memory,
		Slots:        a.settings.Slots,
		Cooling:      a.settings.Cooling,
	}
}
