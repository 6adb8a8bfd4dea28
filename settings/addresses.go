package settings

import "net/netip"

// Addresses are the addresses on which a node listens. With port 0 the
// operating system chooses the port.
type Addresses struct {
	// Caller accepts HTTP requests of clients.
	Caller netip.AddrPort
	// TargetSide accepts announcements and sub-calls of the local target. It
	// must be a loopback address, since its callers are trusted.
	TargetSide netip.AddrPort
	// Peer accepts RPCs of other nodes. It must name an IP address, since other
	// nodes connect to it.
	Peer netip.AddrPort
	// Gossip receives UDP datagrams of other nodes. It must name an IP address
	// as well.
	Gossip netip.AddrPort
	// Admin serves metrics, the state dump and the drain command.
	Admin netip.AddrPort
}
