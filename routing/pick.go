package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

func (in *PickInput) excludes(g *target) bool {
	return len(in.Exclude) > 0 && slices.Contains(in.Exclude, g.member.ID)
}

// Pick chooses a target for one call. The caller calls Start with the target
// once the call begins. The error is a *kind.Error of kind no-target, or for a
// pinned target also draining or starting.
func (t *Table) Pick(rng *rand.Rand, now time.Time, in PickInput) (TargetID, error) {
	if in.Pinned != "" {
		return t.pickPinned(now, &in)
	}
	if in.Designated != 0 {
		return t.pickDesignated(now, &in)
	}
	size := in.Subset
	if size <= 0 {
		size = DefaultSubset
	}
	t.refreshSubset(now, in.FailureDomain, size)
	t.ejectSilent(now, t.local)
	t.ejectSilent(now, t.remote)
	t.refreshSubset(now, in.FailureDomain, size)
	if in.MayProbe && len(t.probed) > 0 {
		if g := t.probe(now, &in); g != nil {
			return g.member.ID, nil
		}
	}
	g := t.choose(rng, now, &in)
	if g == nil {
		g = t.firstOutside(now, &in)
	}
	if g == nil {
		return "", kind.New(kind.NoTarget, "no target of the service may get new work")
	}
	return g.member.ID, nil
}

// choose takes the better of two from the node's own failure domain while that
// target has room and costs little more than the better of two elsewhere.
func (t *Table) choose(rng *rand.Rand, now time.Time, in *PickInput) *target {
	near, far := t.fastEnough(now, in)
	local, localCost := t.betterOfTwo(rng, now, in, near)
	remote, remoteCost := t.betterOfTwo(rng, now, in, far)
	if local == nil || remote == nil {
		if local == nil {
			return remote
		}
		return local
	}
	factor := t.options.SaturatedFactor
	if t.utilization(local, now, in.Importance) < t.options.FullUtilization {
		factor = max(factor, t.options.DomainFactor)
	}
	if localCost <= factor*remoteCost {
		return local
	}
	return remote
}

func (t *Table) betterOfTwo(rng *rand.Rand, now time.Time, in *PickInput, from []*target) (*target, float64) {
	if len(in.Exclude) > 0 {
		t.scratch = t.scratch[:0]
		for _, g := range from {
			if !in.excludes(g) {
				t.scratch = append(t.scratch, g)
			}
		}
		from = t.scratch
	}
	switch len(from) {
	case 0:
		return nil, 0
	case 1:
		return from[0], t.cost(from[0], now, in.Importance)
	}
	i := rng.IntN(len(from))
	j := rng.IntN(len(from) - 1)
	if j >= i {
		j++
	}
	a, b := from[i], from[j]
	costA, costB := t.cost(a, now, in.Importance), t.cost(b, now, in.Importance)
	if costB < costA {
		return b, costB
	}
	return a, costA
}

// firstOutside returns the first usable target of the ranking that has not
// been tried, for a request that has tried the whole subset.
func (t *Table) firstOutside(now time.Time, in *PickInput) *target {
	for _, g := range t.ranking {
		if g.open(now) && !g.ejected && !in.excludes(g) {
			return g
		}
	}
	return nil
}

func (t *Table) pickPinned(now time.Time, in *PickInput) (TargetID, error) {
	g := t.byID[in.Pinned]
	switch {
	case g == nil || g.member.State == Down || in.excludes(g):
		return "", kind.Newf(kind.NoTarget, "pinned target %s is not available", in.Pinned)
	case g.member.State == Draining:
		return "", kind.Newf(kind.Draining, "pinned target %s is draining", in.Pinned)
	case g.member.State == Starting:
		return "", kind.Newf(kind.Starting, "pinned target %s is starting", in.Pinned)
	}
	return in.Pinned, nil
}

// pickDesignated ignores local knowledge except for targets already tried, so
// that all nodes with the same membership agree on the target.
func (t *Table) pickDesignated(now time.Time, in *PickInput) (TargetID, error) {
	var best *target
	var bestWeight uint64
	for _, g := range t.ranking {
		if g.member.State != Ready || in.excludes(g) {
			continue
		}
		w := combine(g.hash, in.Designated)
		if best == nil || w > bestWeight || w == bestWeight && g.member.ID < best.member.ID {
			best, bestWeight = g, w
		}
	}
	if best == nil {
		return "", kind.New(kind.NoTarget, "no target of the service may get new work")
	}
	return best.member.ID, nil
}
