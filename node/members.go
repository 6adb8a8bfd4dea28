package node

import (
	"net/netip"
	"time"

	"github.com/goldcrestsail/goldcrestsail/gossip"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/membership"
)

// join starts the gossip transport with the configured and the discovered seeds.
func (n *Node) join() error {
	listen, err := netip.ParseAddrPort(n.config.GossipAddress)
	if err != nil {
		return kind.Newf(kind.SettingsInvalid, "gossip address %q: %v", n.config.GossipAddress, err)
	}
	seeds := make([]netip.AddrPort, 0, len(n.config.Seeds))
	for _, s := range n.config.Seeds {
		seed, err := netip.ParseAddrPort(s)
		if err != nil {
			return kind.Newf(kind.SettingsInvalid, "seed %q: %v", s, err)
		}
		seeds = append(seeds, seed)
	}
	found := n.discoverSeeds()
	n.discoveredSeeds = len(found)
	seeds = append(seeds, found...)
	n.gossip, err = gossip.Start(gossip.Config{
		Listen: listen, Delegate: &gossipDelegate{n}, Logger: n.log.Named("gossip"),
		Membership: membership.Config{ID: n.id, Meta: n.meta(), Seeds: seeds},
	})
	return err
}

// meta returns the metadata of this node and its target that gossip distributes.
func (n *Node) meta() membership.Meta {
	a, state := n.target.current()
	m := membership.Meta{
		Customer: a.Customer, Service: a.Service, PeerAddr: n.advertisedPeer(),
		FailureDomain: n.config.FailureDomain, Region: n.config.Region,
		TargetState: membershipState(state), Slots: uint32(a.Slots),
	}
	if n.draining.Load() {
		m.TargetState = membership.Draining
	}
	return m
}

func membershipState(s TargetState) membership.TargetState {
	switch s {
	case Starting:
		return membership.Starting
	case Ready:
		return membership.Ready
	case Draining:
		return membership.Draining
	default:
		return membership.Down
	}
}

// gossipDelegate handles the events of the gossip transport.
type gossipDelegate struct{ node *Node }

// MemberChanged implements gossip.Delegate.
func (d *gossipDelegate) MemberChanged(m membership.Member) {
	n := d.node
	departedAddress := n.router.Update(time.Now(), m)
	if !m.State.Present() {
		// A peer without a service may still have a connection, from a
		// configuration pull.
		departedAddress = m.Meta.PeerAddr.String()
	}
	n.peers.removeDeparted(departedAddress)
	n.log.Debug("member changed", "member", m.ID.String(), "state", m.State.String(),
		"service", m.Meta.Service, "target_state", m.Meta.TargetState.String())
}

// ConfigOffsetSeen implements gossip.Delegate.
func (d *gossipDelegate) ConfigOffsetSeen(netip.AddrPort, uint64) { d.node.configUpdater.requestPull() }

// BroadcastReceived implements gossip.Delegate.
func (d *gossipDelegate) BroadcastReceived(b membership.Broadcast) {
	d.node.quarantine.merge(b)
}
