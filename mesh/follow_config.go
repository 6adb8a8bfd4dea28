package mesh

import (
	"context"
	"time"

	"github.com/goldcrestsail/goldcrestsail/configreaders"
	"github.com/goldcrestsail/goldcrestsail/internal/ctxwait"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/peerlink"
)

// settleTime is how long a started node waits for its first view of the members
// before it decides whether it is a reader. Without it every node that starts would
// read the store once more.
const settleTime = time.Second

// AwaitStoreRead returns when the node has to read the configuration from the
// store. Until then it follows a reader of its failure domain and applies the
// configurations that this reader has, and reports whether it did so. Only one
// goroutine calls it; the one that reads the store reports the outcome with
// RecordStoreCall.
func (n *Node) AwaitStoreRead(ctx context.Context) (followed bool) {
	if n.readsStore.Load() {
		n.follower.StoreRead()
		ctxwait.For(ctx, settleTime-time.Since(n.startedAt))
	}
	for ctx.Err() == nil {
		action := n.follower.Next(n.domainPeers(), n.configuration.current() != nil)
		if was := n.readsStore.Swap(action.ReadStore); was != action.ReadStore {
			n.log.Info("configuration source changed", "reads_store", action.ReadStore, "reason", string(action.Reason), "reader", action.Reader.Address,
				"config_version", n.configuration.version())
		}
		if action.ReadStore {
			return followed
		}
		n.follow(ctx, action.Reader)
		followed = true
	}
	return followed
}

// StoreReadWait returns how long the store may hold the next read of the configuration.
// inStep reports that other nodes may begin theirs at the same moment.
func (n *Node) StoreReadWait(inStep bool) time.Duration {
	domains := map[string][]configreaders.Peer{}
	for _, m := range n.gossip.Members() {
		if m.State.Present() {
			domains[m.Meta.FailureDomain] = append(domains[m.Meta.FailureDomain], configreaders.Peer{ID: m.ID.String()})
		}
	}
	return configreaders.ReadWait(configreaders.Peer{ID: n.id.String()}, domains, inStep)
}

// follow asks a reader once for a newer configuration.
func (n *Node) follow(ctx context.Context, reader configreaders.Peer) {
	watchCtx, cancel := context.WithTimeout(ctx, configreaders.WatchTimeout)
	defer cancel()
	result, failure := n.peers.Get(reader.Address).WatchConfig(watchCtx, n.configuration.version())
	switch {
	case failure != nil:
		n.log.Info("reader of the configuration lost", "peer", reader.Address, "error", failure.Error(), "config_version", n.configuration.version())
		n.follower.WatchFailed(watchCtx.Err() != nil || failure.Kind == kind.DeadlineExpired)
	case len(result.Config) > 0:
		n.applyPeerConfig(result.Config, reader.Address)
		n.follower.Watched(result.Confirmed)
	default:
		n.follower.Watched(result.Confirmed)
	}
}

// serveFollower responds to a node that follows this one. It holds the response for
// at most HoldTime, and does not hold it if this node does not read the store.
func (n *Node) serveFollower(ctx context.Context, version uint64) peerlink.WatchResult {
	hold := time.NewTimer(configreaders.HoldTime)
	defer hold.Stop()
	for {
		encoded, changed := n.configuration.newerThan(version)
		confirmed := n.readsStore.Load() && n.storeReachable.Load() && !n.draining.Load()
		if encoded != nil || !confirmed {
			return peerlink.WatchResult{Confirmed: confirmed, Config: encoded}
		}
		select {
		case <-changed:
		case <-hold.C:
			return peerlink.WatchResult{Confirmed: true}
		case <-ctx.Done():
			return peerlink.WatchResult{}
		}
	}
}

// domainPeers returns the other present nodes of the node's failure domain.
func (n *Node) domainPeers() []configreaders.Peer {
	var peers []configreaders.Peer
	for _, m := range n.gossip.Members() {
		if m.State.Present() && m.ID != n.id && m.Meta.FailureDomain == n.config.FailureDomain && m.Meta.PeerAddr.IsValid() {
			peers = append(peers, configreaders.Peer{ID: m.ID.String(), Address: m.Meta.PeerAddr.String()})
		}
	}
	return peers
}

// applyPeerConfig applies a configuration received from a peer.
func (n *Node) applyPeerConfig(encoded []byte, peer string) {
	config, err := decodeConfig(encoded)
	if err != nil {
		n.log.Error("failed to decode configuration from peer", "peer", peer, "error", err)
		return
	}
	// ApplyConfig logs the outcome.
	_ = n.ApplyConfig(config, "peer "+peer)
}
