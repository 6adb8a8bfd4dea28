package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

func (in *PickInput) excludes(tgt *target) bool {
	return len(in.Exclude) > 0 && slices.Contains(in.Exclude, tgt.member.ID)
}

// Pick selects a target for one call. The caller calls Start or
// StartWithImportance with the target when the call begins. The error is a
// *kind.Error of kind no-target, or for a pinned target also draining or starting.
func (t *Table) Pick(rng *rand.Rand, now time.Time, in PickInput) (TargetID, error) {
	if in.Pinned != "" {
		return t.pickPinned(now, &in)
	}
	if in.Designated != 0 {
		return t.pickDesignated(now, &in)
	}
	size := in.SubsetSize
	if size <= 0 {
		size = DefaultSubsetSize
	}
	t.refreshSubset(now, in.FailureDomain, size)
	t.ejectSilent(now, t.local)
	t.ejectSilent(now, t.remote)
	t.refreshSubset(now, in.FailureDomain, size)
	if in.MayProbe && len(t.probeCandidates) > 0 {
		if tgt := t.dueProbe(now, &in); tgt != nil {
			return tgt.member.ID, nil
		}
	}
	tgt := t.choose(rng, now, &in)
	if tgt == nil {
		tgt = t.firstOutsideSubset(now, &in)
	}
	if tgt == nil {
		return "", kind.New(kind.NoTarget, "no target of the service may get new work")
	}
	return tgt.member.ID, nil
}

// choose compares the better of two random targets in the node's own failure
// domain with the better of two remote ones. It prefers the local target unless
// its cost exceeds that of the remote one by more than the applicable factor.
func (t *Table) choose(rng *rand.Rand, now time.Time, in *PickInput) *target {
	locals, remotes := t.targetsWithinTime(now, in)
	local, localCost := t.betterOfTwo(rng, now, in, locals)
	remote, remoteCost := t.betterOfTwo(rng, now, in, remotes)
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
		for _, tgt := range from {
			if !in.excludes(tgt) {
				t.scratch = append(t.scratch, tgt)
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

// firstOutsideSubset returns the highest-ranked usable target that is not excluded.
// It serves requests that have tried every target of the subset.
func (t *Table) firstOutsideSubset(now time.Time, in *PickInput) *target {
	for _, tgt := range t.ranking {
		if tgt.available(now) && !tgt.ejected && !in.excludes(tgt) {
			return tgt
		}
	}
	return nil
}

func (t *Table) pickPinned(now time.Time, in *PickInput) (TargetID, error) {
	tgt := t.byID[in.Pinned]
	switch {
	case tgt == nil || tgt.member.State == Down || in.excludes(tgt):
		return "", kind.Newf(kind.NoTarget, "pinned target %s is not available", in.Pinned)
	case tgt.member.State == Draining:
		return "", kind.Newf(kind.Draining, "pinned target %s is draining", in.Pinned)
	case !tgt.mayGetCalls():
		return "", kind.Newf(kind.Starting, "pinned target %s is starting", in.Pinned)
	}
	return in.Pinned, nil
}

// pickDesignated ignores all local state except the excluded targets, so that all
// nodes with the same membership select the same target.
func (t *Table) pickDesignated(now time.Time, in *PickInput) (TargetID, error) {
	var best *target
	var bestWeight uint64
	for _, tgt := range t.ranking {
		if tgt.member.State != Ready || in.excludes(tgt) {
			continue
		}
		w := rendezvousWeight(tgt.hash, in.Designated)
		if best == nil || w > bestWeight || w == bestWeight && tgt.member.ID < best.member.ID {
			best, bestWeight = tgt, w
		}
	}
	if best == nil {
		return "", kind.New(kind.NoTarget, "no target of the service may get new work")
	}
	return best.member.ID, nil
}
