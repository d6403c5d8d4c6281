package lovageroad

import (
	"context"
	"math/rand/v2"

	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/internal/agent"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/ingress"
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

// agentRole runs an agent: the process beside an upstream.
type agentRole struct {
	settings AgentSettings
	config   config
}

// NewAgent returns the role of an agent: the process that runs tasks on an upstream
// on behalf of the leading gate.
func NewAgent(settings AgentSettings, options ...Option) Role {
	return &agentRole{settings: settings, config: newConfig(options)}
}

// Run announces the upstream to the gates and runs tasks on it. When the context
// ends it drains the agent.
func (a *agentRole) Run(ctx context.Context) error {
	// roleCtx outlives ctx so that the agent can drain.
	roleCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	credentials, err := a.config.load(a.settings.TLSFiles())
	if err != nil {
		return err
	}
	p := a.newProcess(roleCtx, credentials)
	in := newIngress()
	in.Register(p.registry)
	peerServer, err := serve(in, ingress.Peers, a.settings.Peer, p.peerHandler(), serverConfig(credentials))
	if err != nil {
		return err
	}
	defer peerServer.Close()
	if a.settings.Listen != "" {
		publicServer, err := serve(in, ingress.Probes, a.settings.Listen, p.publicHandler(), nil)
		if err != nil {
			return err
		}
		defer publicServer.Close()
	}
	go p.loop.Run(roleCtx)
	go p.start()
	klog.InfoS("agent serves", "peer", a.settings.Peer, "worker", a.settings.Worker)
	<-ctx.Done()
	a.drain(roleCtx, p)
	return nil
}

// newProcess connects the agent's state machine to its server, the runner and the
// platform.
func (a *agentRole) newProcess(ctx context.Context, credentials *mtls.Credentials) *agentProcess {
	self := machine.Node(a.settings.Peer)
	registry := prom.NewRegistry()
	p := &agentProcess{ctx: ctx, registry: registry, metrics: prom.NewProcess(registry), drained: make(chan struct{})}
	store := platform.NewClient(string(a.settings.Platform), newPlatformClient())
	client, scheme := newClient(credentials)
	sender := peer.NewSender(ctx, self, scheme, client, p.metrics.CountDropped)
	p.driver = upstream.NewDriver(ctx, upstream.NewClient(string(a.settings.Upstream), newPlatformClient()), store, p.post)
	core := agent.New(a.worker(), settings.Nodes(a.settings.Gates),
		agent.WithIncarnation(wire.Incarnation(rand.Uint64())))
	p.loop = loop.New(self, core,
		loop.WithStore(store, store),
		loop.WithSend(sender.Send),
		loop.WithObserve(p.metrics.ObserveOperation),
		loop.WithHandle(p.handle),
	)
	return p
}

// drain accepts no new tasks and returns when the running ones have ended and their
// results are acknowledged, but after the drain time-out at the latest.
func (a *agentRole) drain(ctx context.Context, p *agentProcess) {
	p.post(ctx, agent.Drain{})
	drainCtx, cancel := context.WithTimeout(ctx, a.settings.Drain)
	defer cancel()
	select {
	case <-p.drained:
	case <-drainCtx.Done():
		klog.InfoS("agent drain timed out with tasks running", "worker", a.settings.Worker)
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
