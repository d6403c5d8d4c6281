package serve

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// balancerNoticeTime is how long the load balancer may still send new
	// connections after the gate has reported that it is not ready: two health
	// checks a second apart, and the time that a connection takes.
	balancerNoticeTime = 2500 * time.Millisecond

	// shutdownShare is the share of the shutdown grace period within which open
	// requests must end.
	shutdownShare = 0.75
)

// Drainer wraps a gate's HTTP handler for graceful shutdown. Once Drain has been
// called, each response asks its client to open another connection, so that no
// request is cut off when the server ends.
type Drainer struct {
	handler  http.Handler
	draining atomic.Bool
}

// NewDrainer returns a Drainer for a handler.
func NewDrainer(handler http.Handler) *Drainer {
	return &Drainer{handler: handler}
}

// ServeHTTP passes a request to the handler.
func (d *Drainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	d.handler.ServeHTTP(w, r)
}

// Draining reports whether Drain has been called, so that new connections should
// go to another gate.
func (d *Drainer) Draining() bool {
	return d.draining.Load()
}

// Drain keeps serving until the load balancer has had time to notice, and then
// shuts the server down once its open requests are answered, all within
// shutdownShare of the grace period. It returns the error of http.Server.Shutdown.
func (d *Drainer) Drain(ctx context.Context, server *http.Server, grace time.Duration) error {
	d.draining.Store(true)
	limit := time.Duration(shutdownShare * float64(grace))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	// Leave open requests at least two fifths of the limit.
	select {
	case <-time.After(min(balancerNoticeTime, limit/2+limit/10)):
	case <-ctx.Done():
	}
	return server.Shutdown(ctx)
}
