package mtls_test

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/mtls"
)

var (
	loopback     = net.IPv4(127, 0, 0, 1)
	otherAddress = net.IPv4(10, 0, 0, 7)
)

func issue(t *testing.T, a *mtls.Authority, role mtls.Role, ip net.IP) mtls.Material {
	t.Helper()
	m, err := a.Issue(time.Now(), role, ip)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func newAuthority(t *testing.T) *mtls.Authority {
	t.Helper()
	a, err := mtls.NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newCredentials(t *testing.T, source mtls.Source, now func() time.Time) *mtls.Credentials {
	t.Helper()
	k, err := mtls.NewCredentials(source, now)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// TestMutualTLS checks that a connection needs certificates of a common authority
// on both sides, and the dialled address in the server's certificate.
func TestMutualTLS(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	tests := []struct {
		name   string
		server mtls.Material
		client mtls.Material
		works  bool
	}{
		{"same authority", issue(t, own, mtls.RoleGate, loopback), issue(t, own, mtls.RoleAgent, loopback), true},
		{"client of another authority", issue(t, own, mtls.RoleGate, loopback), issue(t, other, mtls.RoleAgent, loopback), false},
		{"server of another authority", issue(t, other, mtls.RoleGate, loopback), issue(t, own, mtls.RoleAgent, loopback), false},
		{"server of another address", issue(t, own, mtls.RoleGate, otherAddress), issue(t, own, mtls.RoleAgent, loopback), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewUnstartedServer(http.NotFoundHandler())
			server.Config.ErrorLog = log.New(io.Discard, "", 0)
			server.TLS = newCredentials(t, mtls.StaticSource{Material: test.server}, time.Now).ServerConfig()
			server.StartTLS()
			defer server.Close()
			client := &http.Client{Transport: &http.Transport{
				DialTLSContext: newCredentials(t, mtls.StaticSource{Material: test.client}, time.Now).Dial(&net.Dialer{}),
			}}
			response, err := client.Get(server.URL)
			if err == nil {
				response.Body.Close()
			}
			if (err == nil) != test.works {
				t.Errorf("works: %v, want %v (%v)", err == nil, test.works, err)
			}
		})
	}
}

// TestIdentity checks that a certificate proves only its own address and role.
func TestIdentity(t *testing.T) {
	a := newAuthority(t)
	m := issue(t, a, mtls.RoleAgent, loopback)
	pair, err := tls.X509KeyPair(m.Certificate, m.Key)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	state := &tls.ConnectionState{PeerCertificates: []*x509.Certificate{leaf}}
	var identity *mtls.IdentityError
	if err := mtls.CheckNode(state, "127.0.0.1:7200"); err != nil {
		t.Error(err)
	}
	if err := mtls.CheckNode(state, "10.0.0.7:7200"); !errors.As(err, &identity) {
		t.Errorf("another address: %v", err)
	}
	if err := mtls.CheckRole(state, mtls.RoleAgent); err != nil {
		t.Error(err)
	}
	if err := mtls.CheckRole(state, mtls.RoleGate); !errors.As(err, &identity) {
		t.Errorf("another role: %v", err)
	}
}

// TestReload replaces the certificate files of a running process. A new valid
// certificate must be served; a broken file must not replace it.
func TestReload(t *testing.T) {
	dir := t.TempDir()
	files := mtls.FileSource{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	a := newAuthority(t)
	write(t, files, issue(t, a, mtls.RoleGate, loopback))
	now := time.Now()
	k := newCredentials(t, files, func() time.Time { return now })
	first := servedCertificate(t, k)
	write(t, files, issue(t, a, mtls.RoleGate, loopback))
	now = now.Add(mtls.DefaultInterval)
	second := servedCertificate(t, k)
	if first == second {
		t.Error("the new certificate is not served")
	}
	write(t, files, mtls.Material{Certificate: []byte("broken")})
	now = now.Add(mtls.DefaultInterval)
	if servedCertificate(t, k) != second {
		t.Error("a broken file replaced the certificate")
	}
}

func write(t *testing.T, files mtls.FileSource, m mtls.Material) {
	t.Helper()
	for path, data := range map[string][]byte{files.Certificate: m.Certificate, files.Key: m.Key, files.Authority: m.Authority} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func servedCertificate(t *testing.T, k *mtls.Credentials) string {
	t.Helper()
	certificate, err := k.PublicServerConfig().GetCertificate(nil)
	if err != nil {
		t.Fatal(err)
	}
	return string(certificate.Certificate[0])
}
