package shedding

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/goldcrestsail/goldcrestsail/admission"
)

var epoch = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func generator() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func newRequest(importance int, chainLevel uint8) Request {
	return Request{Service: "a.x", Class: "read", Importance: importance, ChainLevel: chainLevel}
}

// Guards against a more important request that is refused while a less important
// one for the same service is let through, as with randomly chosen probes.
func TestCheckNeverRefusesTheMoreImportant(t *testing.T) {
	probes := 0
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(Config{ProbeShare: rapid.Float64Range(0.01, 0.3).Draw(t, "share")})
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		table.Learn("a.x", "read", []string{"a.x", "b.x"})
		now := 0
		for range rapid.IntRange(1, 40).Draw(t, "moments") {
			now += rapid.IntRange(0, 200).Draw(t, "ms")
			if rapid.Bool().Draw(t, "observed") {
				table.Observe("b.x", fmt.Sprint(rng.IntN(3)), admission.Rank(rapid.IntRange(0, int(admission.MaxRank)).Draw(t, "level")), at(now-rng.IntN(1200)))
			}
			mostRefused, leastPassed := admission.MaxRank+1, admission.Rank(0)
			for range rapid.IntRange(1, 60).Draw(t, "requests") {
				r := newRequest(rng.IntN(16), uint8(rng.IntN(admission.ChainLevels)))
				rank := admission.MakeRank(r.Importance, true, r.ChainLevel)
				if v := table.Check(r, at(now), rng); v.Refuse {
					mostRefused = min(mostRefused, rank)
				} else {
					leastPassed = max(leastPassed, rank)
					if v.Probe() {
						probes++
					}
				}
			}
			require.Greater(t, mostRefused, leastPassed)
		}
	})
	require.Positive(t, probes, "no probe was let through, so nothing was checked")
}

// Guards against an overload whose end is not detected, and against so many probes
// that they add to the load, at low and high request rates.
func TestProbeShareAtAnyRate(t *testing.T) {
	for _, perSecond := range []int{2, 40, 500, 5000} {
		table, rng := NewTable(Config{}), generator()
		passed, total := 0, 20000
		for i := range total {
			now := epoch.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
			table.Observe("a.x", "1", admission.MakeRank(2, false, 99), now)
			if !table.Check(newRequest(3+i%2, uint8(rng.IntN(128))), now, rng).Refuse {
				passed++
			}
		}
		t.Logf("%d requests per second: %.2f%% let through", perSecond, 100*float64(passed)/float64(total))
		require.InDelta(t, DefaultProbeShare, float64(passed)/float64(total), 0.012)
	}
}

// Guards against refusals because of levels that are expired, replaced or unknown,
// and against a whole service being refused because one target is overloaded.
func TestLevelsExpireAndHighestLevelDecides(t *testing.T) {
	table, rng := NewTable(Config{}), generator()
	refused := func(ms int) bool { return table.Check(newRequest(5, 0), at(ms), rng).Refuse }
	low, high := admission.MakeRank(2, false, 0), admission.MaxRank
	require.False(t, refused(0))
	table.Observe("a.x", "1", 0, at(0))
	require.False(t, refused(0))
	table.Observe("a.x", "1", low, at(0))
	require.True(t, refused(1000))
	require.False(t, refused(1001))
	table.Observe("a.x", "2", high, at(500))
	require.False(t, refused(900), "target 2 takes it")
	table.Observe("a.x", "2", low, at(400))
	require.False(t, refused(900), "older than what is known")
	table.RemoveTarget("a.x", "2")
	require.True(t, refused(900))
	require.Equal(t, low, table.Level("a.x", at(900)))
	table.RemoveTarget("a.x", "1")
	require.Zero(t, table.Level("a.x", at(900)))
}

// Guards against refusals because of services that a class seldom visits, and
// against a path that does not decay or belongs to another class.
func TestUsualPathIsLearnedPerClassAndDecays(t *testing.T) {
	table, rng := NewTable(Config{}), generator()
	for i := range 400 {
		visited := []string{"a.x", "b.x"}
		if i%5 == 0 {
			visited = append(visited, "rare.x")
		}
		table.Learn("a.x", "read", visited)
		table.Learn("a.x", "pay", []string{"a.x", "c.x"})
	}
	require.ElementsMatch(t, []string{"a.x", "b.x"}, table.UsualPath("a.x", "read"))
	table.Observe("rare.x", "1", admission.MinRank, at(0))
	table.Observe("c.x", "1", admission.MinRank, at(0))
	require.Equal(t, Verdict{}, table.Check(newRequest(5, 0), at(0), rng))
	table.Observe("b.x", "1", admission.MinRank, at(0))
	require.Equal(t, Verdict{Refuse: true, Service: "b.x", Level: admission.MinRank}, table.Check(newRequest(5, 0), at(0), rng))
	for range 60 {
		table.Learn("a.x", "read", []string{"a.x"})
	}
	require.Equal(t, []string{"a.x"}, table.UsualPath("a.x", "read"))
	require.False(t, table.Check(newRequest(5, 0), at(0), rng).Refuse)
}

// Guards against a chain that the entry node refuses although the downstream
// service would admit it as one that was admitted upstream, and against hops that
// treat the same chain differently.
func TestChainIsTreatedAlikeAtEveryHop(t *testing.T) {
	table, rng := NewTable(Config{}), generator()
	table.Learn("a.x", "read", []string{"a.x", "b.x"})
	for i := range 500 {
		id := fmt.Sprint("chain-", i)
		r := newRequest(5, admission.ChainLevel(id))
		level := admission.MakeRank(5, true, 64)
		table.Observe("b.x", "1", level, at(0))
		fromEntry := table.Check(r, at(0), rng).Refuse
		hop := admission.MakeRank(5, true, admission.ChainLevel(id))
		require.Equal(t, hop.RefusedAt(level), fromEntry)
		require.Equal(t, hop, admission.MakeRank(5, true, admission.ChainLevel(id)))
	}
}

// Guards against memory that grows without bound with targets, paths or services.
func TestBoundsOfTheTable(t *testing.T) {
	table, rng := NewTable(Config{MaxTargets: 3, MaxPaths: 2}), generator()
	for i := range 5 {
		table.Observe(fmt.Sprint(i, ".x"), "1", admission.MinRank, at(0))
	}
	require.NotZero(t, table.Level("2.x", at(0)))
	require.Zero(t, table.Level("3.x", at(0)), "full of levels that are recent")
	table.Observe("3.x", "1", admission.MinRank, at(1500))
	require.NotZero(t, table.Level("3.x", at(1500)), "the others have expired")
	require.Len(t, table.services, 1)

	var many []string
	for i := range 3 * maxPathServices {
		many = append(many, fmt.Sprint(i))
	}
	table.Learn("a.x", "read", many)
	require.Len(t, table.UsualPath("a.x", "read"), maxPathServices)
	table.Learn("a.x", "pay", many)
	table.Learn("a.x", "read", nil)
	table.Learn("b.x", "read", many)
	require.Empty(t, table.UsualPath("a.x", "pay"), "learned the longest ago")
	require.Len(t, table.paths, 2)
	require.False(t, table.Check(newRequest(1, 1), at(1500), rng).Refuse)
}
