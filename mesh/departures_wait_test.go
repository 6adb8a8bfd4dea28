package mesh

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowRecords fails to list for some time.
type slowRecords struct {
	memoryRecords
	until time.Time
}

func (s *slowRecords) List(ctx context.Context) ([]Record, uint64, error) {
	if time.Now().Before(s.until) {
		return nil, 0, errors.New("away")
	}
	return s.memoryRecords.List(ctx)
}

// Guards against a second wait for the departures, with a further write of the record,
// of a node that has given up the first one since the store was away.
func TestWaitForDeparturesEndsOnce(t *testing.T) {
	records := &slowRecords{memoryRecords: memoryRecords{timeline: 2}, until: time.Now().Add(departuresTimeout + 200*time.Millisecond)}
	n := New(Config{Name: "a", GossipAddress: testHost(79) + ":29573", PeerAddress: testHost(79) + ":29572", Records: records})
	require.NoError(t, n.startGossip())
	defer n.gossip.Close()
	defer n.gate.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	n.recoverRecords(ctx)
	require.Equal(t, 1, records.saves)
}
