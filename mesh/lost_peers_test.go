package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/quarantine"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

// Guards against the end of a target that nobody reports, because the node beside it
// has ended as well.
func TestCallsOfEndedPeerBecomeSuspect(t *testing.T) {
	n := startGossipOnly(t, testHost(81))
	lost := func(peer string, f quarantine.Fingerprint) {
		n.lostPeers.add(routing.TargetID(peer), &message.Call{Request: message.Request{ID: peer}, Fingerprint: f, KnownCrashes: n.crashes.Check(f).Crashes})
	}
	lost("gone", 1)
	lost(n.id.String(), 2)
	n.reportLostPeers(time.Now())
	require.Equal(t, quarantine.Suspect, n.crashes.Check(1).State)
	require.Equal(t, quarantine.Clear, n.crashes.Check(2).State, "its peer is present")
	n.reportLostPeers(time.Now().Add(lostCallTTL))
	require.Empty(t, n.lostPeers.calls)
	for range 3 {
		require.Equal(t, quarantine.Suspect, n.crashes.Check(1).State)
		lost("gone", 1)
		n.reportLostPeers(time.Now())
	}
	require.Equal(t, quarantine.Quarantined, n.crashes.Check(1).State, "two of the four ends were on trial")
	for i, peer := range []string{"a", "b", "c"} {
		lost(peer, quarantine.Fingerprint(10+i))
	}
	n.reportLostPeers(time.Now())
	require.Equal(t, quarantine.Clear, n.crashes.Check(10).State, "many peers have ended at once")
	for range maxLostCalls + 1 {
		lost(n.id.String(), 3)
	}
	require.Len(t, n.lostPeers.calls, maxLostCalls)
}
