package settings

import (
	"net/netip"

	"github.com/lovageroad/lovageroad/internal/mtls"
)

// Keys returns the files of the gate's keys for the system's own processes, and
// whether there are any.
func (g *Gate) Keys() (mtls.Files, bool) {
	files := mtls.Files{Certificate: string(g.Certificate), Key: string(g.Key), Authority: string(g.Authority)}
	return files, g.Certificate != ""
}

// PublicKeys returns the files of the gate's keys for callers and operators.
// They are those for the system's own processes if no others are set.
func (g *Gate) PublicKeys() (mtls.Files, bool) {
	files, ok := g.Keys()
	if g.PublicCertificate == "" {
		return files, ok
	}
	files.Certificate, files.Key = string(g.PublicCertificate), string(g.PublicKey)
	return files, true
}

// Keys returns the files of the agent's keys, and whether there are any.
func (a *Agent) Keys() (mtls.Files, bool) {
	files := mtls.Files{Certificate: string(a.Certificate), Key: string(a.Key), Authority: string(a.Authority)}
	return files, a.Certificate != ""
}

func (g *Gate) check() *KeyError {
	if (g.PublicCertificate == "") != (g.PublicKey == "") {
		return &KeyError{Key: "public-key", Reason: "goes with public-certificate"}
	}
	return checkKeys(g.Certificate, g.Key, g.Authority, g.Listen, g.Peer)
}

func (a *Agent) check() *KeyError {
	return checkKeys(a.Certificate, a.Key, a.Authority, a.Peer)
}

// checkKeys requires keys on every address but loopback.
func checkKeys(certificate, key, authority File, addresses ...Address) *KeyError {
	set := certificate != ""
	if (key != "") != set {
		return &KeyError{Key: "key", Reason: "goes with certificate"}
	}
	if (authority != "") != set {
		return &KeyError{Key: "authority", Reason: "goes with certificate"}
	}
	for _, address := range addresses {
		parsed, err := netip.ParseAddrPort(string(address))
		if err == nil && !parsed.Addr().IsLoopback() && !set {
			return &KeyError{Key: "certificate", Reason: "is missing: " + string(address) + " is not loopback"}
		}
	}
	return nil
}
