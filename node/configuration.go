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
	// pullInterval is how often a node that knows of a newer configuration
	// tries again to get it.
	pullInterval = time.Second
	// followersPerDomain is how many nodes of a failure domain follow the log.
	// Three are enough to lose two at once; with 11 failure domains the log
	// service has 33 waiting reads.
	followersPerDomain = 3
)

// configuration keeps the node's configuration: from the log, and from peers
// whose offset is higher.
type configuration struct {
	node   *Node
	runner *configsync.Runner
	// wake triggers a pull before the interval ends.
	wake chan struct{}
	stop context.CancelFunc
	done sync.WaitGroup
}

func newConfiguration(n *Node, seed uint64) *configuration {
	c := &configuration{node: n, wake: make(chan struct{}, 1)}
	c.runner = configsync.New(configsync.Options{
		Client: n.config.Log, Rand: rand.New(rand.NewPCG(seed, 3)), Logger: n.log.Named("config"),
		Retention: n.config.LogRetention, Rank: c.rank, Following: true,
	})
	return c
}

func (c *configuration) state() *configlog.State { return c.runner.State() }

// start runs the follower and applies each new configuration.
func (c *configuration) start(ctx context.Context) {
	ctx, c.stop = context.WithCancel(ctx)
	offsets, cancel := c.runner.Subscribe()
	c.done.Go(func() { _ = c.runner.Run(ctx) })
	c.done.Go(func() {
		defer cancel()
		c.apply(ctx, offsets)
	})
	c.done.Go(func() { c.pullLoop(ctx) })
}

func (c *configuration) apply(ctx context.Context, offsets <-chan uint64) {
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
func (c *configuration) requestPull() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// pullLoop gets the configuration from a peer whenever one is ahead.
func (c *configuration) pullLoop(ctx context.Context) {
	ticker := time.NewTicker(pullInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		members := c.node.gossip.Members()
		c.runner.SetFollowing(rendezvousRank(members, c.node.id, c.node.config.FailureDomain) < followersPerDomain)
		c.node.guards.share(c.claimingNodes(members))
		offset, peer := c.node.gossip.HighestConfigOffset()
		if offset > c.state().Offset() && peer.IsValid() {
			c.pull(ctx, peer.String())
		}
	}
}

func (c *configuration) pull(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var answer *peerrpc.PullConfigResponse
	failure := c.node.peers.call(ctx, peer, func(ctx context.Context, p peerrpc.Peer) (err error) {
		answer, err = p.PullConfig(ctx, &peerrpc.PullConfigRequest{HaveOffset: c.state().Offset()})
		return err
	})
	if failure == nil {
		failure = kind.Of(c.runner.Adopt(answer.Snapshot))
	}
	if failure != nil {
		c.node.log.Warn("configuration not pulled from a peer; reading the log", "peer", peer, "error", failure)
		c.runner.ReadNow()
	}
}

// claimingNodes counts the nodes whose service has a non-idempotent class.
func (c *configuration) claimingNodes(members []membership.Member) int {
	claiming := map[policy.ServiceName]bool{}
	for _, p := range c.state().Policies() {
		claiming[p.Name] = hasNonIdempotent(p)
	}
	count := 0
	for i := range members {
		m := &members[i]
		if m.State.Present() && claiming[policy.ServiceName{Customer: m.Meta.Customer, Service: m.Meta.Service}] {
			count++
		}
	}
	return count
}

// rank returns the node's place among all that may write snapshots.
func (c *configuration) rank() int {
	return rendezvousRank(c.node.gossip.Members(), c.node.id, "")
}

func (c *configuration) close() {
	if c.stop != nil {
		c.stop()
	}
	c.done.Wait()
}
