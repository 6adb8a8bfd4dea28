package mesh

import (
	"context"
	"net/netip"

	"github.com/goldcrestsail/goldcrestsail/registration"
)

// Records keeps what has to outlast the processes of a node, and shows the nodes
// of a deployment to each other. Its methods are called by one goroutine each
// and may fail at any time.
type Records interface {
	// List returns the records of all instances.
	List(ctx context.Context) ([]Record, error)
	// Save replaces the record of an instance.
	Save(ctx context.Context, r Record) error
	// Remove drops the record of an instance.
	Remove(ctx context.Context, instance string) error
}

// Record is what is kept of one instance.
type Record struct {
	Instance string
	// Gossip is the address for membership.
	Gossip netip.AddrPort
	// Departures are those that the node has acknowledged.
	Departures []registration.Departure
}
