package lovageroad

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/internal/agent"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/loop"
	"github.com/lovageroad/lovageroad/internal/peer"
	"github.com/lovageroad/lovageroad/internal/platform"
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
	self := machine.Node(a.settings.Peer)
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	keys, err := a.config.load(a.settings.Keys())
	if err != nil {
		return err
	}
	store := platform.NewClient(string(a.settings.Platform), newPlatformClient())
	client, scheme := newClient(keys)
	sender := peer.NewSender(inner, self, scheme, client, func(string) {})
	var run *loop.Loop
	post := func(ctx context.Context, event machine.Event) bool { return run.Post(ctx, event) }
	driver := upstream.NewDriver(inner, upstream.NewClient(string(a.settings.Upstream), newPlatformClient()), store, post)
	left := make(chan struct{})
	var once sync.Once
	handle := func(effect machine.Effect) {
		if _, ok := effect.(agent.Left); ok {
			once.Do(func() { close(left) })
			return
		}
		driver.Handle(effect)
	}
	core := agent.New(a.worker(), settings.Nodes(a.settings.Gates),
		agent.WithIncarnation(wire.Incarnation(rand.Uint64())))
	run = loop.New(self, core, loop.WithStore(store, store), loop.WithSend(sender.Send), loop.WithHandle(handle))
	own := http.NewServeMux()
	own.Handle(peer.NewHandler(deliver(inner, post)))
	private, err := serve(a.settings.Peer, own, serverConfig(keys))
	if err != nil {
		return err
	}
	defer private.Close()
	go run.Run(inner)
	go begin(inner, driver, post)
	klog.InfoS("agent serves", "peer", a.settings.Peer, "worker", a.settings.Worker)
	<-ctx.Done()
	run.Post(inner, agent.Leave{})
	drain, cancel := context.WithTimeout(inner, a.settings.Drain)
	defer cancel()
	select {
	case <-left:
	case <-drain.Done():
		klog.InfoS("agent shut down with tasks running", "worker", a.settings.Worker)
	}
	return nil
}

// begin starts the agent with the tasks that its runner has.
func begin(ctx context.Context, driver *upstream.Driver, post poster) {
	tasks, err := driver.Tasks(ctx)
	if err != nil {
		return
	}
	post(ctx, agent.Start{Tasks: tasks})
	driver.Watch()
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
