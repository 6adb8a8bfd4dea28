package mesh

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/recordsync"
)

// startStoreNode returns a node with running gossip that has not called the store.
func startStoreNode(t *testing.T, records *memoryRecords) *Node {
	n := New(Config{Name: "a", GossipAddress: testHost(77) + ":29471", PeerAddress: testHost(77) + ":29470", Records: records})
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
	n := startStoreNode(t, &memoryRecords{timeline: firstTimeline})
	_, err := n.restoreRecord(t.Context())
	require.NoError(t, err)
	require.True(t, n.recordCurrent())
	ctx, cancel := n.UntilStoreRestored(t.Context(), firstTimeline)
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

// Guards against a restarted node that takes the departures in a record from before a
// restore for complete: it would send work to a target whose departure was
// acknowledged after the copy had been made.
func TestRecordFromBeforeRestoreIsNotComplete(t *testing.T) {
	for name, c := range map[string]struct {
		timeline, recorded uint64
		found, complete    bool
	}{
		"first start":                  {timeline: 1, complete: true},
		"written in this timeline":     {timeline: 2, recorded: 2, found: true, complete: true},
		"written before the restore":   {timeline: 2, recorded: 1, found: true},
		"lost, or the instance is new": {timeline: 2},
		"no timeline stated":           {found: true, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			records := &memoryRecords{timeline: c.timeline}
			n := startStoreNode(t, records)
			if c.found {
				records.records = []Record{{Instance: "a", Gossip: netip.MustParseAddrPort(n.config.GossipAddress), Timeline: c.recorded}}
			}
			restored, err := n.restoreRecord(t.Context())
			require.NoError(t, err)
			require.Equal(t, c.complete, restored.complete)
			require.Equal(t, c.complete, n.target.departuresAreKnown())
			if !c.complete {
				require.Zero(t, records.records[0].Timeline, "another restart must not take the record for complete")
			}
		})
	}
}
