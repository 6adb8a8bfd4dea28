package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestsail/goldcrestsail/configlog"
	"github.com/goldcrestsail/goldcrestsail/peerrpc"
)

const (
	// configWait is how long a read of the config stream waits for a record.
	configWait = 20 * time.Second
	// configRetry is the pause after a failed read.
	configRetry = time.Second
	// maxConfigBatch bounds the records of one read.
	maxConfigBatch = 256
	// pullTimeout bounds the pull of a peer's configuration.
	pullTimeout = 3 * time.Second
)

// configuration keeps the node's configuration: from the log, and from peers
// whose offset is higher.
type configuration struct {
	node    *Node
	mu      sync.Mutex
	current atomic.Pointer[configlog.State]
	done    sync.WaitGroup
}

func newConfiguration(n *Node, _ uint64) *configuration {
	c := &configuration{node: n}
	c.current.Store(configlog.NewState())
	return c
}

func (c *configuration) state() *configlog.State { return c.current.Load() }

func (c *configuration) start(ctx context.Context) {
	if c.node.config.Log != nil {
		c.done.Go(func() { c.follow(ctx) })
	}
}

func (c *configuration) follow(ctx context.Context) {
	for ctx.Err() == nil {
		batch, err := c.node.config.Log.Read(ctx, configlog.Stream, c.state().Offset(), maxConfigBatch, configWait)
		if err != nil {
			select {
			case <-time.After(configRetry):
			case <-ctx.Done():
			}
			continue
		}
		c.mu.Lock()
		next := c.state().Clone()
		for _, r := range batch.Records {
			configlog.Fold(next, r)
		}
		c.storeLocked(next)
		c.mu.Unlock()
	}
}

// storeLocked publishes a state with a higher offset.
func (c *configuration) storeLocked(next *configlog.State) {
	if next.Offset() <= c.state().Offset() {
		return
	}
	c.current.Store(next)
	c.node.gossip.SetConfigOffset(next.Offset())
	c.node.applyPolicy()
	c.node.log.Info("configuration changed", "offset", next.Offset())
}

// offsetSeen pulls the configuration of a peer that is ahead.
func (c *configuration) offsetSeen(peer string, offset uint64) {
	c.done.Go(func() {
		<-c.node.joined
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		answer, err := c.node.peers.client(peer).PullConfig(ctx, &peerrpc.PullConfigRequest{HaveOffset: c.state().Offset()})
		if err != nil || len(answer.Snapshot) == 0 {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		next, err := configlog.Adopt(c.state(), answer.Snapshot)
		if err != nil {
			c.node.log.Warn("configuration of a peer not adopted", "peer", peer, "error", err)
			return
		}
		c.storeLocked(next)
	})
}

func (c *configuration) close() { c.done.Wait() }
