package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

var epoch = time.Unix(1_700_000_000, 0)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func id(i int) TargetID { return TargetID(fmt.Sprintf("t%d", i)) }

func newTestTable(node string, n, domains int) *Table {
	t := NewTable(Options{Node: node})
	for i := range n {
		t.Update(epoch, Member{ID: id(i), FailureDomain: fmt.Sprintf("d%d", i%domains), State: Ready, Slots: 10})
	}
	return t
}

func subsetOf(t *Table, now time.Time, domain string, size int) []TargetID {
	t.refreshSubset(now, domain, size)
	ids := []TargetID{}
	for _, tgt := range slices.Concat(t.local, t.remote) {
		ids = append(ids, tgt.member.ID)
	}
	slices.Sort(ids)
	return ids
}

func call(t *Table, now time.Time, id TargetID, r Result) {
	t.Start(now, id)
	t.Done(now, id, r)
}

// Checks under random event sequences that Pick never selects a target that is not
// ready, excluded or ejected, and that at most half of the ready targets are
// ejected.
func TestPickInvariants(t *testing.T) {
	kinds := []kind.Kind{"", "", kind.Shed, kind.DialFailed, kind.PeerLost, kind.Draining, kind.Starting, kind.Canceled}
	rapid.Check(t, func(rt *rapid.T) {
		table, now, rng := newTestTable("n", rapid.IntRange(1, 9).Draw(rt, "targets"), 2), epoch, newRand()
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			some := id(rapid.IntRange(0, 9).Draw(rt, "id"))
			switch rapid.IntRange(0, 9).Draw(rt, "op") {
			case 0:
				table.Update(now, Member{ID: some, FailureDomain: "d0", State: State(rapid.IntRange(0, 3).Draw(rt, "state"))})
			case 1:
				table.Remove(now, some)
			case 2, 3, 4, 5:
				table.Done(now, some, Result{Kind: rapid.SampledFrom(kinds).Draw(rt, "kind"), Latency: time.Millisecond})
			case 6:
				table.Start(now, some)
			default:
				in := PickInput{FailureDomain: "d1", SubsetSize: rapid.IntRange(1, 4).Draw(rt, "subset"), Exclude: []TargetID{some}}
				got, err := table.Pick(rng, now, in)
				if err != nil {
					require.Equal(rt, kind.NoTarget, kind.Of(err).Kind)
					for _, tgt := range table.ranking {
						require.True(rt, !tgt.available(now) || tgt.ejected || in.excludes(tgt), "%s was usable", tgt.member.ID)
					}
					break
				}
				tgt := table.byID[got]
				require.True(rt, tgt.available(now) && !tgt.ejected && !in.excludes(tgt), "picked %s", got)
			}
			require.LessOrEqual(rt, 2*table.ejectedReadyCount(), table.readyCount())
		}
	})
}

// Guards against reconnecting to many targets when one member joins or leaves.
func TestSubsetChangesByOneMemberAtMost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 60).Draw(rt, "targets")
		table := newTestTable(rapid.String().Draw(rt, "node"), n, rapid.IntRange(1, 5).Draw(rt, "domains"))
		before := subsetOf(table, epoch, "d0", DefaultSubsetSize)
		require.Len(rt, before, min(n, DefaultSubsetSize))
		table.Remove(epoch, id(rapid.IntRange(0, n-1).Draw(rt, "gone")))
		after := subsetOf(table, epoch, "d0", DefaultSubsetSize)
		lost := slices.DeleteFunc(slices.Clone(before), func(x TargetID) bool { return slices.Contains(after, x) })
		require.LessOrEqual(rt, len(lost), 1)
		require.Len(rt, after, min(n-1, DefaultSubsetSize))
	})
}

// Guards against a subset that shrinks while some of its members are unusable.
func TestSubsetIsRefilled(t *testing.T) {
	table := newTestTable("n", 15, 3)
	first := subsetOf(table, epoch, "d0", DefaultSubsetSize)
	table.Update(epoch, Member{ID: first[0], FailureDomain: "d0", State: Draining})
	for range DefaultEjectAfter {
		call(table, epoch, first[1], Result{Kind: kind.PeerLost})
	}
	call(table, epoch, first[2], Result{Kind: kind.Starting})
	got := subsetOf(table, epoch, "d0", DefaultSubsetSize)
	require.Len(t, got, DefaultSubsetSize)
	for _, gone := range first[:3] {
		require.NotContains(t, got, gone)
	}
	require.Contains(t, subsetOf(table, epoch.Add(startingExclusion), "d0", DefaultSubsetSize), first[2], "the local exclusion has ended")
}

// Guards against herding: 40 nodes with load reports up to 300 ms old must not all
// send their calls to the target that was reported as idle.
func TestStaleLoadDoesNotCauseHerding(t *testing.T) {
	const nodes, targets, slots = 40, 8, 100
	tables, rng := make([]*Table, nodes), newRand()
	for i := range tables {
		tables[i] = NewTable(Options{Node: fmt.Sprint(i)})
		for j := range targets {
			tables[i].Update(epoch, Member{ID: id(j), State: Ready, Slots: slots})
		}
	}
	type running struct {
		node int
		at   TargetID
	}
	inFlight, loads := map[TargetID]int{}, map[TargetID]int{}
	var calls [50][]running // a ring of one slot per millisecond: each call lasts 50 ms
	worst := 0
	for ms := range 3000 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		if ms%300 == 0 {
			for j := range targets {
				loads[id(j)] = inFlight[id(j)]
			}
			loads[id(0)] = 0 // looks idle to every node until the next report
			for _, table := range tables {
				for j := range targets {
					table.Report(now, id(j), Load{InFlight: loads[id(j)], Limit: slots})
				}
			}
		}
		for _, c := range calls[ms%50] {
			inFlight[c.at]--
			tables[c.node].Done(now, c.at, Result{Latency: 50 * time.Millisecond})
		}
		calls[ms%50] = calls[ms%50][:0]
		for range 10 { // 500 in flight over 800 slots
			node := rng.IntN(nodes)
			at, err := tables[node].Pick(rng, now, PickInput{})
			require.NoError(t, err)
			tables[node].Start(now, at)
			inFlight[at]++
			calls[ms%50] = append(calls[ms%50], running{node, at})
		}
		for _, n := range inFlight {
			worst = max(worst, n)
		}
	}
	// A target is one of the two candidates in a quarter of the choices: 125 calls
	// in flight on average, with a standard deviation of 9.7. Selecting the least
	// loaded target would send it all 500.
	require.LessOrEqual(t, worst, 125+4*10)
}

// Guards against a target that falsely reports no load and attracts every call.
func TestFalseIdleLoadDoesNotAttractAllCalls(t *testing.T) {
	table, rng, counts := newTestTable("n", 4, 1), newRand(), map[TargetID]int{}
	for i := range 4000 {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		at, err := table.Pick(rng, now, PickInput{})
		require.NoError(t, err)
		counts[at]++
		r := Result{Latency: 20 * time.Millisecond, Load: &Load{InFlight: 5, Limit: 10}}
		if at == id(0) {
			r = Result{Latency: 200 * time.Millisecond, Load: &Load{Limit: 10}}
		}
		call(table, now, at, r)
	}
	require.Less(t, counts[id(0)], 1000, "a target with a false report must not get more than its fair share")
}

// Guards against calls across failure domains at light load, and against queueing
// in the node's own failure domain while remote targets have free slots.
func TestOwnFailureDomainIsPreferredWhileLoadAllows(t *testing.T) {
	table, rng := newTestTable("n", 4, 4), newRand()
	count := func() (local int) {
		for range 100 {
			if at, _ := table.Pick(rng, epoch, PickInput{FailureDomain: "d1"}); at == id(1) {
				local++
			}
		}
		return local
	}
	table.Start(epoch, id(1))
	require.Equal(t, 100, count())
	for range 8 {
		table.Start(epoch, id(1))
	}
	require.Zero(t, count())
}

// Guards against calls to a target that does not respond, and against probes with
// requests that must not be retried.
func TestSilentTargetIsEjectedAndProbed(t *testing.T) {
	table, rng, now := newTestTable("n", 2, 1), newRand(), epoch
	call(table, now, id(0), Result{Latency: 10 * time.Millisecond})
	for range minSilentCalls {
		table.Start(now, id(0))
	}
	now = now.Add(DefaultSilenceTimeout + time.Millisecond)
	for range 20 {
		at, err := table.Pick(rng, now, PickInput{})
		require.NoError(t, err)
		require.Equal(t, id(1), at)
	}
	waits := []time.Duration{}
	last := now
	for range 12000 {
		now = now.Add(time.Millisecond)
		at, _ := table.Pick(rng, now, PickInput{})
		require.Equal(t, id(1), at, "a call without MayProbe must not be a probe")
		if at, _ = table.Pick(rng, now, PickInput{MayProbe: true}); at == id(0) {
			waits, last = append(waits, now.Sub(last)), now
			call(table, now, at, Result{Kind: kind.PeerLost})
		}
	}
	require.GreaterOrEqual(t, len(waits), 4)
	for i := range 3 {
		require.InDelta(t, float64(2*waits[i]), float64(waits[i+1]), float64(2*time.Millisecond), "the back-off doubles")
	}
	now = now.Add(DefaultMaxProbeBackoff)
	at, _ := table.Pick(rng, now, PickInput{MayProbe: true})
	require.Equal(t, id(0), at)
	call(table, now, at, Result{Latency: time.Millisecond})
	require.Equal(t, 2, table.Usable(now), "a probe that succeeds ends the ejection")
}

// Guards against sending more calls to a target that has just refused one, and
// against avoiding it for long.
func TestRefusalLowersWeightTemporarily(t *testing.T) {
	table, rng := newTestTable("n", 2, 1), newRand()
	call(table, epoch, id(0), Result{Kind: kind.Shed})
	share := func(now time.Time) (n int) {
		for range 200 {
			if at, _ := table.Pick(rng, now, PickInput{}); at == id(0) {
				n++
			}
		}
		return n
	}
	require.Zero(t, share(epoch.Add(50*time.Millisecond)))
	now := epoch.Add(time.Second)
	table.Start(now, id(1))
	require.Equal(t, 200, share(now))
}

// Guards against running a request with an issued key at any target other than
// the issuer of the key.
func TestPinnedTarget(t *testing.T) {
	table := newTestTable("n", 4, 1)
	for range 2 * DefaultEjectAfter {
		call(table, epoch, id(2), Result{Kind: kind.PeerLost})
	}
	at, err := table.Pick(nil, epoch, PickInput{Pinned: id(2)})
	require.NoError(t, err)
	require.Equal(t, id(2), at, "a pinned target is selected even if it is ejected")
	for state, want := range map[State]kind.Kind{Draining: kind.Draining, Starting: kind.Starting, Down: kind.NoTarget} {
		table.Update(epoch, Member{ID: id(2), State: state})
		_, err := table.Pick(nil, epoch, PickInput{Pinned: id(2)})
		require.Equal(t, want, kind.Of(err).Kind)
	}
	_, err = table.Pick(nil, epoch, PickInput{Pinned: "unknown"})
	require.Equal(t, kind.NoTarget, kind.Of(err).Kind)
}

// Guards against two nodes sending the same suspect request to different targets.
func TestDesignatedTargetIsTheSameOnEveryNode(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(rt, "targets")
		a, b := newTestTable("a", n, 2), newTestTable("b", n, 3)
		in := PickInput{Designated: rapid.Uint64Min(1).Draw(rt, "fingerprint")}
		for range DefaultEjectAfter {
			call(a, epoch, id(0), Result{Kind: kind.PeerLost})
		}
		atA, err := a.Pick(nil, epoch, in)
		require.NoError(rt, err)
		atB, _ := b.Pick(nil, epoch, in)
		require.Equal(rt, atA, atB)
		other := id(rapid.IntRange(0, n-1).Draw(rt, "gone"))
		b.Update(epoch, Member{ID: other, State: Down})
		if atB, _ = b.Pick(nil, epoch, in); other != atA {
			require.Equal(rt, atA, atB, "the failure of another member must not change the designated target")
		}
	})
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{15, 1400} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			table, rng, now := newTestTable("n", n, 11), newRand(), epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				at, _ := table.Pick(rng, now, PickInput{FailureDomain: "d1"})
				table.Start(now, at)
				table.Done(now, at, Result{Latency: time.Millisecond, Load: &Load{InFlight: 3, Limit: 10}})
			}
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{15, 1400} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			table, rng, i := newTestTable("n", n, 11), newRand(), 0
			for b.Loop() {
				i++
				table.Update(epoch, Member{ID: id(i % n), FailureDomain: "d1", State: Ready, Slots: i % 9})
				_, _ = table.Pick(rng, epoch, PickInput{FailureDomain: "d1"})
			}
		})
	}
}

// Guards against a latency penalty that decays but never ends: at a concurrency of
// one, a target that was slow once would never get calls again.
func TestRecoveredTargetGetsCallsAtLowLoad(t *testing.T) {
	table, rng := newTestTable("n", 2, 1), newRand()
	report := func(i int, at time.Time, took time.Duration) {
		call(table, at, id(i), Result{Latency: took, Load: &Load{Limit: 10, ServiceTime: took}})
	}
	now := epoch
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		report(0, now, 500*time.Millisecond)
		report(1, now, 10*time.Millisecond)
	}
	now = now.Add(time.Minute)
	picked := 0
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		at, err := table.Pick(rng, now, PickInput{})
		require.NoError(t, err)
		if at == id(0) {
			picked++
		}
	}
	require.Greater(t, picked, 50)
}

// Guards against calls to a target whose node is suspected to have failed, and
// against a service without usable targets when all are suspected, as after a
// pause of this process.
func TestSuspendedTargetGetsNoCallsUnlessLast(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	table := NewTable(Options{Node: "n"})
	for _, id := range []TargetID{"a", "b"} {
		table.Update(now, Member{ID: id, State: Ready, Slots: 1})
	}
	table.Suspend(now, "a", now.Add(time.Second))
	table.Suspend(now, "b", now.Add(time.Second))
	for range 20 {
		id, err := table.Pick(rng, now, PickInput{})
		require.NoError(t, err)
		require.Equal(t, TargetID("b"), id)
	}
	ids := map[TargetID]bool{}
	for range 50 {
		id, err := table.Pick(rng, now.Add(2*time.Second), PickInput{})
		require.NoError(t, err)
		ids[id] = true
	}
	require.Len(t, ids, 2)
}
