package mtls

import (
	"crypto/tls"
	"net/netip"
	"slices"

	"github.com/lovageroad/lovageroad/pkg/machine"
)

// IdentityError says that a message names a sender that the certificate of its
// connection does not carry.
type IdentityError struct {
	Node machine.Node
	Role Role
}

func (e *IdentityError) Error() string {
	if e.Role != "" {
		return "the certificate does not carry the role " + string(e.Role)
	}
	return "the certificate does not carry the address of " + string(e.Node)
}

// CheckNode returns an IdentityError unless the peer's certificate carries the
// IP number of the node.
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
// role.
func CheckRole(state *tls.ConnectionState, role Role) error {
	if len(state.PeerCertificates) > 0 && slices.Contains(state.PeerCertificates[0].DNSNames, string(role)) {
		return nil
	}
	return &IdentityError{Role: role}
}
