package lovageroad

import (
	"context"
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/lovageroad/lovageroad/internal/agent"
	"github.com/lovageroad/lovageroad/internal/loop"
	"github.com/lovageroad/lovageroad/internal/peer"
	"github.com/lovageroad/lovageroad/internal/prom"
	"github.com/lovageroad/lovageroad/internal/upstream"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// agentProcess is an agent's machine with what is round it.
type agentProcess struct {
	ctx      context.Context
	loop     *loop.Loop
	driver   *upstream.Driver
	registry *prometheus.Registry
	metrics  *prom.Process
	left     chan struct{}
	once     sync.Once
}

// post hands an event to the machine.
func (p *agentProcess) post(ctx context.Context, event machine.Event) bool {
	return p.loop.Post(ctx, event)
}

// handle passes an effect of the machine to whom it concerns.
func (p *agentProcess) handle(effect machine.Effect) {
	if _, ok := effect.(agent.Left); ok {
		p.once.Do(func() { close(p.left) })
		return
	}
	p.driver.Handle(effect)
}

// begin starts the agent with the tasks that its runner has.
func (p *agentProcess) begin() {
	tasks, err := p.driver.Tasks(p.ctx)
	if err != nil {
		return
	}
	p.post(p.ctx, agent.Start{Tasks: tasks})
	p.driver.Watch()
}

// public serves Prometheus and whoever asks whether the process lives.
func (p *agentProcess) public() http.Handler {
	router := chi.NewRouter()
	router.Handle("/metrics", prom.Handler(p.registry))
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return router
}

// private serves the system's own processes.
func (p *agentProcess) private() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(deliver(p.ctx, p.post)))
	return mux
}
