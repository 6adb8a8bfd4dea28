package mesh

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/quarantine"
	"github.com/goldcrestsail/goldcrestsail/registration"
)

// configFetchTimeout bounds the time to fetch the configuration from a peer.
const configFetchTimeout = time.Second

// configFetchInterval is how often a fetch that has failed is repeated.
const configFetchInterval = 500 * time.Millisecond

// gossipDelegate handles events of the gossip transport.
type gossipDelegate struct{ node *Node }

// MemberChanged implements gossip.Delegate.
func (d *gossipDelegate) MemberChanged(m membership.Member) {
	n := d.node
	<-n.gossipStarted
	removedAddress := n.directory.Update(time.Now(), m)
	if removedAddress != "" {
		n.peers.Remove(removedAddress)
	}
	n.budgets.setNodeCount(time.Now(), countPresent(n.gossip.Members()))
	n.log.Info("member changed", "member", m.ID.String(), "state", m.State.String(), "service", m.Meta.Service,
		"target_state", m.Meta.TargetState.String(), "peer", m.Meta.PeerAddr.String(), "incarnation", m.Incarnation)
}

func countPresent(members []membership.Member) int {
	count := 0
	for _, m := range members {
		if m.State.Present() {
			count++
		}
	}
	return count
}

// ConfigOffsetSeen implements gossip.Delegate.
func (d *gossipDelegate) ConfigOffsetSeen(peer netip.AddrPort, offset uint64) {
	d.node.fetchConfig(peer, offset)
}

// fetchAnnouncedConfig fetches the highest version that gossip has announced from a
// random peer, if the node does not have it: the fetch from the announcing peer may
// have failed, and a store that has been restored may not have the version.
func (n *Node) fetchAnnouncedConfig() {
	version, _ := n.gossip.HighestConfigOffset()
	if version <= n.configuration.version() {
		return
	}
	if peers := n.presentPeers(); len(peers) > 0 {
		n.fetchConfig(peers[rand.IntN(len(peers))], version)
	}
}

// presentPeers returns the peer addresses of the other nodes that are present.
func (n *Node) presentPeers() []netip.AddrPort {
	var peers []netip.AddrPort
	for _, m := range n.gossip.Members() {
		if m.State.Present() && m.ID != n.id && m.Meta.PeerAddr.IsValid() {
			peers = append(peers, m.Meta.PeerAddr)
		}
	}
	return peers
}

// fetchConfig fetches a configuration from the peer that has it if it is newer than
// the one in force, so that updates also spread while the store is unavailable.
func (n *Node) fetchConfig(peer netip.AddrPort, offset uint64) {
	if offset <= n.configuration.version() || !n.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.fetchingConfig.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), configFetchTimeout)
		defer cancel()
		encoded, failure := n.peers.Get(peer.String()).Config(ctx)
		if failure != nil {
			n.log.Warn("failed to fetch configuration from peer", "peer", peer.String(), "version", offset, "error", failure.Error())
			return
		}
		n.applyPeerConfig(encoded, peer.String())
	}()
}

// BroadcastReceived implements gossip.Delegate.
func (d *gossipDelegate) BroadcastReceived(b membership.Broadcast) {
	<-d.node.gossipStarted
	switch b.Kind {
	case departureBroadcastKind:
		d.node.receiveDeparture(b)
	case quarantine.BroadcastKind:
		d.node.receiveCrashReport(b)
	case timelineBroadcastKind:
		d.node.receiveTimeline(b)
	}
}

// suspendDuration is how long a peer that does not answer probes gets no calls,
// counted from each check: a little longer than the interval between checks.
const suspendDuration = 2 * tickInterval

// checkPeers suspends calls to peers that do not answer probes, before the
// membership declares them dead.
func (n *Node) checkPeers(now time.Time) {
	suspected := map[string]bool{}
	for _, address := range n.peers.Check(now) {
		suspected[address] = true
		n.directory.Suspend(now, address, now.Add(suspendDuration))
		if !n.suspectedPeers[address] {
			n.log.Warn("peer suspected", "peer", address)
		}
	}
	for address := range n.suspectedPeers {
		if !suspected[address] {
			n.log.Info("peer no longer suspected", "peer", address)
		}
	}
	n.suspectedPeers = suspected
}

// targetState maps the state of the target to the one that is announced to the
// members.
func (n *Node) targetState(r registration.Report) membership.TargetState {
	if n.targetClosed.Load() {
		return membership.Draining
	}
	switch r.State {
	case registration.Ready:
		return membership.Ready
	case registration.Draining, registration.Left:
		return membership.Draining
	}
	return membership.Starting
}
