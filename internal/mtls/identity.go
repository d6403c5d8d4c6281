package mtls

import (
	"crypto/tls"
	"net/netip"
	"slices"

	"github.com/lovageroad/lovageroad/pkg/machine"
)

// IdentityError reports that the certificate of a connection lacks the role that
// is needed or, if Role is empty, the IP address of the claimed sender.
type IdentityError struct {
	Node machine.Node
	Role Role
}

func (e *IdentityError) Error() string {
	if e.Role != "" {
		return "the peer's certificate does not carry the role " + string(e.Role)
	}
	return "the peer's certificate does not carry the IP address of " + string(e.Node)
}

// CheckNode returns an IdentityError unless the peer's certificate carries the IP
// address of the node.
func CheckNode(state *tls.ConnectionState, node machine.Node) error {
	address, err := netip.ParseAddrPort(string(node))
	if err != nil || len(state.PeerCertificates) == 0 {
		return &IdentityError{Node: node}
	}
	if state.PeerCertificates[0].VerifyHostname(address.Addr().String()) != nil {
		return &IdentityError{Node: node}
	}
	return nil
}

// CheckRole returns an IdentityError unless the peer's certificate carries the
// role as a DNS name.
func CheckRole(state *tls.ConnectionState, role Role) error {
	if len(state.PeerCertificates) > 0 && slices.Contains(state.PeerCertificates[0].DNSNames, string(role)) {
		return nil
	}
	return &IdentityError{Role: role}
}
