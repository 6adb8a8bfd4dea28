package node

import "time"

// Dump returns the state of the node by section, for operators.
func (n *Node) Dump() map[string]any {
	announcement, state := n.target.current()
	queue, limits := n.gate.Stats()
	configState := n.configState()
	n.claimGuards.mu.Lock()
	guardStates := map[string]any{}
	for name, guard := range n.claimGuards.byService {
		guardStates[name.String()] = guard.Dump()
	}
	n.claimGuards.mu.Unlock()
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
		"claims":  guardStates,
		"connections": map[string]any{
			"peers": n.peers.addresses(), "requests_in_progress": n.inFlight.current(),
			"requests_held": n.entryLimiter.requests.Load(), "body_bytes_held": n.entryLimiter.bytes.Load(),
		},
		"quarantine": n.quarantine.guard.List(),
		"config": map[string]any{
			"offset": configState.Offset(), "status": n.configUpdater.runner.Status(),
			"policies": configState.Policies(), "results": configState.Results(),
		},
	}
}
