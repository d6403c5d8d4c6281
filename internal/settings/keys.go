package settings

import (
	"net/netip"

	"github.com/lovageroad/lovageroad/internal/mtls"
)

// Keys returns the files of the certificate with which the gate talks to the other
// gates and the agents, and false if none is configured.
func (g *Gate) Keys() (mtls.Files, bool) {
	files := mtls.Files{Certificate: string(g.Certificate), Key: string(g.Key), Authority: string(g.Authority)}
	return files, g.Certificate != ""
}

// PublicKeys returns the files of the certificate with which the gate serves
// callers and operators, and false if none is configured. By default it is the
// certificate that Keys returns.
func (g *Gate) PublicKeys() (mtls.Files, bool) {
	files, ok := g.Keys()
	if g.PublicCertificate == "" {
		return files, ok
	}
	files.Certificate, files.Key = string(g.PublicCertificate), string(g.PublicKey)
	return files, true
}

// Keys returns the files of the certificate with which the agent talks to the
// gates, and false if none is configured.
func (a *Agent) Keys() (mtls.Files, bool) {
	files := mtls.Files{Certificate: string(a.Certificate), Key: string(a.Key), Authority: string(a.Authority)}
	return files, a.Certificate != ""
}

func (g *Gate) validate() *KeyError {
	if (g.PublicCertificate == "") != (g.PublicKey == "") {
		return &KeyError{Key: "public-key", Reason: "must be set together with public-certificate"}
	}
	return checkTLSFiles(g.Certificate, g.Key, g.Authority, g.Listen, g.Peer)
}

func (a *Agent) validate() *KeyError {
	return checkTLSFiles(a.Certificate, a.Key, a.Authority, a.Peer)
}

// checkTLSFiles returns a KeyError if only some of certificate, key and authority
// are set, or if none is set and an address is not loopback.
func checkTLSFiles(certificate, key, authority File, addresses ...Address) *KeyError {
	set := certificate != ""
	if (key != "") != set {
		return &KeyError{Key: "key", Reason: "must be set together with certificate"}
	}
	if (authority != "") != set {
		return &KeyError{Key: "authority", Reason: "must be set together with certificate"}
	}
	for _, address := range addresses {
		parsed, err := netip.ParseAddrPort(string(address))
		if err == nil && !parsed.Addr().IsLoopback() && !set {
			return &KeyError{Key: "certificate", Reason: "is missing: " + string(address) + " is not loopback"}
		}
	}
	return nil
}
