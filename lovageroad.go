// Package lovageroad runs the roles of a scheduler for multi-accelerator jobs
// under client account guarantees: the gate on each entry VM, and the agent
// beside each upstream.
//
// A role takes its settings, serves until its context ends, and then shuts down
// without cutting a request.
package lovageroad

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/lovageroad/lovageroad/internal/settings"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// HeaderTimeout bounds the time in which a peer or caller sends its headers.
	HeaderTimeout = 10 * time.Second

	// MaxHeader is the largest header in bytes of a request.
	MaxHeader = 16 << 10

	// DialTimeout bounds the time in which a connection is made.
	DialTimeout = 2 * time.Second
)

type (
	// GateSettings are the settings of a gate.
	GateSettings = settings.Gate

	// AgentSettings are the settings of an agent.
	AgentSettings = settings.Agent

	// PlatformSettings are the settings of the stand-in for the platform.
	PlatformSettings = settings.Platform

	// Role is a process of the system.
	Role interface {
		// Run serves until the context ends and the role has shut down. It
		// returns an error if the role cannot begin to serve.
		Run(ctx context.Context) error
	}
)

// serve serves HTTP on an address until stopped is closed.
func serve(address settings.Address, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, trace.Wrap(err, "cannot listen on %s", address)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: HeaderTimeout,
		MaxHeaderBytes:    MaxHeader,
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return
		}
	}()
	return server, nil
}

// newClient returns an HTTP client for the system's own connections.
func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: DialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	}}
}

// poster is the part of a loop that takes events.
type poster func(ctx context.Context, event machine.Event) bool

// deliver returns a function that posts messages to a machine.
func deliver(ctx context.Context, post poster) func(machine.Message) {
	return func(message machine.Message) { post(ctx, message) }
}
