package membership

import "net/netip"

// Meta is what a member publishes about itself and its target. Only the member
// changes it, and every change raises the member's incarnation.
type Meta struct {
	// Customer and Service name the target's service; both are empty until
	// the target has announced itself. Each holds at most MaxNameBytes bytes.
	Customer, Service string
	// PeerAddr is the TCP address of the member's peer listener; the zero
	// value means that the member has none.
	PeerAddr netip.AddrPort
	// FailureDomain and Region hold at most MaxNameBytes bytes each.
	FailureDomain, Region string
	TargetState           TargetState
	// Slots is the number of requests the target runs at once.
	Slots uint32
}
