package mesh

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/recordsync"
	"github.com/goldcrestsail/goldcrestsail/registration"
)

// Guards against a record that claims to be complete and lacks a departure that a
// peer has told after the wait for it: the next process of the instance would trust
// the record and send work to the departed target after a late report.
func TestDepartureToldLateIsSaved(t *testing.T) {
	records := &memoryRecords{timeline: 2}
	n := New(Config{Name: "a", GossipAddress: testHost(79) + ":29571", PeerAddress: testHost(79) + ":29570", Records: records})
	require.NoError(t, n.startGossip())
	t.Cleanup(func() {
		n.gossip.Close()
		n.gate.Close()
	})
	_, err := n.restoreRecord(t.Context())
	require.NoError(t, err)
	// The wait ends.
	n.markDeparturesKnown()
	n.changeRecord()
	require.NoError(t, n.writeRecord(t.Context()))
	require.EqualValues(t, 2, records.records[0].Timeline)
	n.receiveDeparture(departureBroadcast(t, "a", registration.Departure{TargetID: "own", StartedAtMs: 1, Seq: 3, State: registration.Left}))
	require.Len(t, n.departures(), 1)
	var planned bool
	n.record.read(func(k *recordsync.Keeper) { _, planned = k.NextWrite() })
	require.True(t, planned, "the departure is not written")
}
