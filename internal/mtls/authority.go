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
	authorityTerm   = 24 * time.Hour
	certificateTerm = 12 * time.Hour
	clockSkew       = time.Minute
	serialBits      = 120
)

type (
	// Authority signs certificates with a key in memory. It is for the command
	// dev and for tests.
	Authority struct {
		certificate *x509.Certificate
		key         *ecdsa.PrivateKey
		pem         []byte
	}

	// Fixed is a Source that never changes.
	Fixed struct {
		Material Material
	}
)

var _ Source = Fixed{}

// Load returns the material.
func (f Fixed) Load() (Material, error) { return f.Material, nil }

// Version returns the same text always.
func (Fixed) Version() string { return "fixed" }

// NewAuthority returns an authority with a new key.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate(now, "lovageroad authority", authorityTerm)
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
	return &Authority{certificate: certificate, key: key, pem: encode("CERTIFICATE", der)}, nil
}

// Issue returns a certificate for a role at an IP number, with its key.
func (a *Authority) Issue(now time.Time, role Role, address net.IP) (Material, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Material{}, err
	}
	template, err := newTemplate(now, string(role), certificateTerm)
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
	return Material{Certificate: encode("CERTIFICATE", der), Key: encode("PRIVATE KEY", private), Authority: a.pem}, nil
}

// Certificate returns the authority's certificate in PEM.
func (a *Authority) Certificate() []byte {
	return a.pem
}

func newTemplate(now time.Time, name string, term time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(term),
	}, nil
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
