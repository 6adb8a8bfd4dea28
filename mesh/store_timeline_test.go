package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/recordsync"
)

// startStoreNode returns a node with running gossip that has not called the store.
func startStoreNode(t *testing.T, records *memoryRecords) *Node {
	n := New(Config{Name: "a", GossipAddress: "127.0.0.77:29471", PeerAddress: "127.0.0.77:29470", Records: records})
	require.NoError(t, n.startGossip())
	t.Cleanup(func() {
		n.gossip.Close()
		n.gate.Close()
	})
	return n
}

// Guards against a follower, which does not read the store, that does not write its
// record again after a restore, and against a read that waits on a connection from
// before the restore.
func TestNewsOfRestoreFromPeer(t *testing.T) {
	n := startStoreNode(t, &memoryRecords{timeline: 1})
	_, err := n.restoreRecord(t.Context())
	require.NoError(t, err)
	require.True(t, n.recordCurrent())
	ctx, cancel := n.UntilStoreRestored(t.Context(), 1)
	defer cancel()
	n.receiveTimeline(membership.Broadcast{Kind: timelineBroadcastKind, ID: "x", Payload: []byte("not a number")})
	require.NoError(t, ctx.Err())
	n.receiveTimeline(membership.Broadcast{Kind: timelineBroadcastKind, ID: "x", Payload: []byte("2")})
	<-ctx.Done()
	require.False(t, n.recordCurrent())
	n.record.read(func(k *recordsync.Keeper) {
		at, planned := k.NextWrite()
		require.True(t, planned)
		require.WithinDuration(t, time.Now(), at, time.Second)
	})
}
