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
	"github.com/lovageroad/lovageroad/internal/loop"
	"github.com/lovageroad/lovageroad/internal/mtls"
	"github.com/lovageroad/lovageroad/internal/operator"
	"github.com/lovageroad/lovageroad/internal/peer"
	"github.com/lovageroad/lovageroad/internal/platform"
	"github.com/lovageroad/lovageroad/internal/prom"
	"github.com/lovageroad/lovageroad/internal/settings"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// gateRole runs a gate.
type gateRole struct {
	settings GateSettings
	config   config
}

// NewGate returns the role of an entry VM.
func NewGate(settings GateSettings, options ...Option) Role {
	return &gateRole{settings: settings, config: newConfig(options)}
}

// Run serves callers, operators and the system's own processes.
func (g *gateRole) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	keys, err := g.config.load(g.settings.Keys())
	if err != nil {
		return err
	}
	secure, err := g.publicConfig()
	if err != nil {
		return err
	}
	p := g.newProcess(inner, keys)
	public, err := serve(g.settings.Listen, p.public(), secure)
	if err != nil {
		return err
	}
	defer public.Close()
	private, err := serve(g.settings.Peer, p.private(), serverConfig(keys))
	if err != nil {
		return err
	}
	defer private.Close()
	go p.loop.Run(inner)
	p.post(inner, gate.Start{})
	klog.InfoS("gate serves", "listen", g.settings.Listen, "peer", g.settings.Peer, "region", g.settings.Region)
	<-ctx.Done()
	g.leave(inner, p, public)
	return nil
}

// newProcess puts the gate's machine between its servers.
func (g *gateRole) newProcess(ctx context.Context, keys *mtls.Keys) *gateProcess {
	self := machine.Node(g.settings.Peer)
	p := &gateProcess{ctx: ctx, metrics: prom.NewGate(), left: make(chan struct{})}
	store := platform.NewClient(string(g.settings.Platform), newPlatformClient())
	client, scheme := newClient(keys)
	sender := peer.NewSender(ctx, self, scheme, client, p.metrics.Dropped)
	p.callers = caller.New(p.post, store)
	p.console = console.New(p.post)
	p.operators = operator.New(p.post, g.settings.Region, g.settings.Operators)
	p.probes = loop.NewExchange[gate.RequestID, gate.Probed](p.post)
	core := gate.New(self, g.settings.Region,
		gate.WithGates(settings.Nodes(g.settings.Gates)...),
		gate.WithSeed(rand.Uint64()),
		gate.WithLeaveTimeout(g.settings.Drain*2/3),
	)
	p.loop = loop.New(self, core,
		loop.WithStore(store, store),
		loop.WithSend(sender.Send),
		loop.WithObserve(p.metrics.Store),
		loop.WithHandle(p.handle),
	)
	return p
}

// leave tells the balancer, hands the leadership over and answers what is open.
// It returns after the notice and the longest time of a graceful shutdown at the
// latest.
func (g *gateRole) leave(ctx context.Context, p *gateProcess, public *http.Server) {
	p.post(ctx, gate.Leave{})
	<-time.After(g.settings.Notice)
	drain, cancel := context.WithTimeout(ctx, g.settings.Drain)
	defer cancel()
	if err := public.Shutdown(drain); err != nil {
		klog.InfoS("gate shut down with requests open", "reason", err)
	}
	select {
	case <-p.left:
	case <-drain.Done():
		klog.InfoS("gate shut down before its leadership was handed over")
	}
}

// publicConfig returns the TLS configuration for callers and operators, or nil
// on loopback without keys.
func (g *gateRole) publicConfig() (*tls.Config, error) {
	files, ok := g.settings.PublicKeys()
	if !ok {
		return nil, nil
	}
	keys, err := mtls.NewKeys(files, time.Now)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return keys.Public(), nil
}
