package mtls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"
)

const (
	authorityLifetime   = 24 * time.Hour
	certificateLifetime = 12 * time.Hour

	// clockSkew is how long before its issue a certificate is already valid, for
	// peers whose clocks are behind.
	clockSkew = time.Minute

	// serialBits is the length of the random serial numbers.
	serialBits = 120
)

type (
	// Authority is a certificate authority whose key exists only in memory. It is
	// for the command dev and for tests.
	Authority struct {
		certificate    *x509.Certificate
		key            *ecdsa.PrivateKey
		certificatePEM []byte
	}

	// StaticSource is a Source whose material never changes.
	StaticSource struct {
		Material Material
	}
)

var _ Source = StaticSource{}

// Load returns the material.
func (s StaticSource) Load() (Material, error) { return s.Material, nil }

// Version returns a constant, as the material never changes.
func (StaticSource) Version() string { return "fixed" }

// NewAuthority returns an authority with a new key, whose certificate is valid
// from now for authorityLifetime.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate(now, "lovageroad authority", authorityLifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: certificate, key: key, certificatePEM: encodePEM("CERTIFICATE", der)}, nil
}

// Issue returns a certificate for a role at an IP address, with its key, valid
// from now for certificateLifetime.
func (a *Authority) Issue(now time.Time, role Role, address net.IP) (Material, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Material{}, err
	}
	template, err := newTemplate(now, string(role), certificateLifetime)
	if err != nil {
		return Material{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.DNSNames = []string{string(role)}
	template.IPAddresses = []net.IP{address}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Material{}, err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Material{}, err
	}
	return Material{Certificate: encodePEM("CERTIFICATE", der), Key: encodePEM("PRIVATE KEY", private), Authority: a.certificatePEM}, nil
}

// Certificate returns the authority's certificate in PEM.
func (a *Authority) Certificate() []byte {
	return a.certificatePEM
}

// newTemplate returns the fields of a certificate that is yet to be signed, with a
// random serial number.
func newTemplate(now time.Time, name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
