package mesh

import (
	"context"
	"net/netip"
	"time"

	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/registration"
)

// pullTimeout bounds how long a peer takes to send its configuration.
const pullTimeout = time.Second

// delegate receives what the gossip learns.
type delegate struct{ node *Node }

// MemberChanged implements gossip.Delegate.
func (d *delegate) MemberChanged(m membership.Member) {
	n := d.node
	<-n.joined
	gone := n.directory.Update(time.Now(), m)
	if gone != "" {
		n.peers.Remove(gone)
	}
	n.budgets.resize(time.Now(), present(n.gossip.Members()))
	n.log.Info("member changed", "member", m.ID.String(), "state", m.State.String(), "service", m.Meta.Service,
		"target_state", m.Meta.TargetState.String(), "peer", m.Meta.PeerAddr.String(), "incarnation", m.Incarnation)
}

func present(members []membership.Member) int {
	count := 0
	for _, m := range members {
		if m.State.Present() {
			count++
		}
	}
	return count
}

// ConfigOffsetSeen implements gossip.Delegate. It fetches a newer configuration
// from the peer that has it, which works while the store is away.
func (d *delegate) ConfigOffsetSeen(peer netip.AddrPort, offset uint64) {
	n := d.node
	if offset <= n.configuration.version() || !n.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.pulling.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		encoded, failure := n.peers.Get(peer.String()).Config(ctx)
		if failure != nil {
			n.log.Warn("configuration not fetched from a peer", "peer", peer.String(), "version", offset, "error", failure.Error())
			return
		}
		config, err := decodeConfig(encoded)
		if err != nil {
			n.log.Error("unreadable configuration of a peer", "peer", peer.String(), "error", err)
			return
		}
		// ApplyConfig logs the outcome.
		_ = n.ApplyConfig(config, "peer "+peer.String())
	}()
}

// BroadcastReceived implements gossip.Delegate.
func (d *delegate) BroadcastReceived(b membership.Broadcast) {
	if b.Kind == departureBroadcast {
		d.node.departureReceived(b)
	}
}

// suspendTime is how long no call goes to a peer that does not answer probes,
// from each check on: a little longer than until the next one.
const suspendTime = 2 * tickInterval

// checkPeers keeps calls from peers that do not answer, before the membership
// knows that they are gone.
func (n *Node) checkPeers(now time.Time) {
	suspects := map[string]bool{}
	for _, address := range n.peers.Check(now) {
		suspects[address] = true
		n.directory.Suspend(now, address, now.Add(suspendTime))
		if !n.suspects[address] {
			n.log.Warn("peer suspected", "peer", address)
		}
	}
	for address := range n.suspects {
		if !suspects[address] {
			n.log.Info("peer no longer suspected", "peer", address)
		}
	}
	n.suspects = suspects
}

// targetState maps the state of the target to what the members are told.
func (n *Node) targetState(r registration.Report) membership.TargetState {
	if n.closing.Load() {
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
