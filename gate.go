package lovageroad

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
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
	self := machine.Node(g.settings.Peer)
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
	store := platform.NewClient(string(g.settings.Platform), newPlatformClient())
	metrics := prom.NewGate()
	client, scheme := newClient(keys)
	sender := peer.NewSender(inner, self, scheme, client, metrics.Dropped)
	var run *loop.Loop
	post := func(ctx context.Context, event machine.Event) bool { return run.Post(ctx, event) }
	callers := caller.New(post, store)
	overview := console.New(post)
	operators := operator.New(post, g.settings.Region, g.settings.Operators)
	core := gate.New(self, g.settings.Region,
		gate.WithGates(settings.Nodes(g.settings.Gates)...),
		gate.WithSeed(rand.Uint64()),
		gate.WithLeaveTimeout(g.settings.Drain*2/3),
	)
	left := make(chan struct{})
	var once sync.Once
	run = loop.New(self, core,
		loop.WithStore(store, store),
		loop.WithSend(sender.Send),
		loop.WithObserve(metrics.Store),
		loop.WithHandle(func(effect machine.Effect) {
			if _, ok := effect.(gate.Left); ok {
				once.Do(func() { close(left) })
				return
			}
			metrics.Observe(effect)
			prom.Log(effect)
			callers.Handle(effect)
			overview.Handle(effect)
			operators.Handle(effect)
		}),
	)
	router := chi.NewRouter()
	callers.Routes(router)
	overview.Routes(router, operators.Authenticate)
	operators.Routes(router)
	router.Handle("/metrics", metrics.Handler())
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	public, err := serve(g.settings.Listen, router, secure)
	if err != nil {
		return err
	}
	defer public.Close()
	own := http.NewServeMux()
	own.Handle(peer.NewHandler(deliver(inner, run.Post)))
	private, err := serve(g.settings.Peer, own, serverConfig(keys))
	if err != nil {
		return err
	}
	defer private.Close()
	go run.Run(inner)
	run.Post(inner, gate.Start{})
	klog.InfoS("gate serves", "listen", g.settings.Listen, "peer", g.settings.Peer, "region", g.settings.Region)
	<-ctx.Done()
	g.leave(inner, post, public, left)
	return nil
}

// leave hands the leadership over and answers what is open, and returns after
// the longest time of a graceful shutdown at the latest.
func (g *gateRole) leave(ctx context.Context, post poster, public *http.Server, left <-chan struct{}) {
	drain, cancel := context.WithTimeout(ctx, g.settings.Drain)
	defer cancel()
	post(drain, gate.Leave{})
	if err := public.Shutdown(drain); err != nil {
		klog.InfoS("gate shut down with requests open", "reason", err)
	}
	select {
	case <-left:
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
