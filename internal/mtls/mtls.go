// Package mtls holds the keys of a process: it serves TLS to callers and
// operators, and mutual TLS between the system's own processes. Certificates
// are read again when their files change, so that they can be replaced while
// the process runs.
package mtls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// DefaultInterval is the time between two looks at the files.
	DefaultInterval = 10 * time.Second

	// RoleGate is the name that the certificate of a gate carries.
	RoleGate Role = "gate.lovageroad"

	// RoleAgent is the name that the certificate of an agent carries.
	RoleAgent Role = "agent.lovageroad"
)

type (
	// Role is a name in a certificate that says what its holder may do.
	Role string

	// Source gives the certificate of a process and the authorities that it
	// trusts, in PEM.
	Source interface {
		// Load returns the certificate, its key and the authorities.
		Load() (Material, error)

		// Version changes whenever Load would return something else.
		Version() string
	}

	// Material is a certificate, its key and the authorities to trust, in PEM.
	Material struct {
		Certificate []byte
		Key         []byte
		Authority   []byte
	}

	// Files is a Source that reads files.
	Files struct {
		Certificate string
		Key         string
		Authority   string
	}

	// MaterialError says which part of a process's keys cannot be used.
	MaterialError struct {
		Part   string
		Reason string
	}

	// Keys holds the keys of a process.
	Keys struct {
		source   Source
		interval time.Duration
		now      func() time.Time
		mu       sync.Mutex
		checked  time.Time
		version  string
		current  *pair
	}

	pair struct {
		certificate tls.Certificate
		pool        *x509.CertPool
	}
)

var _ Source = Files{}

func (e *MaterialError) Error() string {
	return e.Part + ": " + e.Reason
}

// Load reads the files.
func (f Files) Load() (Material, error) {
	var m Material
	for _, part := range []struct {
		name string
		path string
		data *[]byte
	}{
		{"certificate", f.Certificate, &m.Certificate},
		{"key", f.Key, &m.Key},
		{"authority", f.Authority, &m.Authority},
	} {
		data, err := os.ReadFile(part.path)
		if err != nil {
			return m, &MaterialError{Part: part.name, Reason: err.Error()}
		}
		*part.data = data
	}
	return m, nil
}

// Version returns the times and sizes of the files.
func (f Files) Version() string {
	var version string
	for _, path := range []string{f.Certificate, f.Key, f.Authority} {
		info, err := os.Stat(path)
		if err != nil {
			return ""
		}
		version += fmt.Sprintf("%d/%d ", info.ModTime().UnixNano(), info.Size())
	}
	return version
}

// NewKeys returns the keys of a source. It returns a MaterialError if they
// cannot be used.
func NewKeys(source Source, now func() time.Time) (*Keys, error) {
	k := &Keys{source: source, interval: DefaultInterval, now: now}
	current, err := k.load()
	if err != nil {
		return nil, err
	}
	k.current, k.version, k.checked = current, source.Version(), now()
	return k, nil
}

// Public returns the configuration of a server for callers and operators.
func (k *Keys) Public() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &k.pair().certificate, nil
		},
	}
}

// Server returns the configuration of a server for the system's own processes.
// Each must show a certificate of a trusted authority.
func (k *Keys) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := k.pair()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{current.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    current.pool,
				NextProtos:   []string{"http/1.1"},
			}, nil
		},
	}
}

// Dial returns a function that connects to the system's own processes. The
// server's certificate must carry the IP number that is dialled.
func (k *Keys) Dial(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		plain, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		connection := tls.Client(plain, k.client(host))
		if err := connection.HandshakeContext(ctx); err != nil {
			return nil, errors.Join(err, plain.Close())
		}
		return connection, nil
	}
}

func (k *Keys) client(host string) *tls.Config {
	current := k.pair()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{current.certificate},
		RootCAs:      current.pool,
		ServerName:   host,
	}
}

// pair returns the present keys. If files that changed cannot be used, the
// former keys stay.
func (k *Keys) pair() *pair {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if now.Sub(k.checked) < k.interval {
		return k.current
	}
	k.checked = now
	version := k.source.Version()
	if version == k.version {
		return k.current
	}
	if current, err := k.load(); err == nil {
		k.current, k.version = current, version
	}
	return k.current
}

func (k *Keys) load() (*pair, error) {
	m, err := k.source.Load()
	if err != nil {
		return nil, err
	}
	certificate, err := tls.X509KeyPair(m.Certificate, m.Key)
	if err != nil {
		return nil, &MaterialError{Part: "certificate", Reason: err.Error()}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(m.Authority) {
		return nil, &MaterialError{Part: "authority", Reason: "holds no certificate"}
	}
	return &pair{certificate: certificate, pool: pool}, nil
}
