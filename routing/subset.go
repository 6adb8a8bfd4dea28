package routing

import (
	"cmp"
	"slices"
	"time"
)

// byRank orders targets by falling rendezvous weight; the ID breaks ties.
func byRank(a, b *target) int {
	if c := cmp.Compare(b.rank, a.rank); c != 0 {
		return c
	}
	return cmp.Compare(a.member.ID, b.member.ID)
}

// refreshSubset rebuilds the subset when membership, ejections, the end of a
// local exclusion or the caller's parameters changed it.
func (t *Table) refreshSubset(now time.Time, domain string, size int) {
	if !t.stale && t.subsetDomain == domain && t.subsetSize == size && (t.reopenAt.IsZero() || now.Before(t.reopenAt)) {
		return
	}
	t.stale, t.subsetDomain, t.subsetSize, t.reopenAt = false, domain, size, time.Time{}
	t.local, t.remote, t.probed = t.local[:0], t.remote[:0], t.probed[:0]
	// Half of the subset comes from the node's own failure domain, so that the
	// preference for it has targets to prefer. Each change of one member still
	// changes the subset by one member at most.
	if domain != "" {
		t.collect(now, (size+1)/2, true)
	}
	t.collect(now, size-len(t.local), false)
}

// collect appends the first n usable targets of the ranking to the subset. The
// ejected targets passed on the way are the ones to probe: they would be in
// the subset if they worked.
func (t *Table) collect(now time.Time, n int, localOnly bool) {
	for _, g := range t.ranking {
		if n <= 0 {
			return
		}
		isLocal := g.member.FailureDomain == t.subsetDomain
		switch {
		case localOnly && !isLocal, g.member.State != Ready:
		case !g.open(now):
			if t.reopenAt.IsZero() || g.closedUntil.Before(t.reopenAt) {
				t.reopenAt = g.closedUntil
			}
		case g.ejected:
			if !slices.Contains(t.probed, g) {
				t.probed = append(t.probed, g)
			}
		case !isLocal:
			t.remote = append(t.remote, g)
			n--
		case !slices.Contains(t.local, g):
			t.local = append(t.local, g)
			n--
		}
	}
}
