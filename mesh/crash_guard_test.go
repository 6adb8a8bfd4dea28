package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/quarantine"
)

// startGossipOnly starts the gossip of a node that serves nobody, at a loopback address.
func startGossipOnly(t *testing.T, host string) *Node {
	n := New(Config{GossipAddress: host + ":29591", PeerAddress: host + ":29590"})
	require.NoError(t, n.startGossip())
	t.Cleanup(func() {
		n.gossip.Close()
		n.gate.Close()
	})
	return n
}

// Guards against an answer to a request in quarantine that makes its caller come back
// at once, or that says more than "not run".
func TestQuarantinedRequestIsAnsweredAsNotRun(t *testing.T) {
	n := startGossipOnly(t, testHost(80))
	call := &message.Call{Request: message.Request{Method: "GET", Host: "h", URI: "/a"}}
	call.Fingerprint = fingerprintOf(call)
	for i := range uint64(2) {
		now := time.Now()
		report := quarantine.Entry{Reporter: 7, Seq: i, At: now, Expiry: now.Add(time.Hour), Crashed: []quarantine.Fingerprint{call.Fingerprint}, OnTrial: true}
		require.Nil(t, n.checkQuarantine(call))
		n.observeCrash(call, &message.Reply{Failure: kind.New(kind.TargetCrashed, ""), CrashReport: report.Encode()})
		n.observeCrash(call, &message.Reply{Failure: kind.New(kind.TargetCrashed, ""), CrashReport: report.Encode()})
	}
	failure := n.checkQuarantine(call)
	require.NotNil(t, failure)
	response := failureResponse(failure, 9*time.Second, 0)
	require.Equal(t, 503, response.Status)
	require.InDelta(t, 2.7, response.RetryAfter.Seconds(), 0.01)
	require.Len(t, n.gossip.Broadcasts(), 2, "what the peer has found is not passed on")
}
