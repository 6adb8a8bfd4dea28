package node

import "time"

// Dump returns the state of the node by section, for operators.
func (n *Node) Dump() map[string]any {
	announcement, state := n.target.current()
	queue, limits := n.gate.Stats()
	configState := n.configState()
	n.guards.mu.Lock()
	claimed := map[string]any{}
	for name, guard := range n.guards.byService {
		claimed[name.String()] = guard.Dump()
	}
	n.guards.mu.Unlock()
	n.chains.mu.Lock()
	running := n.chains.table.Len()
	n.chains.mu.Unlock()
	return map[string]any{
		"node": map[string]any{
			"id": n.id.String(), "region": n.config.Region, "failure_domain": n.config.FailureDomain, "draining": n.draining.Load(),
			"caller": n.Address("caller"), "target_side": n.Address("target-side"), "peer": n.Address("peer"),
			"gossip": n.GossipAddress(), "admin": n.Address("admin"),
		},
		"target":  map[string]any{"announcement": announcement, "state": state},
		"members": n.gossip.Members(),
		"gossip":  n.gossip.Stats(),
		"routes":  n.router.Snapshot(time.Now()),
		"queue":   queue,
		"limit":   limits,
		"chains":  map[string]any{"running": running},
		"claims":  claimed,
		"connections": map[string]any{
			"peers": n.peers.addresses(), "requests_in_progress": n.work.current(),
			"requests_held": n.intake.requests.Load(), "body_bytes_held": n.intake.bytes.Load(),
		},
		"quarantine": n.quarantine.list(),
		"config": map[string]any{
			"offset": configState.Offset(), "status": n.configuration.runner.Status(),
			"policies": configState.Policies(), "results": configState.Results(),
		},
	}
}
