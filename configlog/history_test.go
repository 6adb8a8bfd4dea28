package configlog

import (
	"fmt"
	"testing"

	"github.com/goldcrestsail/goldcrestsail/logservice"
	"github.com/goldcrestsail/goldcrestsail/policy"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var serviceNames = []policy.ServiceName{paydesk, {Customer: "qureshi", Service: "binwatch"}, {Customer: "takst", Service: "order"}}

// drawRecord generates a valid, conflicting, duplicate, damaged or malformed
// record for the next offset of s. snapshots holds a snapshot of the state at
// every offset up to that of s.
func drawRecord(t *rapid.T, s *State, snapshots [][]byte) []byte {
	recordType := rapid.SampledFrom([]string{"put", "put", "put", "put", "delete", "snapshot", "damaged", "malformed"}).Draw(t, "record type")
	switch recordType {
	case "malformed":
		return rapid.SampledFrom([][]byte{nil, []byte("{"), []byte("[]"), []byte(`{"schema":7}`), []byte(`{"schema":2,"op":"put"}`)}).Draw(t, "malformed record")
	case "snapshot", "damaged":
		snapshot := append([]byte{}, snapshots[rapid.IntRange(0, len(snapshots)-1).Draw(t, "covers")]...)
		if recordType == "damaged" {
			snapshot[rapid.IntRange(0, len(snapshot)-1).Draw(t, "byte")] ^= 1
		}
		return snapshot
	}
	name := rapid.SampledFrom(serviceNames).Draw(t, "service")
	base := int(s.Revision(name)) + rapid.SampledFrom([]int{0, 0, 0, 0, -1, 1}).Draw(t, "base")
	fields := ""
	schema := rapid.IntRange(1, 3).Draw(t, "schema")
	if schema == 2 {
		fields = fmt.Sprintf(`,"min_limit":%d`, rapid.IntRange(1, 80).Draw(t, "min"))
	}
	id := rapid.IntRange(0, 200).Draw(t, "id")
	r, faults := DecodeRecord([]byte(changeJSON(schema, id, max(base, 0), recordType, fields)))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	r.Name = name
	return r.Encode()
}

// Guards against two nodes whose states differ at the same offset, and against
// an accepted revision that is lost or reverted. Random histories are folded by a
// node that uses other batch boundaries, restarts from snapshots, adopts
// snapshots and deltas of peers, including stale and repeated ones, and starts
// in the middle of the log.
func TestNodesHoldSameStateAtSameOffset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reference := NewState()
		snapshots := [][]byte{EncodeSnapshot(reference)}
		var log []logservice.Record
		accepted := map[policy.ServiceName]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			r := record(uint64(len(log)), string(drawRecord(t, reference, snapshots)))
			log = append(log, r)
			result := Fold(reference, r)
			if result.Outcome == Accepted {
				accepted[result.Name]++
				require.Equal(t, accepted[result.Name], result.Revision, "accepted revisions must be consecutive")
			}
			for _, name := range serviceNames {
				require.Equal(t, accepted[name], reference.Revision(name))
				if p := reference.Policy(name); p != nil {
					require.Equal(t, accepted[name], p.Revision)
				}
			}
			snapshots = append(snapshots, EncodeSnapshot(reference))
		}
		stateAt := func(offset int) *State {
			s, err := DecodeSnapshot(snapshots[offset])
			require.NoError(t, err)
			return s
		}
		node, cursor, earliest := NewState(), 0, 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := node.Offset()
			switch rapid.SampledFrom([]string{"fold", "fold", "restart", "adopt", "delta", "expire"}).Draw(t, "step") {
			case "fold":
				cursor = max(cursor, earliest)
				for range rapid.IntRange(1, 20).Draw(t, "batch") {
					if cursor >= len(log) {
						break
					}
					r := Fold(node, log[cursor])
					if cursor++; r.Outcome == SnapshotApplied {
						cursor = max(int(node.Offset()), earliest)
					}
				}
			case "restart":
				s, err := DecodeSnapshot(EncodeSnapshot(node))
				require.NoError(t, err)
				node = s
			case "adopt":
				peerOffset := rapid.IntRange(0, len(log)).Draw(t, "peer offset")
				s, err := Adopt(node, snapshots[peerOffset])
				require.NoError(t, err)
				node = s
			case "delta":
				peerOffset := rapid.IntRange(0, len(log)).Draw(t, "peer offset")
				since := rapid.IntRange(0, len(log)).Draw(t, "since")
				s, err := Adopt(node, EncodeDelta(stateAt(peerOffset), uint64(since)))
				require.Equal(t, peerOffset > int(before) && since > int(before), err != nil)
				node = s
			case "expire":
				earliest = rapid.IntRange(earliest, len(log)).Draw(t, "earliest")
				if rapid.Bool().Draw(t, "replaced") {
					node, before, cursor = NewState(), 0, earliest
				}
			}
			require.GreaterOrEqual(t, node.Offset(), before, "the offset must not decrease")
			require.Equal(t, string(snapshots[node.Offset()]), string(EncodeSnapshot(node)), "offset %d", node.Offset())
		}
	})
}
