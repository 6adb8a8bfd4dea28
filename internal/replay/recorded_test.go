package replay

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

const recordedTrace = "testdata/recorded.jsonl"

// Guards against recorded keys that are outside the skew or the window in
// virtual time, so that every payout is refused, and against a goodput that
// does not count recorded arrivals as demand.
func TestRecordedTrace(t *testing.T) {
	var out bytes.Buffer
	ok, err := Run(&out, recordedTrace)
	require.NoError(t, err)
	require.True(t, ok, out.String())
	trace, err := Load(recordedTrace)
	require.NoError(t, err)
	f := replay(trace, newLayer).figures(trace)
	require.Equal(t, 50.0, f["requests"])
	require.Equal(t, 50.0, f["answered"])
	// 26 of the recorded requests arrive in the trigger, far below the slots.
	require.InDelta(t, 26, allowed(trace, ms(2500), ms(4000)), 0.01)
	require.InDelta(t, 23.0/26, f[figureGoodput], 0.0001)
}

// Guards against one client with a wrong clock that makes the keys of all
// others invalid.
func TestRecordedKeyWithAWrongTime(t *testing.T) {
	trace, err := Load(recordedTrace)
	require.NoError(t, err)
	start, changed := trace.start(), ""
	for i, e := range trace.Events {
		if e.Key == "" {
			continue
		}
		id := uuid.MustParse(e.Key)
		wrong := start.Add(-time.Hour).UnixMilli()
		for k := range 6 {
			id[k] = byte(wrong >> (8 * (5 - k)))
		}
		changed = id.String()
		trace.Events[i].Key = changed
		break
	}
	require.InDelta(t, start.UnixMilli(), trace.start().UnixMilli(), 100)
	w := replay(trace, newLayer)
	for _, r := range w.ledger.requests {
		require.Equal(t, r.key != changed, !r.answeredAt.IsZero(), "request %d", r.id)
	}
}

// Guards against recorded arrivals beyond the slots that count as allowed.
func TestAllowedBoundsRecordedArrivals(t *testing.T) {
	trace := &Trace{Head: Head{
		Services:   []Service{{Name: "a", Targets: 1, Slots: 1}},
		Operations: []Operation{{Name: "x", Service: "a", Method: "GET", Path: "/x", OwnMS: 100}},
	}}
	for i := range 20 {
		trace.Events = append(trace.Events, Event{At: i * 50, Service: "a", Method: "GET", Path: "/x"})
	}
	for i := range 4 {
		trace.Events = append(trace.Events, Event{At: 1000 + i*100, Service: "a", Method: "GET", Path: "/x"})
	}
	require.InDelta(t, 10, allowed(trace, 0, ms(1000)), 0.01)
	require.InDelta(t, 10+4, allowed(trace, 0, ms(1500)), 0.01)
}
