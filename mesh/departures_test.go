package mesh

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/registration"
)

// departureBroadcast returns the broadcast of a departure from the node of an instance.
func departureBroadcast(t *testing.T, instance string, d registration.Departure) membership.Broadcast {
	payload, err := json.Marshal(departureMessage{instance, d})
	require.NoError(t, err)
	return membership.Broadcast{Kind: departureBroadcastKind, ID: d.TargetID, Payload: payload}
}

// Guards against a restarted node that sends work to a departed target after a late
// report of it, because the departures of many other targets have displaced the one
// that its earlier process acknowledged.
func TestDeparturesOfOtherTargetsDoNotDisplaceOwn(t *testing.T) {
	n := New(Config{Name: "a", GossipAddress: testHost(77) + ":29481", PeerAddress: testHost(77) + ":29480"})
	require.NoError(t, n.startGossip())
	defer n.gossip.Close()
	defer n.gate.Close()
	n.target.setDeparturesKnown()
	n.receiveDeparture(departureBroadcast(t, "a", registration.Departure{TargetID: "own", StartedAtMs: 1, Seq: 3, State: registration.Left}))
	for i := range 200 {
		n.receiveDeparture(departureBroadcast(t, "b", registration.Departure{TargetID: fmt.Sprint(i), StartedAtMs: 1, State: registration.Left}))
	}
	n.target.applyReport(time.Now(), registration.Report{TargetID: "own", StartedAtMs: 1, Seq: 2, State: registration.Ready, Slots: 1})
	_, failure := n.target.acceptsWork(time.Now(), n.target.service())
	require.NotNil(t, failure)
	require.Len(t, n.departures(), 1)
}

// Guards against work for a target that has left just after its node had started: the
// node did not know the start time of the target yet, and takes a late report for that
// of a new process.
func TestDepartureBeforeFirstReportHolds(t *testing.T) {
	n := New(Config{Name: "a", Service: "s", GossipAddress: testHost(77) + ":29481", PeerAddress: testHost(77) + ":29480"})
	require.NoError(t, n.startGossip())
	defer n.gossip.Close()
	defer n.gate.Close()
	n.target.setDeparturesKnown()
	n.TargetLeft(t.Context(), "i-1", 0)
	report := registration.Report{TargetID: "i-1", Service: "s", StartedAtMs: time.Now().Add(-time.Minute).UnixMilli(), Seq: 19, State: registration.Ready, Slots: 1}
	require.NoError(t, n.ReportTarget(t.Context(), report))
	_, failure := n.target.acceptsWork(time.Now(), n.target.service())
	require.NotNil(t, failure)
	// A process that starts later under the same ID is another one.
	report.StartedAtMs, report.Seq = time.Now().Add(time.Second).UnixMilli(), 1
	require.NoError(t, n.ReportTarget(t.Context(), report))
	_, failure = n.target.acceptsWork(time.Now(), n.target.service())
	require.Nil(t, failure)
}
