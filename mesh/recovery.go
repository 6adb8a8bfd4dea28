package mesh

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/ctxwait"
	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/recordsync"
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
	// firstTimeline is the timeline of a store that has never been restored.
	firstTimeline = 1
)

// recoverRecords joins through the records of all nodes, restores the node's own
// record and keeps it written, and removes stale records until ctx is canceled.
func (n *Node) recoverRecords(ctx context.Context) {
	timeout := time.AfterFunc(departuresTimeout, func() {
		n.log.Warn("departures of earlier processes may not be known in full; allowing work to the target", "departures", len(n.departures()))
		n.markDeparturesKnown()
		// The record in the store may say that it is not complete.
		n.changeRecord()
	})
	defer timeout.Stop()
	var restored restoredRecord
	for delay := minStoreRetryDelay; ctx.Err() == nil; delay = min(2*delay, maxStoreRetryDelay) {
		var err error
		if restored, err = n.restoreRecord(ctx); err == nil {
			break
		}
		ctxwait.For(ctx, delay/2+rand.N(delay))
	}
	if restored.complete {
		timeout.Stop()
	} else if !n.target.departuresAreKnown() {
		timeout.Reset(departuresTimeout)
		go func() {
			if n.askForDepartures(ctx, max(len(restored.seeds), 1)) && timeout.Stop() {
				n.markDeparturesKnown()
				n.changeRecord()
			}
		}()
	}
	go n.keepRecordWritten(ctx)
	for range int(recordsRereadDelay / rejoinInterval) {
		ctxwait.For(ctx, rejoinInterval)
		n.gossip.AddSeeds(restored.seeds)
	}
	// A node whose record was there already is found by those that start with it.
	if restored.written || len(n.gossip.Members()) <= 1 {
		if records, _, err := n.config.Records.List(ctx); err != nil {
			n.log.Info("failed to read node records again", "error", err)
		} else {
			n.gossip.AddSeeds(n.otherNodes(records))
		}
	}
	n.removeStaleRecords(ctx)
}

// restoredRecord is the outcome of restoreRecord.
type restoredRecord struct {
	// seeds are the gossip addresses of the other nodes.
	seeds []netip.AddrPort
	// written reports that the node's record was written, since it was not in the
	// store or has changed.
	written bool
	// complete reports that the record holds all departures that earlier processes
	// of the instance have acknowledged.
	complete bool
}

// restoreRecord joins through the records, restores the departures that an earlier
// process of this instance saved, and replaces its record if it has changed. If the
// store has been restored from a copy since the record was written, departures that
// were acknowledged later may be missing; the peers know them from gossip. The records
// of all nodes tell which requests are in quarantine.
func (n *Node) restoreRecord(ctx context.Context) (restoredRecord, error) {
	var revision uint64
	n.record.read(func(k *recordsync.Keeper) { revision = k.Revision() })
	records, timeline, err := n.config.Records.List(ctx)
	if err != nil {
		return restoredRecord{}, err
	}
	n.ObserveStoreTimeline(timeline)
	restored := restoredRecord{seeds: n.otherNodes(records), complete: timeline <= firstTimeline}
	n.gossip.AddSeeds(restored.seeds)
	var own Record
	for _, r := range records {
		n.restoreCrashReports(r)
		if r.Instance == n.config.Name {
			own = r
			n.target.addDepartures(r.Departures...)
			restored.complete = r.Timeline == timeline
		}
	}
	if restored.complete {
		n.markDeparturesKnown()
	} else {
		n.log.Warn("record of the instance is missing or may lack departures", "timeline", timeline,
			"record_timeline", own.Timeline, "departures", len(own.Departures))
	}
	if restored.complete && own.Gossip.String() == n.config.GossipAddress && slices.Equal(own.Departures, n.departures()) &&
		equalReports(own.CrashReports, n.crashReports.encoded(time.Now())) {
		// A departure since the revision was read is not in the listed record.
		n.record.update(func(k *recordsync.Keeper) {
			k.Confirm(time.Now(), recordsync.Version{Revision: revision, Timeline: timeline})
		})
		return restored, nil
	}
	restored.written = true
	n.changeRecord()
	return restored, n.writeRecord(ctx)
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
// processes of the node acknowledged are known or could not be learned in time.
func (n *Node) markDeparturesKnown() {
	n.target.setDeparturesKnown()
	n.applyTargetState(time.Now())
}

// saveDepartures waits until the departures are saved, before one of them is
// acknowledged. If that takes too long, the peers still know them from gossip, and
// the write is repeated until the store has acknowledged it.
func (n *Node) saveDepartures(ctx context.Context) {
	if n.config.Records == nil {
		return
	}
	revision := n.changeRecord()
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if !n.awaitRecord(ctx, revision) {
		n.log.Warn("departure acknowledged before it was saved", "revision", revision, "departures", len(n.departures()))
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
		records, _, err := n.config.Records.List(ctx)
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
