package mesh

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/ctxwait"
	"github.com/goldcrestsail/goldcrestsail/membership"
)

const (
	// saveTimeout bounds the write before a departure is acknowledged: a target
	// waits a second for that.
	saveTimeout = 500 * time.Millisecond
	// settleTimeout is how long a started node waits for what earlier processes
	// of it have acknowledged, when the records cannot be read.
	settleTimeout = 1500 * time.Millisecond
	// secondLook is when the records are read again: nodes that start together
	// may each have read them before the others had written.
	secondLook = time.Second
	// rejoinInterval is how often the recorded nodes are tried until then: those
	// that start at the same time may not listen yet.
	rejoinInterval = 200 * time.Millisecond
	// minRecordDelay and maxRecordDelay bound the wait after a failed call. The
	// longer one still finds the store within a second of its return.
	minRecordDelay = 100 * time.Millisecond
	maxRecordDelay = time.Second
	// cleanInterval is how often the records are compared with the members. An
	// instance that is absent twice in a row is taken out: departures matter for
	// seconds only, and a node that starts again writes its record anew.
	cleanInterval = time.Hour
)

// recover joins through the records of all nodes, applies and replaces the
// node's own, and keeps the records in order until ctx ends.
func (n *Node) recover(ctx context.Context) {
	settle := time.AfterFunc(settleTimeout, func() {
		n.log.Warn("departures of earlier processes not known; going on without them")
		n.settleDepartures()
	})
	defer settle.Stop()
	var seeds []netip.AddrPort
	for delay := minRecordDelay; ctx.Err() == nil; delay = min(2*delay, maxRecordDelay) {
		var err error
		if seeds, err = n.restore(ctx); err == nil {
			break
		}
		ctxwait.For(ctx, delay/2+rand.N(delay))
	}
	settle.Stop()
	n.settleDepartures()
	for range int(secondLook / rejoinInterval) {
		ctxwait.For(ctx, rejoinInterval)
		n.gossip.AddSeeds(seeds)
	}
	if records, err := n.config.Records.List(ctx); err != nil {
		n.log.Info("records of the nodes not read again", "error", err)
	} else {
		n.gossip.AddSeeds(n.others(records))
	}
	n.cleanRecords(ctx)
}

// restore joins through the records, applies what an earlier process of this
// instance has saved, and replaces it. It returns the other nodes' addresses.
func (n *Node) restore(ctx context.Context) ([]netip.AddrPort, error) {
	records, err := n.config.Records.List(ctx)
	if err != nil {
		return nil, err
	}
	seeds := n.others(records)
	n.gossip.AddSeeds(seeds)
	for _, r := range records {
		if r.Instance == n.config.Name {
			n.target.remember(r.Departures...)
		}
	}
	n.settleDepartures()
	return seeds, n.save(ctx)
}

// others returns the gossip addresses of the other nodes.
func (n *Node) others(records []Record) []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, r := range records {
		if r.Instance != n.config.Name && r.Gossip.IsValid() {
			seeds = append(seeds, r.Gossip)
		}
	}
	return seeds
}

// settleDepartures allows work to the target: what earlier processes of the
// node have acknowledged is known, or cannot be had.
func (n *Node) settleDepartures() {
	n.target.settle()
	n.refreshTarget(time.Now())
}

// save replaces the record of this instance.
func (n *Node) save(ctx context.Context) error {
	gossip, err := netip.ParseAddrPort(n.config.GossipAddress)
	if err != nil {
		return err
	}
	n.saving.Lock()
	defer n.saving.Unlock()
	return n.config.Records.Save(ctx, Record{Instance: n.config.Name, Gossip: gossip, Departures: n.departures()})
}

// saveDepartures writes the departures before one of them is acknowledged. When
// that takes too long, the peers still know them.
func (n *Node) saveDepartures(ctx context.Context) {
	if n.config.Records == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if err := n.save(ctx); err != nil {
		n.log.Warn("departures not saved", "error", err, "departures", len(n.departures()))
	}
}

// cleanRecords takes instances out that have been gone for long. Only the
// present node with the smallest ID does so.
func (n *Node) cleanRecords(ctx context.Context) {
	var absent map[string]bool
	for ctxwait.For(ctx, cleanInterval) {
		members := n.gossip.Members()
		if !smallest(n.gossip.Self(), members) {
			absent = nil
			continue
		}
		records, err := n.config.Records.List(ctx)
		if err != nil {
			n.log.Info("records of the nodes not compared with the members", "error", err)
			continue
		}
		var gone []string
		gone, absent = stale(records, members, absent)
		for _, instance := range gone {
			err := n.config.Records.Remove(ctx, instance)
			n.log.Info("record of an absent instance removed", "instance_removed", instance, "error", err)
		}
	}
}

// smallest reports whether self has the smallest ID of the present members.
func smallest(self membership.Member, members []membership.Member) bool {
	for _, m := range members {
		if m.State.Present() && m.ID.String() < self.ID.String() {
			return false
		}
	}
	return true
}

// stale returns the instances that are absent now and were before, and all that
// are absent now.
func stale(records []Record, members []membership.Member, before map[string]bool) (gone []string, absent map[string]bool) {
	present := map[netip.AddrPort]bool{}
	for _, m := range members {
		if m.State.Present() {
			present[m.Addr] = true
		}
	}
	absent = map[string]bool{}
	for _, r := range records {
		if present[r.Gossip] {
			continue
		}
		absent[r.Instance] = true
		if before[r.Instance] {
			gone = append(gone, r.Instance)
		}
	}
	return gone, absent
}
