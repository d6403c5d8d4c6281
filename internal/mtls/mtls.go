// Package mtls manages the TLS certificate of a process: it configures TLS for
// callers and operators, and mutual TLS between gates and agents. Certificates
// are reloaded when their files change, so that they can be replaced while the
// process runs.
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
	// DefaultInterval is the shortest time between two checks of the files for
	// changes.
	DefaultInterval = 10 * time.Second

	// RoleGate is the name that the certificate of a gate carries.
	RoleGate Role = "gate.lovageroad"

	// RoleAgent is the name that the certificate of an agent carries.
	RoleAgent Role = "agent.lovageroad"
)

type (
	// Role is a DNS name in a certificate that says which kind of process holds it,
	// and so what the process may do.
	Role string

	// Source provides the certificate of a process and the authorities that the
	// process trusts.
	Source interface {
		// Load returns the certificate, its key and the authorities.
		Load() (Material, error)

		// Version returns a text that changes whenever the result of Load changes.
		Version() string
	}

	// Material is a certificate, its private key and the certificates of the
	// trusted authorities, all in PEM.
	Material struct {
		Certificate []byte
		Key         []byte
		Authority   []byte
	}

	// FileSource is a Source that reads the PEM files with these paths.
	FileSource struct {
		Certificate string
		Key         string
		Authority   string
	}

	// MaterialError reports which part of a Material cannot be used: certificate,
	// key or authority.
	MaterialError struct {
		Part   string
		Reason string
	}

	// Credentials holds the certificate, the private key and the trusted authorities of a
	// process, and reloads them from its source. It is safe for use by several
	// goroutines.
	Credentials struct {
		source    Source
		interval  time.Duration
		now       func() time.Time
		mu        sync.Mutex
		checkedAt time.Time
		version   string
		current   *parsedMaterial
	}

	// parsedMaterial is a parsed Material.
	parsedMaterial struct {
		certificate tls.Certificate
		authorities *x509.CertPool
	}
)

var _ Source = FileSource{}

func (e *MaterialError) Error() string {
	return e.Part + ": " + e.Reason
}

// Load reads the files.
func (f FileSource) Load() (Material, error) {
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

// Version returns the modification times and sizes of the files, or the empty
// string if those of one cannot be read.
func (f FileSource) Version() string {
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

// NewCredentials loads the certificate, the private key and the authorities of a source.
// It returns a MaterialError if they cannot be read or parsed.
func NewCredentials(source Source, now func() time.Time) (*Credentials, error) {
	c := &Credentials{source: source, interval: DefaultInterval, now: now}
	current, err := c.load()
	if err != nil {
		return nil, err
	}
	c.current, c.version, c.checkedAt = current, source.Version(), now()
	return c, nil
}

// PublicServerConfig returns the configuration of a server for callers and operators,
// who need no certificate.
func (c *Credentials) PublicServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.latest().certificate, nil
		},
	}
}

// ServerConfig returns the configuration of a server for gates and agents. Clients must
// present a certificate of a trusted authority.
func (c *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := c.latest()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{current.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    current.authorities,
				NextProtos:   []string{"http/1.1"},
			}, nil
		},
	}
}

// Dial returns a function that connects to a gate or agent and completes the TLS
// handshake. The server's certificate must carry the dialled IP address.
func (c *Credentials) Dial(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		rawConnection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tlsConnection := tls.Client(rawConnection, c.clientConfig(host))
		if err := tlsConnection.HandshakeContext(ctx); err != nil {
			return nil, errors.Join(err, rawConnection.Close())
		}
		return tlsConnection, nil
	}
}

func (c *Credentials) clientConfig(host string) *tls.Config {
	current := c.latest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{current.certificate},
		RootCAs:      current.authorities,
		ServerName:   host,
	}
}

// latest returns the current material, after reloading it if the source has
// changed. If the new material cannot be used, the former stays in use.
func (c *Credentials) latest() *parsedMaterial {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now.Sub(c.checkedAt) < c.interval {
		return c.current
	}
	c.checkedAt = now
	version := c.source.Version()
	if version == c.version {
		return c.current
	}
	if current, err := c.load(); err == nil {
		c.current, c.version = current, version
	}
	return c.current
}

// load loads and parses the material of the source.
func (c *Credentials) load() (*parsedMaterial, error) {
	m, err := c.source.Load()
	if err != nil {
		return nil, err
	}
	certificate, err := tls.X509KeyPair(m.Certificate, m.Key)
	if err != nil {
		return nil, &MaterialError{Part: "certificate", Reason: err.Error()}
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(m.Authority) {
		return nil, &MaterialError{Part: "authority", Reason: "holds no certificate"}
	}
	return &parsedMaterial{certificate: certificate, authorities: authorities}, nil
}
