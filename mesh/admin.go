package mesh

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/registration"
)

// AdminHandler serves metrics at /metrics and the state of the process at /state.
func (n *Node) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.set.WritePrometheus(w) })
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(n.State()); err != nil {
			n.log.Warn("state not sent", "error", err)
		}
	})
	return mux
}

// State returns what the process believes, for a dump.
func (n *Node) State() map[string]any {
	now := time.Now()
	members := []map[string]any{}
	for _, m := range n.gossip.Members() {
		members = append(members, map[string]any{
			"id": m.ID.String(), "state": m.State.String(), "service": m.Meta.Service, "peer": m.Meta.PeerAddr.String(),
			"failure_domain": m.Meta.FailureDomain, "target_state": m.Meta.TargetState.String(), "incarnation": m.Incarnation,
		})
	}
	queue, limits := n.gate.Stats()
	return map[string]any{
		"instance": n.config.Name, "node_id": n.id.String(), "service": *n.service.Load(), "draining": n.draining.Load(),
		"config_version": n.configuration.version(), "in_progress": n.work.Load(), "at_target": n.running.len(),
		"connections": n.callers.Connections(), "target": describeReport(n.target.current(now)), "departures": n.Departures(),
		"queue": map[string]any{"running": queue.Running, "waiting": queue.Waiting, "limit": queue.Limit, "cutoff": float64(n.gate.Cutoff()),
			"service_time_ms": limits.ServiceTime.Milliseconds()},
		"targets": n.directory.Snapshot(now), "members": members, "gossip": membershipStats(n.gossip.Stats()), "chains": n.chainState(now),
		"retry_tokens": n.budgets.tokens(now),
	}
}

func describeReport(r registration.Report) map[string]any {
	return map[string]any{"id": r.TargetID, "born": r.Born, "seq": r.Seq, "state": r.State.String(), "slots": r.Slots, "cold_for_ms": r.ColdFor.Milliseconds()}
}

func membershipStats(s membership.Stats) map[string]uint64 {
	return map[string]uint64{"bytes_sent": s.BytesSent, "datagrams_sent": s.DatagramsSent, "malformed": s.Malformed, "deaths": s.Deaths}
}

// chainState returns the cutoffs in force and what the routes cause.
func (n *Node) chainState(now time.Time) map[string]any {
	n.chains.mu.Lock()
	defer n.chains.mu.Unlock()
	return map[string]any{"cutoffs": n.chains.table.Cutoffs(now), "runs": n.chains.table.AllRuns()}
}
