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

// agentProcess is an agent's state machine with the components that feed it events
// and carry out its effects.
type agentProcess struct {
	ctx       context.Context
	loop      *loop.Loop
	driver    *upstream.Driver
	registry  *prometheus.Registry
	metrics   *prom.Process
	drained   chan struct{}
	drainOnce sync.Once
}

// post passes an event to the state machine. It returns false if the context ends
// first.
func (p *agentProcess) post(ctx context.Context, event machine.Event) bool {
	return p.loop.Post(ctx, event)
}

// handle carries out the effects that package machine does not define.
func (p *agentProcess) handle(effect machine.Effect) {
	if _, ok := effect.(agent.DrainDone); ok {
		p.drainOnce.Do(func() { close(p.drained) })
		return
	}
	p.driver.Handle(effect)
}

// start starts the agent with the tasks that its runner already has. It then reports
// the worker's usage to the agent until the context ends.
func (p *agentProcess) start() {
	tasks, err := p.driver.Tasks(p.ctx)
	if err != nil {
		return
	}
	p.post(p.ctx, agent.Start{Tasks: tasks})
	p.driver.ReportUsage()
}

// publicHandler serves metrics and the liveness check.
func (p *agentProcess) publicHandler() http.Handler {
	router := chi.NewRouter()
	router.Handle("/metrics", prom.Handler(p.registry))
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return router
}

// peerHandler serves messages from gates and other agents.
func (p *agentProcess) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(deliver(p.ctx, p.post)))
	return mux
}
