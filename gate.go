package lovageroad

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/internal/caller"
	"github.com/lovageroad/lovageroad/internal/console"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/ingress"
	"github.com/lovageroad/lovageroad/internal/loop"
	"github.com/lovageroad/lovageroad/internal/mtls"
	"github.com/lovageroad/lovageroad/internal/operator"
	"github.com/lovageroad/lovageroad/internal/peer"
	"github.com/lovageroad/lovageroad/internal/platform"
	"github.com/lovageroad/lovageroad/internal/prom"
	"github.com/lovageroad/lovageroad/internal/settings"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// gateRole runs a gate: the process that callers reach.
type gateRole struct {
	settings GateSettings
	config   config
}

// NewGate returns the role of a gate: the process on an entry VM that serves callers
// and operators, and that leads the region when elected.
func NewGate(settings GateSettings, options ...Option) Role {
	return &gateRole{settings: settings, config: newConfig(options)}
}

// Run serves callers, operators, gates and agents. When the context ends it drains
// the gate.
func (g *gateRole) Run(ctx context.Context) error {
	// roleCtx outlives ctx so that the gate can drain.
	roleCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	credentials, err := g.config.load(g.settings.TLSFiles())
	if err != nil {
		return err
	}
	tlsConfig, err := g.publicConfig()
	if err != nil {
		return err
	}
	p := g.newProcess(roleCtx, credentials)
	in := newIngress()
	in.Register(p.metrics.Registry())
	publicServer, err := serve(in, ingress.Callers, g.settings.Listen, p.publicHandler(), tlsConfig)
	if err != nil {
		return err
	}
	defer publicServer.Close()
	peerServer, err := serve(in, ingress.Peers, g.settings.Peer, p.peerHandler(), serverConfig(credentials))
	if err != nil {
		return err
	}
	defer peerServer.Close()
	go p.loop.Run(roleCtx)
	p.post(roleCtx, gate.Start{})
	klog.InfoS("gate serves", "listen", g.settings.Listen, "peer", g.settings.Peer, "region", g.settings.Region)
	<-ctx.Done()
	g.drain(roleCtx, p, publicServer)
	return nil
}

// newProcess connects the gate's state machine to its servers and the platform.
func (g *gateRole) newProcess(ctx context.Context, credentials *mtls.Credentials) *gateProcess {
	self := machine.Node(g.settings.Peer)
	p := &gateProcess{ctx: ctx, metrics: prom.NewGate(), drained: make(chan struct{})}
	store := platform.NewClient(string(g.settings.Platform), newPlatformClient())
	client, scheme := newClient(credentials)
	sender := peer.NewSender(ctx, self, scheme, client, p.metrics.CountDropped)
	p.callers = caller.New(p.post, store)
	p.console = console.New(p.post)
	p.operators = operator.New(p.post, g.settings.Region, g.settings.Operators)
	p.probes = loop.NewExchange[gate.RequestID, gate.Probed](p.post)
	core := gate.New(self, g.settings.Region,
		gate.WithGates(settings.Nodes(g.settings.Gates)...),
		gate.WithSeed(rand.Uint64()),
		gate.WithShutdownTimeout(g.settings.Drain*2/3),
	)
	p.loop = loop.New(self, core,
		loop.WithStore(store, store),
		loop.WithSend(sender.Send),
		loop.WithObserve(p.metrics.ObserveOperation),
		loop.WithHandle(p.handle),
	)
	return p
}

// drain reports the gate as not ready, waits for the load balancer to notice, hands
// over the leadership and completes open requests. It returns after the notice time
// plus the drain time-out at the latest.
func (g *gateRole) drain(ctx context.Context, p *gateProcess, public *http.Server) {
	p.post(ctx, gate.Shutdown{})
	<-time.After(g.settings.BalancerNotice)
	drainCtx, cancel := context.WithTimeout(ctx, g.settings.Drain)
	defer cancel()
	if err := public.Shutdown(drainCtx); err != nil {
		klog.InfoS("gate drain timed out with requests open", "reason", err)
	}
	select {
	case <-p.drained:
	case <-drainCtx.Done():
		klog.InfoS("gate drain timed out before the leadership was handed over")
	}
}

// publicConfig returns the TLS configuration for callers and operators, or nil if
// no certificate is set, which is allowed on loopback only.
func (g *gateRole) publicConfig() (*tls.Config, error) {
	files, ok := g.settings.PublicTLSFiles()
	if !ok {
		return nil, nil
	}
	credentials, err := mtls.NewCredentials(files, time.Now)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return credentials.PublicServerConfig(), nil
}
