package gossip

import (
	"net/netip"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestsail/goldcrestsail/membership"
)

// Config configures a Transport.
type Config struct {
	// Listen is the UDP address to bind. With port 0 the system chooses a port.
	Listen netip.AddrPort
	// Membership configures the state machine. A zero Addr is replaced by the
	// bound address, and a zero ID by a random one.
	Membership membership.Config
	// Delegate receives notifications. It is required.
	Delegate Delegate
	// Logger is optional; nil disables logging.
	Logger hclog.Logger
}
