package registration

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func at(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }

func readyReport(id string, startedAtMs, seq int64) Report {
	return Report{TargetID: id, StartedAtMs: startedAtMs, Seq: seq, State: Ready, Service: "s", Slots: 4}
}

func withState(r Report, s State) Report { r.State = s; return r }

// Guards against old or repeated reports, or reports of another target, that
// make a departed target ready again or end a ready one.
func TestReportsOutOfOrder(t *testing.T) {
	for name, c := range map[string]struct {
		reports []Report
		want    State
		id      string
	}{
		"first":                                        {[]Report{readyReport("a", 1, 1)}, Ready, "a"},
		"draining":                                     {[]Report{readyReport("a", 1, 1), withState(readyReport("a", 1, 2), Draining)}, Draining, "a"},
		"older ready report after draining":            {[]Report{readyReport("a", 1, 1), withState(readyReport("a", 1, 5), Draining), readyReport("a", 1, 4)}, Draining, "a"},
		"newer ready report after draining":            {[]Report{withState(readyReport("a", 1, 5), Draining), readyReport("a", 1, 6)}, Draining, "a"},
		"new process with the same ID":                 {[]Report{withState(readyReport("a", 1, 5), Draining), readyReport("a", 2, 1)}, Ready, "a"},
		"report of an earlier process":                 {[]Report{readyReport("a", 2, 1), withState(readyReport("a", 1, 9), Draining)}, Ready, "a"},
		"another target that started later":            {[]Report{readyReport("a", 1, 1), readyReport("b", 2, 1)}, Ready, "b"},
		"delayed report of the previous target":        {[]Report{readyReport("b", 2, 1), readyReport("a", 1, 9)}, Ready, "b"},
		"other target with the same start time drains": {[]Report{readyReport("a", 1, 1), withState(readyReport("x", 1, 9), Draining)}, Ready, "a"},
		"first report is draining":                     {[]Report{withState(readyReport("a", 1, 7), Draining)}, Draining, "a"},
		"repeated draining":                            {[]Report{withState(readyReport("a", 1, 7), Draining), withState(readyReport("a", 1, 8), Draining)}, Draining, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			tr := NewTracker(time.Second)
			for _, r := range c.reports {
				tr.ApplyReport(at(0), r)
			}
			got := tr.Current(at(0))
			require.Equal(t, c.want, got.State)
			require.Equal(t, c.id, got.TargetID)
		})
	}
}

// Guards against a restarted node that admits requests to a target whose
// departure the node acknowledged before its restart.
func TestDepartureSurvivesNodeRestart(t *testing.T) {
	oldNode := NewTracker(time.Second)
	oldNode.ApplyReport(at(0), readyReport("a", 1, 1))
	d := oldNode.MarkLeft(at(0), "a", 0)
	newNode := NewTracker(time.Second)
	newNode.ApplyDeparture(d)
	require.False(t, newNode.ApplyReport(at(1), readyReport("a", 1, 2)))
	require.Equal(t, Unknown, newNode.Current(at(1)).State)
	require.True(t, newNode.ApplyReport(at(1), readyReport("a", 3, 1)))
	require.Equal(t, Ready, newNode.Current(at(1)).State)

	lateDeparture := NewTracker(time.Second)
	lateDeparture.ApplyReport(at(0), readyReport("a", 1, 1))
	lateDeparture.ApplyDeparture(d)
	require.Equal(t, Left, lateDeparture.Current(at(0)).State, "a departure received after the first report must apply")
}

// Guards against a delayed report that overwrites a newer one.
func TestDelayedReportIsIgnored(t *testing.T) {
	tr := NewTracker(time.Second)
	newer, older := readyReport("a", 1, 5), readyReport("a", 1, 4)
	newer.Slots, older.Slots = 8, 4
	require.True(t, tr.ApplyReport(at(0), newer))
	require.False(t, tr.ApplyReport(at(1), older))
	require.Equal(t, 8, tr.Current(at(1)).Slots)
}

// Guards against a delayed departure of an earlier process that ends the current
// one.
func TestDelayedDepartureOfEarlierProcess(t *testing.T) {
	tr := NewTracker(time.Second)
	tr.ApplyReport(at(0), readyReport("a", 2, 1))
	tr.MarkLeft(at(0), "a", 1)
	require.Equal(t, Ready, tr.Current(at(0)).State)
	tr.MarkLeft(at(0), "a", 2)
	require.Equal(t, Left, tr.Current(at(0)).State)
}

// Guards against a target that crashed without announcing its departure and is
// still considered ready.
func TestTargetWithOverdueReportsIsUnknown(t *testing.T) {
	tr := NewTracker(time.Second)
	tr.ApplyReport(at(0), readyReport("a", 1, 1))
	require.Equal(t, Ready, tr.Current(at(4)).State)
	require.Equal(t, Unknown, tr.Current(at(5)).State)
	tr.ApplyReport(at(6), readyReport("a", 1, 2))
	require.Equal(t, Ready, tr.Current(at(6)).State)
}
