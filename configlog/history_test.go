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
// record. snapshots holds the snapshot of every earlier offset.
func drawRecord(t *rapid.T, s *State, snapshots [][]byte) []byte {
	form := rapid.SampledFrom([]string{"put", "put", "put", "put", "delete", "snapshot", "damaged", "junk"}).Draw(t, "form")
	switch form {
	case "junk":
		return rapid.SampledFrom([][]byte{nil, []byte("{"), []byte("[]"), []byte(`{"schema":7}`), []byte(`{"schema":2,"op":"put"}`)}).Draw(t, "junk")
	case "snapshot", "damaged":
		snapshot := append([]byte{}, snapshots[rapid.IntRange(0, len(snapshots)-1).Draw(t, "covers")]...)
		if form == "damaged" {
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
	r, faults := DecodeRecord([]byte(changeJSON(schema, id, max(base, 0), form, fields)))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	r.Name = name
	return r.Encode()
}

// Random mixed histories are folded by nodes that use other batch boundaries,
// restart from snapshots, adopt snapshots and deltas of peers, including stale
// and repeated ones, and start in the middle of the log. Guards against any two
// nodes that disagree at the same offset, and against an accepted revision that
// is lost or reverted.
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
		at := func(offset int) *State {
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
				peer := rapid.IntRange(0, len(log)).Draw(t, "peer")
				s, err := Adopt(node, snapshots[peer])
				require.NoError(t, err)
				node = s
			case "delta":
				peer := rapid.IntRange(0, len(log)).Draw(t, "peer")
				since := rapid.IntRange(0, len(log)).Draw(t, "since")
				s, err := Adopt(node, EncodeDelta(at(peer), uint64(since)))
				require.Equal(t, peer > int(before) && since > int(before), err != nil)
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
