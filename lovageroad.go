// Package lovageroad runs the processes of a scheduler for multi-accelerator jobs
// that guarantees capacity to client accounts: a gate on each entry VM, which
// callers and operators reach, and an agent beside each upstream, which runs tasks.
// The gates of a region elect one leader, which schedules.
//
// Each kind of process is a Role. A role serves until its context ends, and then
// drains: it completes what is in flight before it shuts down.
package lovageroad

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/lovageroad/lovageroad/internal/ingress"
	"github.com/lovageroad/lovageroad/internal/mtls"
	"github.com/lovageroad/lovageroad/internal/settings"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// HeaderTimeout is the time limit for reading the headers of a request.
	HeaderTimeout = 10 * time.Second

	// MaxHeaderBytes is the largest size in bytes of the headers of a request.
	MaxHeaderBytes = ingress.MaxHeaderBytes

	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout = time.Minute

	// DialTimeout is the time limit for opening a connection.
	DialTimeout = 2 * time.Second
)

type (
	// GateSettings are the settings of a gate.
	GateSettings = settings.Gate

	// AgentSettings are the settings of an agent.
	AgentSettings = settings.Agent

	// PlatformSettings are the settings of the fake platform.
	PlatformSettings = settings.Platform

	// RunnerSettings are the settings of a fake runner.
	RunnerSettings = settings.Runner

	// Keys provides the certificate of a process and the certificate authorities
	// that it trusts.
	Keys = mtls.Source

	// Option configures a role.
	Option func(*config)

	config struct {
		source Keys
	}

	// Role is a kind of process of the scheduler.
	Role interface {
		// Run serves until the context ends, then drains and returns. It returns
		// an error if the role cannot start.
		Run(ctx context.Context) error
	}
)

// WithCredentials sets the source of the credentials for connections between gates
// and agents. It replaces the files that the settings name.
func WithCredentials(source Keys) Option {
	return func(c *config) { c.source = source }
}

func newConfig(options []Option) config {
	var c config
	for _, option := range options {
		option(&c)
	}
	return c
}

// load returns the credentials for connections between gates and agents, or nil if
// there are none. set says whether the settings name files.
func (c config) load(files mtls.FileSource, set bool) (*mtls.Credentials, error) {
	source := c.source
	if source == nil && set {
		source = files
	}
	if source == nil {
		return nil, nil
	}
	credentials, err := mtls.NewCredentials(source, time.Now)
	return credentials, trace.Wrap(err)
}

// newIngress returns the ingress of a process. Its resources are not in the settings.
func newIngress() *ingress.Ingress {
	return ingress.New(ingress.Resources{}, ingress.WithTimeouts(HeaderTimeout, IdleTimeout))
}

// serve starts an HTTP server for a class of clients on an address. It uses TLS if
// tlsConfig is not nil.
func serve(in *ingress.Ingress, class ingress.Class, address settings.Address, handler http.Handler, tlsConfig *tls.Config) (*http.Server, error) {
	listener, err := in.Listen(class, "tcp", string(address))
	if err != nil {
		return nil, trace.Wrap(err, "cannot listen on %s", address)
	}
	return in.Serve(listener, class, handler, tlsConfig), nil
}

// newClient returns an HTTP client for connections between gates and agents, and its
// URL scheme. It uses mutual TLS if credentials is not nil.
func newClient(credentials *mtls.Credentials) (*http.Client, string) {
	dialer := &net.Dialer{Timeout: DialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     IdleTimeout,
	}
	if credentials == nil {
		return &http.Client{Transport: transport}, "http"
	}
	transport.DialTLSContext = credentials.Dial(dialer)
	return &http.Client{Transport: transport}, "https"
}

// newPlatformClient returns an HTTP client for the platform and the runner.
func newPlatformClient() *http.Client {
	client, _ := newClient(nil)
	return client
}

func serverConfig(credentials *mtls.Credentials) *tls.Config {
	if credentials == nil {
		return nil
	}
	return credentials.ServerConfig()
}

// postFunc passes an event to a state machine. It returns false if the context ends
// first.
type postFunc func(ctx context.Context, event machine.Event) bool

// deliver returns a function that passes messages to a state machine.
func deliver(ctx context.Context, post postFunc) func(machine.Message) {
	return func(message machine.Message) { post(ctx, message) }
}
