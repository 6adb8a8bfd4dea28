package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/configlog"
	"github.com/goldcrestsail/goldcrestsail/configsync"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/peerrpc"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

const (
	// pullTimeout bounds the pull of a peer's configuration.
	pullTimeout = 2 * time.Second
	// pullInterval is the interval between attempts to pull a newer
	// configuration that a peer has advertised.
	pullInterval = time.Second
	// followersPerDomain is the number of nodes in a failure domain that follow
	// the log. Three tolerate the loss of two at once; with 11 failure domains
	// the log service has 33 long-polling reads.
	followersPerDomain = 3
)

// configUpdater keeps the node's configuration up to date from the log and from
// peers that have a higher offset.
type configUpdater struct {
	node   *Node
	runner *configsync.Runner
	// pullRequested triggers a pull before the next interval.
	pullRequested chan struct{}
	stop          context.CancelFunc
	goroutines    sync.WaitGroup
}

func newConfigUpdater(n *Node, seed uint64) *configUpdater {
	c := &configUpdater{node: n, pullRequested: make(chan struct{}, 1)}
	c.runner = configsync.New(configsync.Options{
		Client: n.config.Log, Rand: rand.New(rand.NewPCG(seed, 3)), Logger: n.log.Named("config"),
		Retention: n.config.LogRetention, Rank: c.snapshotRank, Following: true,
	})
	return c
}

func (c *configUpdater) state() *configlog.State { return c.runner.State() }

// start starts following the log, applying new configurations and pulling from
// peers.
func (c *configUpdater) start(ctx context.Context) {
	ctx, c.stop = context.WithCancel(ctx)
	offsets, cancel := c.runner.Subscribe()
	c.goroutines.Go(func() { _ = c.runner.Run(ctx) })
	c.goroutines.Go(func() {
		defer cancel()
		c.applyLoop(ctx, offsets)
	})
	c.goroutines.Go(func() { c.pullLoop(ctx) })
}

func (c *configUpdater) applyLoop(ctx context.Context, offsets <-chan uint64) {
	for {
		select {
		case offset := <-offsets:
			c.node.gossip.SetConfigOffset(offset)
			c.node.applyPolicy()
			c.node.log.Info("configuration changed", "offset", offset)
		case <-ctx.Done():
			return
		}
	}
}

// requestPull triggers a pull after a peer has advertised a higher offset.
func (c *configUpdater) requestPull() {
	select {
	case c.pullRequested <- struct{}{}:
	default:
	}
}

// pullLoop pulls the configuration from a peer that has a higher offset. On each
// round it also updates whether this node follows the log, and the append
// interval of its claims.
func (c *configUpdater) pullLoop(ctx context.Context) {
	ticker := time.NewTicker(pullInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.pullRequested:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		members := c.node.gossip.Members()
		c.runner.SetFollowing(rendezvousRank(members, c.node.id, c.node.config.FailureDomain) < followersPerDomain)
		c.node.claimGuards.setAppendInterval(c.claimingNodes(members))
		offset, peer := c.node.gossip.HighestConfigOffset()
		if offset > c.state().Offset() && peer.IsValid() {
			c.pull(ctx, peer.String())
		}
	}
}

func (c *configUpdater) pull(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var response *peerrpc.PullConfigResponse
	failure := c.node.peers.call(ctx, peer, func(ctx context.Context, p peerrpc.Peer) (err error) {
		response, err = p.PullConfig(ctx, &peerrpc.PullConfigRequest{HaveOffset: c.state().Offset()})
		return err
	})
	if failure == nil {
		failure = kind.Of(c.runner.Adopt(response.Snapshot))
	}
	if failure != nil {
		c.node.log.Warn("failed to pull the configuration from a peer; reading the log", "peer", peer, "error", failure)
		c.runner.ReadNow()
	}
}

// claimingNodes counts the nodes whose service has a non-idempotent class.
func (c *configUpdater) claimingNodes(members []membership.Member) int {
	hasClaims := map[policy.ServiceName]bool{}
	for _, p := range c.state().Policies() {
		hasClaims[p.Name] = hasNonIdempotent(p)
	}
	count := 0
	for i := range members {
		m := &members[i]
		if m.State.Present() && hasClaims[policy.ServiceName{Customer: m.Meta.Customer, Service: m.Meta.Service}] {
			count++
		}
	}
	return count
}

// snapshotRank returns the node's rank among the nodes that may write snapshots.
func (c *configUpdater) snapshotRank() int {
	return rendezvousRank(c.node.gossip.Members(), c.node.id, "")
}

func (c *configUpdater) close() {
	if c.stop != nil {
		c.stop()
	}
	c.goroutines.Wait()
}
