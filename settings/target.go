package settings

import (
	"net/netip"

	"github.com/goldcrestsail/goldcrestsail/policy"
)

// Target is the static description of a target that does not announce itself.
type Target struct {
	Name    policy.ServiceName
	Address netip.AddrPort
	// Slots is the number of requests that the target serves at once.
	Slots int
}
