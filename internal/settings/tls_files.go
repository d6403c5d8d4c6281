package settings

import (
	"net/netip"

	"github.com/lovageroad/lovageroad/internal/mtls"
)

// TLSFiles returns the files of the certificate with which the gate talks to the other
// gates and the agents, and false if none is configured.
func (g *Gate) TLSFiles() (mtls.FileSource, bool) {
	files := mtls.FileSource{Certificate: string(g.Certificate), Key: string(g.Key), Authority: string(g.Authority)}
	return files, g.Certificate != ""
}

// PublicTLSFiles returns the files of the certificate with which the gate serves
// callers and operators, and false if none is configured. By default it is the
// certificate that TLSFiles returns.
func (g *Gate) PublicTLSFiles() (mtls.FileSource, bool) {
	files, ok := g.TLSFiles()
	if g.PublicCertificate == "" {
		return files, ok
	}
	files.Certificate, files.Key = string(g.PublicCertificate), string(g.PublicKey)
	return files, true
}

// TLSFiles returns the files of the certificate with which the agent talks to the
// gates and the other agents, and false if none is configured.
func (a *Agent) TLSFiles() (mtls.FileSource, bool) {
	files := mtls.FileSource{Certificate: string(a.Certificate), Key: string(a.Key), Authority: string(a.Authority)}
	return files, a.Certificate != ""
}

func (g *Gate) validate() *SettingError {
	if (g.PublicCertificate == "") != (g.PublicKey == "") {
		return &SettingError{Key: "public-key", Reason: "must be set together with public-certificate"}
	}
	return checkTLSFiles(g.Certificate, g.Key, g.Authority, g.Listen, g.Peer)
}

func (a *Agent) validate() *SettingError {
	return checkTLSFiles(a.Certificate, a.Key, a.Authority, a.Peer)
}

// checkTLSFiles returns a SettingError if only some of certificate, key and authority
// are set, or if none is set and an address is not loopback.
func checkTLSFiles(certificate, key, authority File, addresses ...Address) *SettingError {
	set := certificate != ""
	if (key != "") != set {
		return &SettingError{Key: "key", Reason: "must be set together with certificate"}
	}
	if (authority != "") != set {
		return &SettingError{Key: "authority", Reason: "must be set together with certificate"}
	}
	for _, address := range addresses {
		parsed, err := netip.ParseAddrPort(string(address))
		if err == nil && !parsed.Addr().IsLoopback() && !set {
			return &SettingError{Key: "certificate", Reason: "is missing: " + string(address) + " is not loopback"}
		}
	}
	return nil
}
