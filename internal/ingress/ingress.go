package ingress

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"
)

const (
	// MaxHeaderBytes is the largest head of a request in bytes. The HTTP server allows
	// some more.
	MaxHeaderBytes = 16 << 10

	// receiveBuffer is the receive buffer of a client connection in bytes. It bounds
	// what the kernel holds of requests that are not read.
	receiveBuffer = 16 << 10

	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second

	namespace = "lovageroad"
)

type (
	// Ingress serves HTTP within the budget of a process.
	Ingress struct {
		groups        [classCount]*group
		heap          int64
		limited       *prometheus.CounterVec
		headerTimeout time.Duration
		idleTimeout   time.Duration
	}

	// Option configures an Ingress.
	Option func(*Ingress)

	// listener admits the connections of a group.
	listener struct {
		net.Listener
		group *group
	}
)

// WithTimeouts sets how long a client may take for the head of a request, and be idle.
func WithTimeouts(header, idle time.Duration) Option {
	return func(i *Ingress) { i.headerTimeout, i.idleTimeout = header, idle }
}

// New returns an Ingress for a process with these resources.
func New(resources Resources, options ...Option) *Ingress {
	i := &Ingress{
		limited: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "clients_limited_total", Help: "Requests refused and connections closed to bound what clients hold.",
		}, []string{"class", "reason"}),
		headerTimeout: defaultHeaderTimeout, idleTimeout: defaultIdleTimeout,
	}
	for _, option := range options {
		option(i)
	}
	budget := NewBudget(resources)
	for class := range classCount {
		i.groups[class] = newGroup(class, budget.Quotas[class], func(class Class, reason Reason) {
			i.limited.WithLabelValues(class.String(), string(reason)).Inc()
		})
	}
	i.heap = budget.Heap
	return i
}

// LimitHeap has the Go runtime keep to its part of the memory of the process, if that is
// known.
func (i *Ingress) LimitHeap() {
	if i.heap > 0 {
		debug.SetMemoryLimit(i.heap)
	}
}

// Register registers the metrics.
func (i *Ingress) Register(registry prometheus.Registerer) {
	registry.MustRegister(i.limited)
	for _, g := range i.groups {
		labels := prometheus.Labels{"class": g.class.String()}
		registry.MustRegister(
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: "client_connections", Help: "Open connections of clients.", ConstLabels: labels}, func() float64 {
				connections, _ := g.usage()
				return float64(connections)
			}),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: "client_bytes", Help: "Memory reserved for large requests, in bytes.", ConstLabels: labels}, func() float64 {
				_, bytes := g.usage()
				return float64(bytes)
			}))
	}
}

// Listen listens on an address for clients of a class.
func (i *Ingress) Listen(class Class, network, address string) (net.Listener, error) {
	var config net.ListenConfig
	if class != Peers {
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without the option more is buffered, and nothing else changes.
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			})
		}
	}
	raw, err := config.Listen(context.Background(), network, address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: raw, group: i.groups[class]}, nil
}

// Serve serves a handler in the background on a listener of Listen. It uses TLS if
// tlsConfig is not nil.
func (i *Ingress) Serve(l net.Listener, class Class, handler http.Handler, tlsConfig *tls.Config) *http.Server {
	address := l.Addr().String()
	if tlsConfig != nil {
		l = tls.NewListener(l, tlsConfig)
	}
	server := &http.Server{
		Handler: i.groups[class].limit(handler), ReadHeaderTimeout: i.headerTimeout, IdleTimeout: i.idleTimeout,
		MaxHeaderBytes: MaxHeaderBytes, ConnState: followState,
		ConnContext: func(ctx context.Context, raw net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, underlying(raw))
		},
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "HTTP server failed", "address", address)
		}
	}()
	return server
}

// Accept returns the next connection that is admitted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.group.open(raw); c != nil {
			return c, nil
		}
	}
}

// followState passes a change of the state of a connection on to it.
func followState(raw net.Conn, state http.ConnState) {
	c := underlying(raw)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.endHead()
	case http.StateIdle:
		c.awaitRequest()
	}
}

// underlying returns the connection of the group below TLS, or nil.
func underlying(raw net.Conn) *conn {
	if t, ok := raw.(*tls.Conn); ok {
		raw = t.NetConn()
	}
	c, _ := raw.(*conn)
	return c
}
