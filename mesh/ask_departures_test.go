package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/registration"
)

// Guards against a restarted node that allows work to a departed target before gossip
// has told it of the departure, which takes long where many departures are known.
func TestStartedNodeLearnsDeparturesFromPeers(t *testing.T) {
	nodes := startMeshNodes(t, 5)
	other := registration.Departure{TargetID: "i-2", StartedAtMs: 1, State: registration.Left}
	own := registration.Departure{TargetID: "i-1", StartedAtMs: 7, Seq: 3, State: registration.Left}
	for _, n := range nodes[1:] {
		for instance, d := range map[string]registration.Departure{"n0": own, "elsewhere": other} {
			b := departureBroadcast(t, instance, d)
			b.Expiry = time.Now().Add(departureTTL)
			n.gossip.Broadcast(b)
		}
	}
	asking := New(Config{Name: "n0", Service: "s", CallerAddress: testHost(79) + ":29640", PeerAddress: testHost(79) + ":29641", GossipAddress: testHost(79) + ":29642"})
	require.NoError(t, asking.startGossip())
	defer asking.gossip.Close()
	defer asking.gate.Close()
	require.False(t, asking.askForDepartures(t.Context(), 4), "no peer is known")
	for _, n := range nodes[1:] {
		require.True(t, asking.askPeerForDepartures(t.Context(), n.gossip.Self().Meta.PeerAddr))
	}
	require.Equal(t, []registration.Departure{own}, asking.departures())
	// With its peers known, the node asks them itself.
	require.Eventually(t, func() bool { return nodes[0].askForDepartures(t.Context(), 4) }, 20*time.Second, time.Millisecond)
	require.Contains(t, nodes[0].departures(), own)
}
