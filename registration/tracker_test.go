package registration

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func at(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }

func ready(id string, born, seq int64) Report {
	return Report{TargetID: id, Born: born, Seq: seq, State: Ready, Service: "s", Slots: 4}
}

func with(r Report, s State) Report { r.State = s; return r }

// Guards against old, repeated and foreign reports that bring back a target
// which has announced its end, or end one that serves.
func TestReportsOutOfOrder(t *testing.T) {
	for name, c := range map[string]struct {
		reports []Report
		want    State
		id      string
	}{
		"first":                              {[]Report{ready("a", 1, 1)}, Ready, "a"},
		"draining":                           {[]Report{ready("a", 1, 1), with(ready("a", 1, 2), Draining)}, Draining, "a"},
		"old ready after draining":           {[]Report{ready("a", 1, 1), with(ready("a", 1, 5), Draining), ready("a", 1, 4)}, Draining, "a"},
		"later ready after draining":         {[]Report{with(ready("a", 1, 5), Draining), ready("a", 1, 6)}, Draining, "a"},
		"new start under the same ID":        {[]Report{with(ready("a", 1, 5), Draining), ready("a", 2, 1)}, Ready, "a"},
		"report of an earlier start":         {[]Report{ready("a", 2, 1), with(ready("a", 1, 9), Draining)}, Ready, "a"},
		"another, younger target":            {[]Report{ready("a", 1, 1), ready("b", 2, 1)}, Ready, "b"},
		"delayed report of the one before":   {[]Report{ready("b", 2, 1), ready("a", 1, 9)}, Ready, "b"},
		"a stranger of the same age leaves":  {[]Report{ready("a", 1, 1), with(ready("x", 1, 9), Draining)}, Ready, "a"},
		"node started beside a draining one": {[]Report{with(ready("a", 1, 7), Draining)}, Draining, "a"},
		"repeated draining":                  {[]Report{with(ready("a", 1, 7), Draining), with(ready("a", 1, 8), Draining)}, Draining, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			tr := NewTracker(time.Second)
			for _, r := range c.reports {
				tr.Observe(at(0), r)
			}
			got := tr.Current(at(0))
			require.Equal(t, c.want, got.State)
			require.Equal(t, c.id, got.TargetID)
		})
	}
}

// Guards against a restarted node that admits to a target whose departure its
// earlier process has acknowledged.
func TestDepartureOutlastsTheProcess(t *testing.T) {
	before := NewTracker(time.Second)
	before.Observe(at(0), ready("a", 1, 1))
	d := before.Leave("a", 0)
	after := NewTracker(time.Second)
	after.Remember(d)
	require.False(t, after.Observe(at(1), ready("a", 1, 2)))
	require.Equal(t, Unknown, after.Current(at(1)).State)
	require.True(t, after.Observe(at(1), ready("a", 3, 1)))
	require.Equal(t, Ready, after.Current(at(1)).State)

	late := NewTracker(time.Second)
	late.Observe(at(0), ready("a", 1, 1))
	late.Remember(d)
	require.Equal(t, Left, late.Current(at(0)).State, "the departure may be learned after the first report")
}

// Guards against a late report that replaces what a newer one has said.
func TestLateReportChangesNothing(t *testing.T) {
	tr := NewTracker(time.Second)
	newer, older := ready("a", 1, 5), ready("a", 1, 4)
	newer.Slots, older.Slots = 8, 4
	require.True(t, tr.Observe(at(0), newer))
	require.False(t, tr.Observe(at(1), older))
	require.Equal(t, 8, tr.Current(at(1)).Slots)
}

// Guards against a delayed departure of an earlier start that ends the present one.
func TestLateDepartureOfAnEarlierStart(t *testing.T) {
	tr := NewTracker(time.Second)
	tr.Observe(at(0), ready("a", 2, 1))
	tr.Leave("a", 1)
	require.Equal(t, Ready, tr.Current(at(0)).State)
	tr.Leave("a", 2)
	require.Equal(t, Left, tr.Current(at(0)).State)
}

// Guards against a target that crashed without a word and still counts as ready.
func TestSilentTargetIsUnknown(t *testing.T) {
	tr := NewTracker(time.Second)
	tr.Observe(at(0), ready("a", 1, 1))
	require.Equal(t, Ready, tr.Current(at(4)).State)
	require.Equal(t, Unknown, tr.Current(at(5)).State)
	tr.Observe(at(6), ready("a", 1, 2))
	require.Equal(t, Ready, tr.Current(at(6)).State)
}
