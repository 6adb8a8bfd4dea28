package node

import (
	"net/netip"
	"time"

	"github.com/goldcrestsail/goldcrestsail/gossip"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/membership"
)

// join starts the gossip with the node's own metadata.
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
	found := n.discover()
	n.discovered = len(found)
	seeds = append(seeds, found...)
	n.gossip, err = gossip.Start(gossip.Config{
		Listen: listen, Delegate: &delegate{n}, Logger: n.log.Named("gossip"),
		Membership: membership.Config{ID: n.id, Meta: n.meta(), Seeds: seeds},
	})
	return err
}

// meta returns what this node tells others about itself and its target.
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

// delegate receives what the gossip learns.
type delegate struct{ node *Node }

// MemberChanged implements gossip.Delegate.
func (d *delegate) MemberChanged(m membership.Member) {
	n := d.node
	gone := n.router.Update(time.Now(), m)
	if !m.State.Present() {
		// A peer that never announced a service may have served a pull.
		gone = m.Meta.PeerAddr.String()
	}
	n.peers.forget(gone)
	n.log.Debug("member changed", "member", m.ID.String(), "state", m.State.String(),
		"service", m.Meta.Service, "target_state", m.Meta.TargetState.String())
}

// ConfigOffsetSeen implements gossip.Delegate.
func (d *delegate) ConfigOffsetSeen(netip.AddrPort, uint64) { d.node.configuration.requestPull() }

// BroadcastReceived implements gossip.Delegate.
func (d *delegate) BroadcastReceived(b membership.Broadcast) {
	d.node.quarantine.received(b)
}
