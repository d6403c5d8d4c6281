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

// gateProcess is a gate's machine with the servers round it.
type gateProcess struct {
	ctx       context.Context
	loop      *loop.Loop
	metrics   *prom.Gate
	callers   *caller.Server
	console   *console.Server
	operators *operator.Server
	probes    *loop.Exchange[gate.RequestID, gate.Probed]
	left      chan struct{}
	once      sync.Once
}

// post hands an event to the machine.
func (p *gateProcess) post(ctx context.Context, event machine.Event) bool {
	return p.loop.Post(ctx, event)
}

// handle passes an effect of the machine to whom it concerns.
func (p *gateProcess) handle(effect machine.Effect) {
	p.metrics.Observe(effect)
	prom.Log(effect)
	switch e := effect.(type) {
	case gate.Left:
		p.once.Do(func() { close(p.left) })
	case gate.Probed:
		p.probes.Answer(e.Request, e)
	default:
		p.callers.Handle(effect)
		p.console.Handle(effect)
		p.operators.Handle(effect)
	}
}

// public serves callers, operators, the balancer and Prometheus.
func (p *gateProcess) public() http.Handler {
	router := chi.NewRouter()
	p.callers.Routes(router)
	p.console.Routes(router, p.operators.Authenticate)
	p.operators.Routes(router)
	router.Handle("/metrics", p.metrics.Handler())
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/readyz", p.ready)
	return router
}

// private serves the system's own processes.
func (p *gateProcess) private() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(deliver(p.ctx, p.post)))
	return mux
}

// ready tells the balancer whether the gate takes new work.
func (p *gateProcess) ready(w http.ResponseWriter, r *http.Request) {
	answer, ok := p.probes.Ask(r.Context(), func(id gate.RequestID) machine.Event {
		return gate.Probe{Request: id}
	}, nil)
	switch {
	case !ok:
		http.Error(w, "no answer in time", http.StatusServiceUnavailable)
	case answer.Reason != "":
		http.Error(w, answer.Reason, http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}
