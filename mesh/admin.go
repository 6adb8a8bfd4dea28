package mesh

import (
	"net/http"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/registration"
	"github.com/goldcrestsail/goldcrestsail/statedump"
)

// AdminHandler serves metrics at /metrics and the state of the node at /dump,
// or one section of it at /dump?section=NAME.
func (n *Node) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.set.WritePrometheus(w) })
	mux.HandleFunc("GET /dump", n.serveDump)
	return mux
}

func (n *Node) serveDump(w http.ResponseWriter, r *http.Request) {
	state, failure := statedump.Select(r, n.Dump())
	if failure != nil {
		http.Error(w, failure.Error(), kind.ResponseFor(failure.Kind).Status)
		return
	}
	if err := statedump.Write(w, state); err != nil {
		n.log.Warn("failed to write state dump", "error", err)
	}
}

// Dump returns the state of the node by section, for troubleshooting.
func (n *Node) Dump() map[string]any {
	now := time.Now()
	members := []map[string]any{}
	for _, m := range n.gossip.Members() {
		members = append(members, map[string]any{
			"id": m.ID.String(), "state": m.State.String(), "service": m.Meta.Service, "peer": m.Meta.PeerAddr.String(),
			"failure_domain": m.Meta.FailureDomain, "target_state": m.Meta.TargetState.String(), "incarnation": m.Incarnation,
		})
	}
	queue, limits := n.gate.Stats()
	timeline, _ := n.timeline.current()
	return map[string]any{
		"node": map[string]any{
			"instance": n.config.Name, "id": n.id.String(), "service": n.target.service(), "region": n.config.Region,
			"failure_domain": n.config.FailureDomain, "draining": n.draining.Load(), "requests_in_progress": n.inProgress.Load(),
			"caller_connections": n.callers.Connections(),
		},
		"config":     map[string]any{"version": n.configuration.version()},
		"target":     describeReport(n.target.report(now)),
		"departures": n.departures(),
		"queue": map[string]any{"running": queue.Running, "waiting": queue.Waiting, "limit": queue.Limit, "cutoff": float64(n.gate.Cutoff()),
			"at_target": n.inFlight.count(), "service_time_ms": limits.ServiceTime.Milliseconds()},
		"routes":  n.directory.Snapshot(now),
		"members": members,
		"gossip":  gossipStats(n.gossip.Stats()),
		"chains":  n.chainState(now),
		"crashes": n.crashState(),
		"budgets": n.budgets.states(now),
		"store":   map[string]any{"in_touch": n.storeReachable.Load(), "reads_config": n.readsStore.Load(), "timeline": timeline, "holds_record": n.recordCurrent()},
		"bodies":  map[string]any{"bytes": n.bodyMemory.Used(), "limit_bytes": n.bodyMemory.Limit()},
	}
}

func describeReport(r registration.Report) map[string]any {
	return map[string]any{"id": r.TargetID, "born": r.StartedAtMs, "seq": r.Seq, "state": r.State.String(), "slots": r.Slots, "cold_for_ms": r.ColdStartRemaining.Milliseconds()}
}

func gossipStats(s membership.Stats) map[string]uint64 {
	return map[string]uint64{"bytes_sent": s.BytesSent, "datagrams_sent": s.DatagramsSent, "malformed": s.Malformed, "deaths": s.Deaths}
}

// chainState returns the cutoffs in effect and the expected runs of each route
// by service.
func (n *Node) chainState(now time.Time) map[string]any {
	n.chains.mu.Lock()
	defer n.chains.mu.Unlock()
	return map[string]any{"cutoffs": n.chains.table.Cutoffs(now), "runs": n.chains.table.AllRuns()}
}
