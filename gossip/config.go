package gossip

import (
	"net/netip"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestsail/goldcrestsail/membership"
)

// Config configures a Transport.
type Config struct {
	// Listen is the UDP address to bind. With port 0 the system picks one.
	Listen netip.AddrPort
	// Membership configures the state machine. If its Addr is the zero value,
	// the bound address is used; if its ID is zero, a random one is made.
	Membership membership.Config
	// Delegate receives changes; it is required.
	Delegate Delegate
	// Logger may be nil.
	Logger hclog.Logger
}
