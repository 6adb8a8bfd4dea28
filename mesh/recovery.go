package mesh

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/ctxwait"
	"github.com/goldcrestsail/goldcrestsail/membership"
)

const (
	// saveTimeout bounds the write that precedes the acknowledgement of a
	// departure. A target waits one second for the acknowledgement.
	saveTimeout = 500 * time.Millisecond
	// departuresTimeout is how long a started node waits for the departures
	// that its earlier processes acknowledged, if the records cannot be read.
	departuresTimeout = 1500 * time.Millisecond
	// recordsRereadDelay is the delay before the records are read again: nodes
	// that start at the same time may have read them before the others had
	// written theirs.
	recordsRereadDelay = time.Second
	// rejoinInterval is how often the recorded nodes are contacted during
	// recordsRereadDelay. Nodes that start at the same time may not be
	// listening yet.
	rejoinInterval = 200 * time.Millisecond
	// minStoreRetryDelay and maxStoreRetryDelay bound the backoff after a
	// failed call. With the longer one, the store is still found within a
	// second of its return.
	minStoreRetryDelay = 100 * time.Millisecond
	maxStoreRetryDelay = time.Second
	// recordCleanupInterval is how often the records are compared with the
	// members. A record whose instance is absent in two consecutive comparisons
	// is removed: departures matter for seconds only, and a node that starts
	// again writes a new record.
	recordCleanupInterval = time.Hour
)

// recoverRecords joins through the records of all nodes, restores and replaces
// the node's own record, and removes stale records until ctx is canceled.
func (n *Node) recoverRecords(ctx context.Context) {
	timeout := time.AfterFunc(departuresTimeout, func() {
		n.log.Warn("departures of earlier processes could not be read in time; allowing work to the target")
		n.markDeparturesKnown()
	})
	defer timeout.Stop()
	var seeds []netip.AddrPort
	var saved bool
	for delay := minStoreRetryDelay; ctx.Err() == nil; delay = min(2*delay, maxStoreRetryDelay) {
		var err error
		if seeds, saved, err = n.restoreRecord(ctx); err == nil {
			break
		}
		ctxwait.For(ctx, delay/2+rand.N(delay))
	}
	timeout.Stop()
	n.markDeparturesKnown()
	for range int(recordsRereadDelay / rejoinInterval) {
		ctxwait.For(ctx, rejoinInterval)
		n.gossip.AddSeeds(seeds)
	}
	// A node whose record was there already is found by those that start with it.
	if saved || len(n.gossip.Members()) <= 1 {
		if records, err := n.config.Records.List(ctx); err != nil {
			n.log.Info("failed to read node records again", "error", err)
		} else {
			n.gossip.AddSeeds(n.otherNodes(records))
		}
	}
	n.removeStaleRecords(ctx)
}

// restoreRecord joins through the records, restores the departures that an
// earlier process of this instance saved, and replaces its record if it has
// changed. It returns the gossip addresses of the other nodes, and whether it
// saved the record.
func (n *Node) restoreRecord(ctx context.Context) (seeds []netip.AddrPort, saved bool, err error) {
	records, err := n.config.Records.List(ctx)
	if err != nil {
		return nil, false, err
	}
	seeds = n.otherNodes(records)
	n.gossip.AddSeeds(seeds)
	var own Record
	for _, r := range records {
		if r.Instance == n.config.Name {
			own = r
			n.target.addDepartures(r.Departures...)
		}
	}
	n.markDeparturesKnown()
	if own.Gossip.String() == n.config.GossipAddress && slices.Equal(own.Departures, n.departures()) {
		return seeds, false, nil
	}
	return seeds, true, n.saveRecord(ctx)
}

// otherNodes returns the gossip addresses of the other nodes.
func (n *Node) otherNodes(records []Record) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, r := range records {
		if r.Instance != n.config.Name && r.Gossip.IsValid() {
			addresses = append(addresses, r.Gossip)
		}
	}
	return addresses
}

// markDeparturesKnown allows work to the target: the departures that earlier
// processes of the node acknowledged have been read or could not be read in
// time.
func (n *Node) markDeparturesKnown() {
	n.target.setDeparturesKnown()
	n.applyTargetState(time.Now())
}

// saveRecord replaces the record of this instance.
func (n *Node) saveRecord(ctx context.Context) error {
	address, err := netip.ParseAddrPort(n.config.GossipAddress)
	if err != nil {
		return err
	}
	n.saveMu.Lock()
	defer n.saveMu.Unlock()
	return n.config.Records.Save(ctx, Record{Instance: n.config.Name, Gossip: address, Departures: n.departures()})
}

// saveDepartures saves the departures before one of them is acknowledged. If
// that takes too long, the peers still know them from gossip.
func (n *Node) saveDepartures(ctx context.Context) {
	if n.config.Records == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if err := n.saveRecord(ctx); err != nil {
		n.log.Warn("failed to save departures", "error", err, "departures", len(n.departures()))
	}
}

// removeStaleRecords periodically removes the records of instances that are
// gone. Only the present node with the smallest ID does so.
func (n *Node) removeStaleRecords(ctx context.Context) {
	var absent map[string]bool
	for ctxwait.For(ctx, recordCleanupInterval) {
		members := n.gossip.Members()
		if !hasSmallestID(n.gossip.Self(), members) {
			absent = nil
			continue
		}
		records, err := n.config.Records.List(ctx)
		if err != nil {
			n.log.Info("failed to read node records for cleanup", "error", err)
			continue
		}
		var gone []string
		gone, absent = staleInstances(records, members, absent)
		for _, instance := range gone {
			err := n.config.Records.Remove(ctx, instance)
			n.log.Info("record of an absent instance removed", "instance_removed", instance, "error", err)
		}
	}
}

// hasSmallestID reports whether self has the smallest ID of the present
// members.
func hasSmallestID(self membership.Member, members []membership.Member) bool {
	for _, m := range members {
		if m.State.Present() && m.ID.String() < self.ID.String() {
			return false
		}
	}
	return true
}

// staleInstances returns the instances that are absent now and were absent in
// the previous comparison, and all that are absent now.
func staleInstances(records []Record, members []membership.Member, absentBefore map[string]bool) (gone []string, absent map[string]bool) {
	presentAddrs := map[netip.AddrPort]bool{}
	for _, m := range members {
		if m.State.Present() {
			presentAddrs[m.Addr] = true
		}
	}
	absent = map[string]bool{}
	for _, r := range records {
		if presentAddrs[r.Gossip] {
			continue
		}
		absent[r.Instance] = true
		if absentBefore[r.Instance] {
			gone = append(gone, r.Instance)
		}
	}
	return gone, absent
}
