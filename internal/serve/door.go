package serve

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// noticeTime is how long the balancer may send new connections after the
	// gate has said that it is not ready: two checks a second apart, and as
	// much as a connection takes.
	noticeTime = 2500 * time.Millisecond

	// graceShare is the part of the grace at a shutdown in which requests end.
	graceShare = 0.75
)

// Door lets requests in to a handler. Once it closes, each answer asks its
// client for another connection, so that none is cut at the end.
type Door struct {
	handler http.Handler
	closing atomic.Bool
}

// NewDoor returns a door to a handler.
func NewDoor(handler http.Handler) *Door {
	return &Door{handler: handler}
}

// ServeHTTP passes a request on.
func (d *Door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	d.handler.ServeHTTP(w, r)
}

// Closing reports whether new connections are to go elsewhere.
func (d *Door) Closing() bool {
	return d.closing.Load()
}

// Close serves on until the balancer has noticed, and then ends the server when
// its requests are answered, all within the grace.
func (d *Door) Close(ctx context.Context, server *http.Server, grace time.Duration) error {
	d.closing.Store(true)
	limit := time.Duration(graceShare * float64(grace))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case <-time.After(min(noticeTime, limit/2+limit/10)):
	case <-ctx.Done():
	}
	return server.Shutdown(ctx)
}
