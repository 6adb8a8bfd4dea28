package membership_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/internal/memnet/cluster"
	"github.com/goldcrestsail/goldcrestsail/membership"
)

const (
	massStartMembers = 195
	massStartDomains = 6
	// trafficStart is the time from the start of the instances to the first requests
	// on the platform's largest deployment.
	trafficStart = 10 * time.Second
)

// startTogether starts a cluster as the platform does: all processes within 0.3 s,
// each of which knows the addresses of all others, and whose target becomes ready
// 1 to 2.5 s later.
func startTogether(t *testing.T, onEffect func(*cluster.Peer, membership.Effect)) *cluster.Cluster {
	c := cluster.New(cluster.Options{Members: massStartMembers, Loss: 0.002, StartRate: 650, Domains: massStartDomains, Regions: 1, MostLatency: 3 * time.Millisecond,
		Configure: func(cfg *membership.Config) { cfg.Meta.TargetState = membership.Starting }})
	c.OnEffect = onEffect
	c.Start()
	var all membership.AddSeeds
	for _, p := range c.Peers {
		all.Addrs = append(all.Addrs, p.Addr)
	}
	const step = 100 * time.Millisecond
	rng := rand.New(rand.NewPCG(7, 7))
	ready := make(map[int][]*cluster.Peer)
	for _, p := range c.Peers {
		p.Do(all)
		at := 10 + rng.IntN(15)
		ready[at] = append(ready[at], p)
	}
	for i := range int(trafficStart / step) {
		for _, p := range ready[i] {
			meta := p.Node.Self().Meta
			meta.TargetState = membership.Ready
			p.Do(membership.LocalUpdate{Meta: meta})
		}
		c.Net.Run(step)
	}
	return c
}

// TestMassStartSpreadsReadiness guards against targets that most nodes do not know
// as ready when the traffic starts, because the send budget goes to repeats of
// updates that others have already.
func TestMassStartSpreadsReadiness(t *testing.T) {
	t.Parallel()
	c := startTogether(t, nil)
	known, largest := 0, uint64(0)
	for _, p := range c.Peers {
		for _, m := range p.Node.Members() {
			if m.State.Present() && m.Meta.TargetState == membership.Ready {
				known++
			}
		}
		largest = max(largest, p.Node.Stats().BytesSent)
	}
	require.GreaterOrEqual(t, float64(known), 0.99*massStartMembers*massStartMembers)
	defaults := membership.Config{}.WithDefaults()
	require.LessOrEqual(t, float64(largest), float64(2*defaults.SendBurstBytes)+trafficStart.Seconds()*float64(defaults.SendRateBytes))
}

// TestUpdatesStayInFailureDomain guards against gossip that sends most of its bytes
// between failure domains, where they cost more, however many instances there are.
func TestUpdatesStayInFailureDomain(t *testing.T) {
	t.Parallel()
	domains := map[string]int{}
	sent := map[bool]int{}
	startTogether(t, func(p *cluster.Peer, effect membership.Effect) {
		domains[p.Addr.String()] = p.Index % massStartDomains
		if s, ok := effect.(membership.Send); ok {
			to, known := domains[s.To.String()]
			sent[!known || to != p.Index%massStartDomains] += len(s.Bytes)
		}
	})
	require.Less(t, sent[true], sent[false]*3/2, "with random peers five of six bytes leave the domain")
}
