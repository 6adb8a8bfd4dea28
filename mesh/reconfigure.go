package mesh

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/registration"
)

// Reconfigure applies the settings that may change while the node runs.
func (n *Node) Reconfigure(service string, budget RetryBudgetConfig, grace time.Duration) {
	now := time.Now()
	if n.target.setService(service) {
		n.serviceChanged(now, service, "settings")
	}
	n.budgets.configure(now, budget)
	n.grace.Store(int64(grace))
	n.applyTargetState(now)
}

// departures returns the known departures of targets.
func (n *Node) departures() []registration.Departure {
	return n.target.departures()
}
