package lovageroad

import (
	"context"
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"

	"github.com/lovageroad/lovageroad/internal/caller"
	"github.com/lovageroad/lovageroad/internal/console"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/loop"
	"github.com/lovageroad/lovageroad/internal/operator"
	"github.com/lovageroad/lovageroad/internal/peer"
	"github.com/lovageroad/lovageroad/internal/prom"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// gateProcess is a gate's state machine with the servers that feed it events and
// carry out its effects.
type gateProcess struct {
	ctx       context.Context
	loop      *loop.Loop
	metrics   *prom.Gate
	callers   *caller.Server
	console   *console.Server
	operators *operator.Server
	probes    *loop.Exchange[gate.RequestID, gate.Probed]
	drained   chan struct{}
	drainOnce sync.Once
}

// post passes an event to the state machine. It returns false if the context ends
// first.
func (p *gateProcess) post(ctx context.Context, event machine.Event) bool {
	return p.loop.Post(ctx, event)
}

// handle logs and counts effects, and passes those that package machine does not
// define to the server that they concern.
func (p *gateProcess) handle(effect machine.Effect) {
	p.metrics.Observe(effect)
	prom.LogChange(effect)
	switch e := effect.(type) {
	case gate.ShutdownComplete:
		p.drainOnce.Do(func() { close(p.drained) })
	case gate.Probed:
		p.probes.Answer(e.Request, e)
	default:
		p.callers.Handle(effect)
		p.console.Handle(effect)
		p.operators.Handle(effect)
	}
}

// publicHandler serves callers, operators, metrics, and the liveness and readiness
// checks.
func (p *gateProcess) publicHandler() http.Handler {
	router := chi.NewRouter()
	p.callers.Routes(router)
	p.console.Routes(router, p.operators.Authenticate)
	p.operators.Routes(router)
	router.Handle("/metrics", p.metrics.Handler())
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/readyz", p.ready)
	return router
}

// peerHandler serves messages from agents and other gates.
func (p *gateProcess) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(deliver(p.ctx, p.post)))
	return mux
}

// ready answers the load balancer's readiness check: 200 if the gate accepts new
// work, and else 503.
func (p *gateProcess) ready(w http.ResponseWriter, r *http.Request) {
	answer, ok := p.probes.Ask(r.Context(), func(id gate.RequestID) machine.Event {
		return gate.Probe{Request: id}
	}, nil)
	switch {
	case !ok:
		http.Error(w, "gate did not answer in time", http.StatusServiceUnavailable)
	case answer.Reason != "":
		http.Error(w, answer.Reason, http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}
