package mesh

import (
	"context"
	"net/netip"

	"github.com/goldcrestsail/goldcrestsail/registration"
)

// Records stores what must survive the processes of a node and lets the nodes
// of a deployment discover each other. Each method is called by one goroutine
// at a time and may fail at any time.
type Records interface {
	// List returns the records of all instances and the timeline of the store, 0 if
	// it states none.
	List(ctx context.Context) (records []Record, timeline uint64, err error)
	// Save replaces the record of an instance and returns the timeline in which the
	// store has acknowledged it.
	Save(ctx context.Context, r Record) (timeline uint64, err error)
	// Remove deletes the record of an instance.
	Remove(ctx context.Context, instance string) error
}

// Record is the stored state of one instance.
type Record struct {
	Instance string
	// Gossip is the gossip address of the node.
	Gossip netip.AddrPort
	// Departures are the departures that the node has acknowledged.
	Departures []registration.Departure
	// Timeline is the timeline of the store in which the departures were known to be
	// complete, or 0 if they may not be.
	Timeline uint64
}
