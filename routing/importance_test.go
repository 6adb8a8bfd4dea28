package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

func countPicks(t *Table, now time.Time, in PickInput, want TargetID) (n int) {
	rng := newRand()
	for range 100 {
		if at, _ := t.Pick(rng, now, in); at == want {
			n++
		}
	}
	return n
}

// Guards against a long queue of less important calls, or refusals of such calls,
// affecting the routing of important ones.
func TestImportantCallsIgnoreLessImportantQueue(t *testing.T) {
	table := newTestTable("n", 2, 1)
	table.Report(epoch, id(0), Load{InFlight: 10, Waiting: 90, Limit: 10, ByImportance: []int{1, 0, 0, 0, 0, 99}})
	table.Report(epoch, id(1), Load{InFlight: 10, Waiting: 5, Limit: 10, ByImportance: []int{9, 0, 0, 0, 0, 6}})
	table.StartWithImportance(epoch, id(0), 5)
	table.Done(epoch, id(0), Result{Kind: kind.Shed, Importance: 5})
	require.Equal(t, 100, countPicks(table, epoch, PickInput{Importance: 0}, id(0)))
	require.Zero(t, countPicks(table, epoch, PickInput{Importance: 5}, id(0)))
}

// Guards against ejecting targets when all of them are slow, and against keeping
// a single slow target whose calls exceed their deadlines.
func TestExpiredDeadlinesEjectOnlyAnOutlier(t *testing.T) {
	for _, slowAlone := range []bool{false, true} {
		table, now := newTestTable("n", 4, 1), epoch
		for i := range 4 {
			service := 400 * time.Millisecond
			if slowAlone && i > 0 {
				service = 20 * time.Millisecond
			}
			call(table, now, id(i), Result{Latency: service, Load: &Load{Limit: 10, ServiceTime: service}})
		}
		for range 2 * DefaultEjectAfter {
			now = now.Add(time.Second)
			table.Start(now.Add(-time.Second), id(0))
			call(table, now.Add(-time.Millisecond), id(0), Result{Kind: kind.Canceled, Responded: true})
			table.Done(now, id(0), Result{Kind: kind.DeadlineExpired, Latency: time.Second})
		}
		require.Equal(t, slowAlone, table.byID[id(0)].ejected)
	}
}

// Guards against probing with an important request while less important ones are
// available, and against never probing when there are none.
func TestProbesWaitForLessImportantCalls(t *testing.T) {
	table, now := newTestTable("n", 2, 1), epoch
	for range 50 {
		table.StartWithImportance(now, id(1), 6)
		table.Done(now, id(1), Result{Importance: 6})
	}
	for range DefaultEjectAfter {
		table.StartWithImportance(now, id(0), 6)
		table.Done(now, id(0), Result{Kind: kind.PeerLost, Importance: 6})
	}
	now = now.Add(DefaultMinProbeBackoff)
	require.Zero(t, countPicks(table, now, PickInput{MayProbe: true}, id(0)))
	require.Equal(t, 1, countPicks(table, now, PickInput{MayProbe: true, Importance: 6}, id(0)))
	now = now.Add(2 * DefaultMaxProbeBackoff)
	require.Equal(t, 1, countPicks(table, now, PickInput{MayProbe: true}, id(0)))
}
