package routing

import (
	"cmp"
	"slices"
	"time"
)

// byWeight orders targets by descending rendezvous weight; the ID breaks ties.
func byWeight(a, b *target) int {
	if c := cmp.Compare(b.weight, a.weight); c != 0 {
		return c
	}
	return cmp.Compare(a.member.ID, b.member.ID)
}

// refreshSubset rebuilds the subset after a change of membership, ejections or
// parameters, or when a local exclusion has ended.
func (t *Table) refreshSubset(now time.Time, domain string, size int) {
	if !t.subsetStale && t.subsetDomain == domain && t.subsetSize == size && (t.exclusionEnd.IsZero() || now.Before(t.exclusionEnd)) {
		return
	}
	t.subsetStale, t.subsetDomain, t.subsetSize, t.exclusionEnd = false, domain, size, time.Time{}
	t.local, t.remote, t.probeCandidates = t.local[:0], t.remote[:0], t.probeCandidates[:0]
	// Half of the subset is taken from the node's own failure domain, so that there
	// are local targets to prefer. Adding or removing one member still changes the
	// subset by at most one member.
	if domain != "" {
		t.collect(now, (size+1)/2, true)
	}
	t.collect(now, size-len(t.local), false)
}

// collect appends the first n usable targets of the ranking to the subset. Ejected
// targets that it skips are probed, because they would otherwise be in the subset.
func (t *Table) collect(now time.Time, n int, localOnly bool) {
	for _, tgt := range t.ranking {
		if n <= 0 {
			return
		}
		isLocal := tgt.member.FailureDomain == t.subsetDomain
		switch {
		case localOnly && !isLocal, !tgt.mayGetCalls():
		case !tgt.available(now):
			if t.exclusionEnd.IsZero() || tgt.excludedUntil.Before(t.exclusionEnd) {
				t.exclusionEnd = tgt.excludedUntil
			}
		case tgt.ejected:
			if !slices.Contains(t.probeCandidates, tgt) {
				t.probeCandidates = append(t.probeCandidates, tgt)
			}
		case !isLocal:
			t.remote = append(t.remote, tgt)
			n--
		case !slices.Contains(t.local, tgt):
			t.local = append(t.local, tgt)
			n--
		}
	}
}
