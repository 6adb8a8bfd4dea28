package mesh

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/pressure"
)

// shareCutoff tells the gate what the starts of chains apply for its service.
func (n *Node) shareCutoff(now time.Time) {
	n.chains.mu.Lock()
	n.chains.table.Observe(*n.service.Load(), string(n.selfID()), n.gate.Cutoff(), now)
	cutoff, _ := n.chains.table.Cutoff(*n.service.Load(), now)
	n.chains.mu.Unlock()
	n.gate.SetInForce(cutoff)
}

// logBudgets writes which chains the retry budgets are kept for, while they do
// not suffice for all.
func (n *Node) logBudgets(now time.Time) {
	if now.Sub(n.budgetsLogged) < loadLogInterval {
		return
	}
	n.budgetsLogged = now
	for service, s := range n.budgets.state(now) {
		if s.Cutoff < float64(pressure.AdmitAll) {
			n.log.Info("repeats limited", "service", service, "cutoff", s.Cutoff, "tokens", s.Tokens)
		}
	}
}

// logLoad writes what the node believes about the load of its target, often
// enough to follow an overload and only while there is one.
func (n *Node) logLoad(now time.Time) {
	if now.Sub(n.loadLogged) < loadLogInterval {
		return
	}
	load := n.gate.Load()
	if load.Cutoff >= float64(pressure.AdmitAll) && load.Waiting == 0 {
		return
	}
	n.loadLogged = now
	arrivals, capacity := n.gate.Demand()
	n.log.Info("target under load", "arrivals_per_s", int(arrivals), "capacity_per_s", int(capacity), "running", load.Running, "waiting", load.Waiting, "limit", load.Limit, "cutoff", load.Cutoff,
		"service_time_ms", load.ServiceTime.Milliseconds(), "by_importance", load.ByImportance)
}

// cutoffsBelow returns what is known of the services that sub-calls visited.
func (n *Node) cutoffsBelow(visited []message.Visit, now time.Time) []message.ServiceCutoff {
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
