package mesh

import (
	"net/netip"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/membership"
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

// Guards against several nodes that remove records at the same time.
func TestOnlyNodeWithSmallestIDRemovesRecords(t *testing.T) {
	a, b := membership.Member{ID: uuid.UUID{1}, State: membership.Alive}, membership.Member{ID: uuid.UUID{2}, State: membership.Alive}
	require.True(t, hasSmallestID(a, []membership.Member{a, b}))
	require.False(t, hasSmallestID(b, []membership.Member{a, b}))
	a.State = membership.Dead
	require.True(t, hasSmallestID(b, []membership.Member{a, b}))
}
