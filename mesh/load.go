package mesh

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/pressure"
)

// updateAppliedCutoff tells the gate which cutoff the entry nodes apply to its
// service.
func (n *Node) updateAppliedCutoff(now time.Time) {
	own, service := n.gate.Cutoff(), n.target.service()
	if n.othersTakeMore(now, service, n.notice.message()) {
		own = pressure.AdmitAll
	}
	n.chains.mu.Lock()
	n.chains.table.Observe(service, string(n.selfID()), own, now)
	cutoff, _ := n.chains.table.Cutoff(service, now)
	n.chains.mu.Unlock()
	n.gate.SetAppliedCutoff(cutoff)
}

// logRetryBudgets logs, for each service whose retry budget does not suffice
// for all refused calls, up to which position chains are retried.
func (n *Node) logRetryBudgets(now time.Time) {
	if now.Sub(n.budgetsLoggedAt) < loadLogInterval {
		return
	}
	n.budgetsLoggedAt = now
	for service, s := range n.budgets.states(now) {
		if s.Cutoff < float64(pressure.AdmitAll) {
			n.log.Info("repeats limited", "service", service, "cutoff", s.Cutoff, "tokens", s.Tokens)
		}
	}
}

// logLoad logs the load of the target while requests wait or the cutoff is
// below Open, at most once per loadLogInterval.
func (n *Node) logLoad(now time.Time) {
	if now.Sub(n.loadLoggedAt) < loadLogInterval {
		return
	}
	load := n.gate.Load()
	if load.Cutoff >= float64(pressure.AdmitAll) && load.Waiting == 0 {
		return
	}
	n.loadLoggedAt = now
	arrivals, capacity := n.gate.Demand()
	n.log.Info("target under load", "arrivals_per_s", int(arrivals), "capacity_per_s", int(capacity), "running", load.Running, "waiting", load.Waiting, "limit", load.Limit, "cutoff", load.Cutoff,
		"service_time_ms", load.ServiceTime.Milliseconds(), "by_importance", load.ByImportance)
}

// downstreamCutoffs returns the cutoffs of the services that sub-calls visited,
// except those that admit everything.
func (n *Node) downstreamCutoffs(visited []message.Visit, now time.Time) []message.ServiceCutoff {
	if len(visited) == 0 {
		return nil
	}
	n.chains.mu.Lock()
	defer n.chains.mu.Unlock()
	var cutoffs []message.ServiceCutoff
	for _, v := range visited {
		if cutoff, age := n.chains.table.Cutoff(v.Service, now); cutoff < pressure.AdmitAll {
			cutoffs = append(cutoffs, message.ServiceCutoff{Service: v.Service, Cutoff: float64(cutoff), Age: age})
		}
	}
	return cutoffs
}
