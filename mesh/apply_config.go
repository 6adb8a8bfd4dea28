package mesh

import (
	"github.com/goldcrestsail/goldcrestsail/chainadmission"
	"github.com/goldcrestsail/goldcrestsail/routetable"
)

// ConfigVersion returns the version of the current routes, or 0 if there are
// none.
func (n *Node) ConfigVersion() uint64 { return n.configuration.version() }

// ApplyConfig makes c the current configuration unless its version is not newer
// than the current one. source says in the log where it came from. The error
// has kind config-rejected.
func (n *Node) ApplyConfig(c *routetable.Config, source string) error {
	applied, failure := n.configuration.apply(c)
	if failure != nil {
		n.log.Error("configuration rejected", "version", c.Version, "source", source, "error", failure.Error(), "version_in_force", n.configuration.version())
		return failure
	}
	if applied {
		n.log.Info("configuration in force", "version", c.Version, "source", source, "routes", len(c.Routes), "services", len(c.Services))
		n.splits.retain(c)
		n.retainChains(c)
		n.gossip.SetConfigOffset(c.Version)
		for _, s := range c.Services {
			n.metrics.registerBudgetGauges(n, s.Name)
		}
	}
	return nil
}

// servicePublished reports whether the current configuration contains a
// service.
func (n *Node) servicePublished(name string) bool {
	t := n.configuration.current()
	return t != nil && t.Service(name) != nil
}

// retainChains drops what is known of chains that cannot start any more.
func (n *Node) retainChains(c *routetable.Config) {
	starts := map[chainadmission.Start]bool{}
	for i := range c.Routes {
		for _, cluster := range c.Routes[i].Clusters {
			starts[chainadmission.Start{Route: c.Routes[i].Name, Service: cluster.Service}] = true
		}
	}
	n.chains.mu.Lock()
	defer n.chains.mu.Unlock()
	n.chains.table.Retain(func(s chainadmission.Start) bool { return starts[s] })
}
