package mesh

import (
	"context"
	"net/netip"
	"slices"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/registration"
)

// Guards against keeping the records of instances that are gone for good, which
// would slow down every start of a node, and against removing the record of an
// instance that is only restarting.
func TestRecordsOfAbsentInstancesAreRemoved(t *testing.T) {
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port) }
	records := []Record{{Instance: "here", Gossip: at(1)}, {Instance: "gone", Gossip: at(2)}, {Instance: "restarted", Gossip: at(3)}}
	members := []membership.Member{{Addr: at(1), State: membership.Alive}, {Addr: at(2), State: membership.Dead}}
	gone, absent := staleInstances(records, members, nil)
	require.Empty(t, gone)
	require.Equal(t, map[string]bool{"gone": true, "restarted": true}, absent)
	members = append(members, membership.Member{Addr: at(3), State: membership.Suspect})
	gone, absent = staleInstances(records, members, absent)
	require.Equal(t, []string{"gone"}, gone)
	require.Equal(t, map[string]bool{"gone": true}, absent)
}

// memoryRecords is a store of records that counts the calls.
type memoryRecords struct {
	records      []Record
	timeline     uint64
	lists, saves int
}

func (m *memoryRecords) List(context.Context) ([]Record, uint64, error) {
	m.lists++
	return m.records, m.timeline, nil
}

func (m *memoryRecords) Save(_ context.Context, r Record, _ uint64) (uint64, error) {
	m.saves++
	m.records = append(slices.DeleteFunc(m.records, func(o Record) bool { return o.Instance == r.Instance }), r)
	return m.timeline, nil
}

func (m *memoryRecords) Remove(context.Context, string) error { return nil }

// Guards against a restart that writes the record which the store has already: in a
// rolling restart of hundreds of instances such calls crowd out others.
func TestRestartWritesRecordOnlyIfItChanged(t *testing.T) {
	records := &memoryRecords{timeline: firstTimeline}
	start := func(departures ...registration.Departure) bool {
		n := New(Config{Name: "a", GossipAddress: testHost(77) + ":29471", PeerAddress: testHost(77) + ":29470", Records: records})
		require.NoError(t, n.startGossip())
		defer n.gossip.Close()
		defer n.gate.Close()
		n.target.addDepartures(departures...)
		restored, err := n.restoreRecord(t.Context())
		require.NoError(t, err)
		return restored.written
	}
	require.True(t, start())
	require.False(t, start())
	departure := registration.Departure{TargetID: "t", StartedAtMs: 1, State: registration.Left}
	require.True(t, start(departure))
	require.False(t, start(departure))
	require.False(t, start(), "the departures of the earlier process are restored")
	require.Equal(t, 2, records.saves)
	records.records[0].Gossip = netip.MustParseAddrPort("127.0.0.9:1")
	require.True(t, start(), "the address has changed")
}

// Guards against several nodes that remove records at the same time.
func TestOnlyNodeWithSmallestIDRemovesRecords(t *testing.T) {
	a, b := membership.Member{ID: uuid.UUID{1}, State: membership.Alive}, membership.Member{ID: uuid.UUID{2}, State: membership.Alive}
	require.True(t, hasSmallestID(a, []membership.Member{a, b}))
	require.False(t, hasSmallestID(b, []membership.Member{a, b}))
	a.State = membership.Dead
	require.True(t, hasSmallestID(b, []membership.Member{a, b}))
}
