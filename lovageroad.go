// Package lovageroad runs the roles of a scheduler for multi-accelerator jobs
// under client account guarantees: the gate on each entry VM, and the agent
// beside each upstream.
//
// A role takes its settings, serves until its context ends, and then shuts down
// without cutting a request.
package lovageroad

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/internal/mtls"
	"github.com/lovageroad/lovageroad/internal/settings"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// HeaderTimeout bounds the time in which a peer or caller sends its headers.
	HeaderTimeout = 10 * time.Second

	// MaxHeader is the largest header in bytes of a request.
	MaxHeader = 16 << 10

	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout = time.Minute

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

	// RunnerSettings are the settings of the stand-in for a runner.
	RunnerSettings = settings.Runner

	// Keys gives a process its certificate and the authorities that it trusts.
	Keys = mtls.Source

	// Option changes how a role runs.
	Option func(*config)

	config struct {
		keys Keys
	}

	// Role is a process of the system.
	Role interface {
		// Run serves until the context ends and the role has shut down. It
		// returns an error if the role cannot begin to serve.
		Run(ctx context.Context) error
	}
)

// WithKeys sets the keys for the system's own processes, in place of the files
// that the settings name.
func WithKeys(source Keys) Option {
	return func(c *config) { c.keys = source }
}

func newConfig(options []Option) config {
	var c config
	for _, option := range options {
		option(&c)
	}
	return c
}

// load returns the keys for the system's own processes, or nil if there are
// none.
func (c config) load(files mtls.Files, set bool) (*mtls.Keys, error) {
	source := c.keys
	if source == nil && set {
		source = files
	}
	if source == nil {
		return nil, nil
	}
	keys, err := mtls.NewKeys(source, time.Now)
	return keys, trace.Wrap(err)
}

// serve serves HTTP on an address, by TLS if there is a configuration for it.
func serve(address settings.Address, handler http.Handler, secure *tls.Config) (*http.Server, error) {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, trace.Wrap(err, "cannot listen on %s", address)
	}
	if secure != nil {
		listener = tls.NewListener(listener, secure)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: HeaderTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    MaxHeader,
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "server ended", "address", address)
		}
	}()
	return server, nil
}

// newClient returns an HTTP client for the system's own connections, by mutual
// TLS if there are keys, and the scheme that it speaks.
func newClient(keys *mtls.Keys) (*http.Client, string) {
	dialer := &net.Dialer{Timeout: DialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     IdleTimeout,
	}
	if keys == nil {
		return &http.Client{Transport: transport}, "http"
	}
	transport.DialTLSContext = keys.Dial(dialer)
	return &http.Client{Transport: transport}, "https"
}

// newPlatformClient returns an HTTP client for the platform and the runner.
func newPlatformClient() *http.Client {
	client, _ := newClient(nil)
	return client
}

func serverConfig(keys *mtls.Keys) *tls.Config {
	if keys == nil {
		return nil
	}
	return keys.Server()
}

// poster is the part of a loop that takes events.
type poster func(ctx context.Context, event machine.Event) bool

// deliver returns a function that posts messages to a machine.
func deliver(ctx context.Context, post poster) func(machine.Message) {
	return func(message machine.Message) { post(ctx, message) }
}
