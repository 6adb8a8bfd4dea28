package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Node is the membership state machine of one process.
type Node struct {
	cfg Config
	rng *rand.Rand
}

// New returns a node that joins through cfg.Seeds with the first steps. It
// returns a *kind.Error of kind settings-invalid with all faults of cfg.
func New(cfg Config, rng *rand.Rand, now time.Time) (*Node, error) {
	cfg = cfg.WithDefaults()
	if faults := cfg.Validate(); len(faults) > 0 {
		return nil, &kind.Error{Kind: kind.SettingsInvalid, Fields: faults}
	}
	return &Node{cfg: cfg, rng: rng}, nil
}

// Step advances the node to now, handles in and returns the effects in the
// order in which they are to be carried out. Time must not go backwards.
func (n *Node) Step(now time.Time, in Event) []Effect { return nil }

// NextTick returns when the node next needs a Tick.
func (n *Node) NextTick() time.Time { return time.Time{} }

// Members returns all known members in no particular order, the node itself
// and remembered dead members included.
func (n *Node) Members() []Member { return nil }

// Self returns the node's own entry.
func (n *Node) Self() Member { return Member{} }

// HighestConfigOffset returns the highest configuration offset seen in any
// header or set locally, and the peer address of the member that sent it. The
// address is the zero value when the node itself holds the highest offset.
func (n *Node) HighestConfigOffset() (offset uint64, from netip.AddrPort) {
	return 0, netip.AddrPort{}
}

// Broadcasts returns the live broadcasts in no particular order.
func (n *Node) Broadcasts() []Broadcast { return nil }

// HealthScore returns the local health score: 0 is healthy, and higher values
// mean that this node is itself slow or badly connected.
func (n *Node) HealthScore() int { return 0 }

// Stats returns the counters.
func (n *Node) Stats() Stats { return Stats{} }
