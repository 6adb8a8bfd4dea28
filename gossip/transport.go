package gossip

import (
	"context"
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

// Transport is a running membership node. Its methods are safe for concurrent use.
type Transport struct{}

// Start binds the socket, starts the goroutines and begins to join.
func Start(cfg Config) (*Transport, error) { return &Transport{}, nil }

// Addr returns the address that other members use.
func (t *Transport) Addr() netip.AddrPort { return netip.AddrPort{} }

// UpdateMeta replaces the metadata of this process.
func (t *Transport) UpdateMeta(m membership.Meta) {}

// SetConfigOffset sets the configuration offset in the headers of this process.
func (t *Transport) SetConfigOffset(offset uint64) {}

// Broadcast sends an application message to all members.
func (t *Transport) Broadcast(b membership.Broadcast) {}

// Members returns a copy of the member table, this process included.
func (t *Transport) Members() []membership.Member { return nil }

// Self returns the entry of this process.
func (t *Transport) Self() membership.Member { return membership.Member{} }

// HighestConfigOffset returns the highest configuration offset seen and the
// peer address of the member that sent it; see membership.Node.
func (t *Transport) HighestConfigOffset() (offset uint64, from netip.AddrPort) {
	return 0, netip.AddrPort{}
}

// Stats returns the counters of the state machine.
func (t *Transport) Stats() membership.Stats { return membership.Stats{} }

// HealthScore returns the local health score; 0 is healthy.
func (t *Transport) HealthScore() int { return 0 }

// Leave announces the departure, waits until it has been sent often enough or
// ctx ends, and closes the transport. It returns the error of ctx.
func (t *Transport) Leave(ctx context.Context) error { return nil }

// Close stops the transport without announcing the departure and waits for its
// goroutines.
func (t *Transport) Close() error { return nil }
