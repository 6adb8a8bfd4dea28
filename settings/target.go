package settings

import (
	"net/netip"

	"github.com/goldcrestsail/goldcrestsail/policy"
)

// Target announces a target that does not announce itself.
type Target struct {
	Name    policy.ServiceName
	Address netip.AddrPort
	// Slots is how many requests the target serves at once.
	Slots int
}
