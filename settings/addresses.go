package settings

import "net/netip"

// Addresses are where a node listens. A port of 0 lets the system choose.
type Addresses struct {
	// Caller takes HTTP requests of clients.
	Caller netip.AddrPort
	// TargetSide takes announcements and sub-calls of the target beside the
	// node. It is a loopback address, since its callers are trusted.
	TargetSide netip.AddrPort
	// Peer takes RPCs of other nodes. They use this address, so it names an IP.
	Peer netip.AddrPort
	// Gossip takes UDP datagrams of other nodes. It names an IP as well.
	Gossip netip.AddrPort
	// Admin serves metrics, the state dump and drain.
	Admin netip.AddrPort
}
