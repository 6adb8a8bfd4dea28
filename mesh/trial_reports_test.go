package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/quarantine"
)

// Guards against a request that leaves quarantine because all nodes restart: what they
// know is gone, and the request ends as many targets as before. Odd reports in a
// record change nothing.
func TestQuarantineOutlivesAllNodes(t *testing.T) {
	records := &memoryRecords{timeline: firstTimeline}
	start := func(name string) *Node {
		n := New(Config{Name: name, GossipAddress: "127.0.0.82:29591", PeerAddress: "127.0.0.82:29590", Records: records})
		require.NoError(t, n.startGossip())
		_, err := n.restoreRecord(t.Context())
		require.NoError(t, err)
		return n
	}
	stop := func(n *Node) {
		n.gossip.Close()
		n.gate.Close()
	}
	a := start("a")
	now := time.Now()
	for i := range uint64(2) {
		entry := quarantine.Entry{Reporter: 1, Seq: i, At: now.Truncate(time.Millisecond), Expiry: now.Truncate(time.Millisecond).Add(time.Hour), Crashed: []quarantine.Fingerprint{7}, OnTrial: true}
		a.crashes.Merge(entry)
		a.recordTrialReport(entry)
		entry.OnTrial, entry.Seq = false, 10+i
		a.recordTrialReport(entry)
	}
	require.NoError(t, a.writeRecord(t.Context()))
	stop(a)
	require.Len(t, records.records[0].TrialReports, 2)
	saves := records.saves
	for _, name := range []string{"b", "a"} {
		n := start(name)
		require.Equal(t, quarantine.Quarantined, n.crashes.Check(7).State, name)
		stop(n)
	}
	require.Equal(t, saves+1, records.saves, "the record of a has not changed")

	records.records[0].TrialReports = [][]byte{nil, {1, 2}, make([]byte, 1<<20)}
	n := start("c")
	require.Empty(t, n.crashes.List())
	stop(n)
}
