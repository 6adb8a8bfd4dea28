package membership

import "net/netip"

// Meta is the metadata that a member publishes about itself and its target.
// Only the member changes it, and every change increases its incarnation.
type Meta struct {
	// Customer and Service identify the target's service. Both are empty until
	// the target has registered. Each is at most MaxNameBytes long.
	Customer, Service string
	// PeerAddr is the TCP address at which the member accepts connections from
	// other nodes; the zero value means that it accepts none.
	PeerAddr netip.AddrPort
	// FailureDomain and Region are at most MaxNameBytes long each.
	FailureDomain, Region string
	TargetState           TargetState
	// Slots is the number of requests that the target runs concurrently.
	Slots uint32
}
