package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/quarantine"
	"github.com/goldcrestsail/goldcrestsail/registration"
)

// Guards against a request that leaves quarantine because all nodes restart: what they
// know is gone, and the request ends as many targets as before. Odd reports in a
// record change nothing.
func TestQuarantineOutlivesAllNodes(t *testing.T) {
	records := &memoryRecords{timeline: firstTimeline}
	start := func(name string) *Node {
		n := New(Config{Name: name, GossipAddress: testHost(82) + ":29591", PeerAddress: testHost(82) + ":29590", Records: records})
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
		a.recordCrashReport(entry, false)
		entry.OnTrial, entry.Seq, entry.Crashed = false, 10+i, []quarantine.Fingerprint{8}
		a.recordCrashReport(entry, false)
	}
	require.NoError(t, a.writeRecord(t.Context()))
	stop(a)
	require.Len(t, records.records[0].CrashReports, 2)
	saves := records.saves
	for _, name := range []string{"b", "a"} {
		n := start(name)
		require.Equal(t, quarantine.Quarantined, n.crashes.Check(7).State, name)
		stop(n)
	}
	require.Equal(t, saves+1, records.saves, "the record of a has not changed")

	records.records[0].CrashReports = [][]byte{nil, {1, 2}, make([]byte, 1<<20)}
	n := start("c")
	require.Empty(t, n.crashes.List())
	stop(n)
}

// Guards against a request that counts as unknown after all nodes have restarted, though
// it had crashed targets before any trial; and against records that name every request at
// work at an end.
func TestCrashesOutliveAllNodes(t *testing.T) {
	records := &memoryRecords{timeline: firstTimeline}
	start := func(name string) *Node {
		n := New(Config{Name: name, GossipAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", Records: records})
		require.NoError(t, n.startGossip())
		t.Cleanup(func() {
			n.gossip.Close()
			n.gate.Close()
		})
		_, err := n.restoreRecord(t.Context())
		require.NoError(t, err)
		return n
	}
	const crasher = quarantine.Fingerprint(7)
	a := start("a")
	runs := func(fingerprints ...quarantine.Fingerprint) (all []*quarantine.BrokenRun) {
		for _, f := range fingerprints {
			all = append(all, &quarantine.BrokenRun{Fingerprint: f, Until: time.Now()})
		}
		return all
	}
	ended := registration.Report{TargetID: "t"}
	a.handleTargetEnd(ended, "test", runs(crasher))
	a.handleTargetEnd(ended, "test", runs(crasher, 20))
	a.handleTargetEnd(ended, "test", runs(crasher, 30, 31, 32, 33, 34, 35))
	require.NoError(t, a.writeRecord(t.Context()))

	for _, name := range []string{"b", "a"} {
		n := start(name)
		require.Equal(t, 3, n.crashes.Check(crasher).Crashes, name)
		require.Equal(t, quarantine.Suspect, n.crashes.Check(20).State, "one of few at work")
		require.Equal(t, quarantine.Clear, n.crashes.Check(30).State, "one of many at work")
	}
}

// Guards against a record without bound, and against reports of crashes on trial that make
// room for others.
func TestCrashReportsAreBounded(t *testing.T) {
	var r crashReports
	now := time.Now().Truncate(time.Millisecond)
	for i := range uint64(100) {
		require.True(t, r.add(quarantine.Entry{Reporter: 1, Seq: i, At: now, Expiry: now.Add(time.Hour), Crashed: []quarantine.Fingerprint{7}, OnTrial: i == 0}))
	}
	require.Len(t, r.encoded(now), maxCrashReports)
	require.True(t, r.entries[0].OnTrial)
	require.EqualValues(t, 99, r.entries[maxCrashReports-1].Seq)
	require.Empty(t, r.encoded(now.Add(time.Hour)))
}
