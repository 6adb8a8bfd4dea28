package mesh

import (
	"context"
	"errors"
	"net/netip"

	"github.com/goldcrestsail/goldcrestsail/registration"
)

// ErrFenced means that a record has been saved with a higher token.
var ErrFenced = errors.New("a record with a higher token has been saved")

// Records stores what must survive the processes of a node and lets the nodes
// of a deployment discover each other. Each method is called by one goroutine
// at a time and may fail at any time.
type Records interface {
	// List returns the records of all instances and the timeline of the store, 0 if
	// it states none.
	List(ctx context.Context) (records []Record, timeline uint64, err error)
	// Save replaces the record of an instance and returns the timeline in which the
	// store has acknowledged it. A save with a lower token than one that has taken
	// effect takes none, and returns ErrFenced if it is answered.
	Save(ctx context.Context, r Record, token uint64) (timeline uint64, err error)
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
	// CrashReports are the encoded quarantine.Entry values about crashes that
	// this node has reported.
	CrashReports [][]byte
	// Timeline is the timeline of the store in which the departures were known to be
	// complete, or 0 if they may not be.
	Timeline uint64
}
