package machine

import "net/netip"

// Valid reports whether the node is an IP number and a port from 1 to 65535.
func (n Node) Valid() bool {
	address, err := netip.ParseAddrPort(string(n))
	return err == nil && address.Port() > 0
}
