package configlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/goldcrestsail/goldcrestsail/logservice"
	"github.com/goldcrestsail/goldcrestsail/policy"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

var paydesk = policy.ServiceName{Customer: "qureshi", Service: "paydesk"}

func testID(n int) string { return uuid.UUID{15: byte(n), 14: byte(n >> 8)}.String() }

// changeJSON returns the JSON of a change to paydesk. fields is JSON text that is
// appended to the policy of a put.
func changeJSON(schema, id, base int, op, fields string) string {
	body := ""
	if op == "put" {
		body = `,"policy":{"classes":[{"name":"read","importance":5,"timeout_ms":1000}],"slots":70,"connections":500,"retry_allowance":2` + fields + `}`
	}
	return fmt.Sprintf(`{"schema":%d,"id":%q,"customer":"qureshi","service":"paydesk","base":%d,"op":%q%s}`, schema, testID(id), base, op, body)
}

func record(offset uint64, data string) logservice.Record {
	return logservice.Record{Offset: offset, Time: time.UnixMilli(int64(1_000_000 + offset)), Data: []byte(data)}
}

func foldAll(s *State, records ...string) (results []Result) {
	for _, data := range records {
		results = append(results, Fold(s, record(s.Offset(), data)))
	}
	return results
}

func TestFoldOutcomes(t *testing.T) {
	for _, c := range []struct {
		name, data string
		outcome    Outcome
		reason     Reason
		fault      string
	}{
		{"next revision", changeJSON(2, 9, 2, "put", ""), Accepted, "", ""},
		{"delete", changeJSON(1, 9, 2, "delete", ""), Accepted, "", ""},
		{"base behind", changeJSON(2, 9, 1, "put", ""), Rejected, StaleBase, ""},
		{"base ahead", changeJSON(2, 9, 3, "put", ""), Rejected, StaleBase, ""},
		{"repeated ID with other content", changeJSON(2, 1, 2, "put", ""), Duplicate, "", ""},
		{"ID of a rejected change", changeJSON(2, 3, 2, "put", ""), Duplicate, "", ""},
		{"later schema", changeJSON(3, 9, 2, "put", ""), Rejected, UnknownSchema, "schema"},
		{"no schema", strings.Replace(changeJSON(1, 9, 2, "put", ""), `"schema":1,`, "", 1), Rejected, Malformed, "schema"},
		{"schema as text", strings.Replace(changeJSON(1, 9, 2, "put", ""), `"schema":1`, `"schema":"1"`, 1), Rejected, Malformed, "schema"},
		{"schema 2 field in schema 1", changeJSON(1, 9, 2, "put", `,"min_limit":3`), Rejected, Malformed, "policy.min_limit"},
		{"unknown field", changeJSON(2, 9, 2, "put", `,"speed":3`), Rejected, Malformed, "policy.speed"},
		{"missing importance", strings.Replace(changeJSON(1, 9, 2, "put", ""), `"importance":5,`, "", 1), Rejected, Malformed, "policy.classes[0].importance"},
		{"no policy", strings.Replace(changeJSON(2, 9, 2, "delete", ""), "delete", "put", 1), Rejected, Malformed, "policy"},
		{"upper-case ID", strings.Replace(changeJSON(2, 9, 2, "put", ""), testID(9), "0000000A-0000-0000-0000-000000000009", 1), Rejected, Malformed, "id"},
		{"not JSON", "{", Rejected, Malformed, "text"},
		{"comment", "// x\n" + changeJSON(2, 9, 2, "put", ""), Rejected, Malformed, "text"},
		{"too large", changeJSON(2, 9, 2, "put", strings.Repeat(" ", MaxChangeBytes)), Rejected, Malformed, "text"},
		{"value that wraps as a duration", changeJSON(2, 9, 2, "put", `,"claim_window_ms":18446744073710`), Rejected, InvalidPolicy, "policy.claim_window_ms"},
		{"snapshot offset above the record offset", string(EncodeSnapshot(&State{offset: 4})), Rejected, Malformed, "offset"},
		{"stale snapshot", string(EncodeSnapshot(NewState())), SnapshotIgnored, "", ""},
		{"damaged snapshot", strings.Replace(string(EncodeSnapshot(NewState())), `"covered":0`, `"covered":1`, 1), Rejected, Malformed, "sum"},
		{"delta", string(EncodeDelta(NewState(), 0)), Rejected, Malformed, "op"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewState()
			foldAll(s, changeJSON(1, 1, 0, "put", ""), changeJSON(2, 2, 1, "put", ""), changeJSON(2, 3, 7, "put", ""))
			require.EqualValues(t, 2, s.Revision(paydesk))
			r := foldAll(s, c.data)[0]
			require.Equal(t, c.outcome, r.Outcome, "%+v", r)
			require.Equal(t, c.reason, r.Reason, "%+v", r)
			require.Equal(t, c.outcome == Rejected, r.Err() != nil)
			require.EqualValues(t, 4, s.Offset(), "the offset must advance past every record")
			if c.fault != "" {
				fields := []string{}
				for _, f := range r.Faults {
					fields = append(fields, f.Field)
				}
				require.Contains(t, fields, c.fault)
			}
			if c.outcome != Accepted {
				require.EqualValues(t, 2, s.Policy(paydesk).Revision)
			}
		})
	}
}

// Guards against a schema 1 change that resets fields that schema 1 cannot
// express.
func TestSchema1ChangeKeepsSchema2Fields(t *testing.T) {
	s := NewState()
	r := foldAll(s,
		changeJSON(2, 1, 0, "put", `,"min_limit":9,"retry_budget_ratio":0,"claim_window_ms":60000,"default_class":"read"`),
		changeJSON(1, 2, 1, "put", ""),
		// Without the class that default_class names the policy is invalid.
		strings.Replace(changeJSON(1, 3, 2, "put", ""), `"read"`, `"write"`, 1),
		strings.Replace(changeJSON(1, 4, 2, "put", ""), `"slots":70`, `"slots":8`, 1))
	p := s.Policy(paydesk)
	require.EqualValues(t, 2, p.Revision)
	require.Equal(t, 9, p.MinLimit)
	require.Zero(t, p.RetryBudgetRatio)
	require.Equal(t, time.Minute, p.ClaimWindow)
	require.Equal(t, "read", p.DefaultClass)
	require.Equal(t, "policy.default_class", r[2].Faults[0].Field)
	require.Equal(t, "policy.min_limit", r[3].Faults[0].Field)
	// A schema 2 change replaces the whole policy; omitted fields get defaults.
	foldAll(s, changeJSON(2, 5, 2, "put", ""))
	require.Equal(t, policy.DefaultMinLimit, s.Policy(paydesk).MinLimit)
	require.Equal(t, policy.DefaultRetryBudgetRatio, s.Policy(paydesk).RetryBudgetRatio)
}

// Guards against revisions that restart at 1 after a delete: a change based on
// a revision from before the delete would then be accepted.
func TestRevisionContinuesAfterDelete(t *testing.T) {
	s := NewState()
	r := foldAll(s, changeJSON(1, 1, 0, "put", ""), changeJSON(1, 2, 1, "delete", ""), changeJSON(1, 3, 2, "delete", ""), changeJSON(1, 4, 0, "put", ""), changeJSON(1, 5, 1, "put", ""), changeJSON(1, 6, 2, "put", ""))
	require.Equal(t, []Reason{"", "", NoSuchService, StaleBase, StaleBase, ""}, []Reason{r[0].Reason, r[1].Reason, r[2].Reason, r[3].Reason, r[4].Reason, r[5].Reason})
	require.EqualValues(t, 3, s.Policy(paydesk).Revision)
	got, ok := s.ResultOf(testID(4))
	require.True(t, ok)
	require.Equal(t, StaleBase, got.Reason)
}

// Guards against a node that starts in the middle of the log and derives its
// configuration from an incomplete history.
func TestStartMidStreamRequiresSnapshot(t *testing.T) {
	complete := NewState()
	foldAll(complete, changeJSON(1, 1, 0, "put", ""), changeJSON(1, 2, 1, "put", ""))
	snapshot := string(EncodeSnapshot(complete))
	foldAll(complete, changeJSON(1, 3, 2, "put", ""), snapshot)

	s := NewState()
	require.Equal(t, Gap, Fold(s, record(2, changeJSON(1, 3, 2, "put", ""))).Outcome)
	require.Nil(t, s.Policy(paydesk))
	require.Equal(t, SnapshotApplied, Fold(s, record(3, snapshot)).Outcome)
	require.EqualValues(t, 2, s.Offset(), "the snapshot does not cover the record at offset 2")
	foldAll(s, changeJSON(1, 3, 2, "put", ""), snapshot)
	require.Equal(t, string(EncodeSnapshot(complete)), string(EncodeSnapshot(s)))
	require.Equal(t, AlreadyFolded, Fold(s, record(1, changeJSON(1, 9, 3, "put", ""))).Outcome)
}

func TestStateBounds(t *testing.T) {
	s := NewState()
	for i := range MaxServices + 1 {
		r := foldAll(s, strings.Replace(changeJSON(1, i, 0, "put", ""), "paydesk", fmt.Sprintf("s%d", i), 1))[0]
		require.Equal(t, i == MaxServices, r.Reason == TooManyServices)
	}
	for range IDWindowOffsets {
		foldAll(s, "junk")
	}
	require.Len(t, s.Results(), MaxResults)
	require.Empty(t, s.ids)
	require.Len(t, s.Policies(), MaxServices)
	data := EncodeSnapshot(s)
	require.Less(t, len(data), MaxSnapshotBytes)
	decoded, err := DecodeSnapshot(data)
	require.NoError(t, err)
	require.True(t, bytes.Equal(data, EncodeSnapshot(decoded)))
}

// Guards against a record that stops the fold, and against one that leaves a
// state that does not survive encoding and decoding as a snapshot.
func FuzzFold(f *testing.F) {
	f.Add([]byte(changeJSON(1, 2, 1, "put", "")))
	f.Add([]byte(changeJSON(2, 2, 1, "put", `,"min_limit":3,"retry_budget_ratio":0.5,"default_class":"read"`)))
	f.Add([]byte(changeJSON(1, 2, 1, "delete", "")))
	f.Add([]byte(changeJSON(3, 2, 1, "put", "")))
	f.Add(EncodeSnapshot(NewState()))
	f.Add([]byte(`{"schema":2,"kind":"snapshot","offset":1,"state":{"ids":"AA=="},"sum":""}`))
	f.Add([]byte(`[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, faults := DecodeRecord(data); len(faults) == 0 {
			decoded, faults := DecodeRecord(c.Encode())
			require.Empty(t, faults)
			require.Equal(t, string(c.Encode()), string(decoded.Encode()))
		}
		s := NewState()
		foldAll(s, changeJSON(1, 1, 0, "put", ""), string(data))
		require.EqualValues(t, 2, s.Offset())
		snapshot := EncodeSnapshot(s)
		decoded, err := DecodeSnapshot(snapshot)
		require.NoError(t, err)
		require.Equal(t, string(snapshot), string(EncodeSnapshot(decoded)))
	})
}

// Guards against a snapshot with a valid sum and invalid contents that causes a
// panic, decreases the offset of a node, or leaves a state that does not survive
// encoding and decoding as a snapshot.
func FuzzAdopt(f *testing.F) {
	seed := NewState()
	foldAll(seed, changeJSON(1, 1, 0, "put", ""), changeJSON(2, 2, 1, "put", ""), changeJSON(1, 3, 2, "delete", ""), "junk")
	var w snapshotWire
	require.NoError(f, json.Unmarshal(EncodeSnapshot(seed), &w))
	for _, state := range []string{string(w.State), "{}", "[]", `{"ids":"AAAA"}`, `{"services":[{"revision":1}]}`, `{"covered":9}`} {
		f.Add([]byte(state), uint64(4), uint64(0), false)
		f.Add([]byte(state), uint64(4), uint64(2), true)
	}
	f.Fuzz(func(t *testing.T, state []byte, offset, since uint64, delta bool) {
		var compact bytes.Buffer
		if json.Compact(&compact, state) != nil {
			return
		}
		w := snapshotWire{Schema: Schema2, Kind: kindSnapshot, Offset: offset, Since: since, State: compact.Bytes()}
		if delta {
			w.Kind = kindDelta
		}
		w.Sum = w.sum()
		s := NewState()
		foldAll(s, changeJSON(1, 1, 0, "put", ""), changeJSON(2, 2, 1, "put", ""))
		next, err := Adopt(s, mustMarshal(w))
		require.EqualValues(t, 2, s.Offset(), "Adopt must not modify the current state")
		require.GreaterOrEqual(t, next.Offset(), s.Offset())
		if err == nil {
			snapshot := EncodeSnapshot(next)
			decoded, err := DecodeSnapshot(snapshot)
			require.NoError(t, err)
			require.Equal(t, string(snapshot), string(EncodeSnapshot(decoded)))
		}
	})
}
