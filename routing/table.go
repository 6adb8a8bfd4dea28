package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Table holds one node's view of the targets of one service. It is not safe
// for concurrent use.
type Table struct {
	options Options
	node    uint64
	byID    map[TargetID]*target
	// ranking holds all targets by falling rendezvous weight for this node.
	ranking []*target

	// meanOthers is the mean utilization by other nodes in recent reports,
	// meanAhead the part of it up to each importance, and meanLatency the mean
	// response time in seconds.
	meanOthers  float64
	meanAhead   [importances]float64
	meanLatency float64
	// meanImportance is the mean importance of recent calls.
	meanImportance float64

	// The subset in use: the targets in the node's own failure domain, the
	// others, and the ejected targets to probe.
	local, remote, probed []*target
	subsetDomain          string
	subsetSize            int
	stale                 bool
	// reopenAt is when the first local exclusion ends; zero means none.
	reopenAt time.Time

	scratch []*target
	// classes holds the mean response time by class of call, over all targets.
	classes map[string]*classTime
	// ownTimes holds the same of the targets' own times. relative reports that the
	// latencies of targets are relative to it, 1 s standing for the mean.
	ownTimes map[string]*classTime
	relative bool
	// fastLocal and fastRemote are the parts of the subset for the latest call.
	fastLocal, fastRemote []*target
}

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	o.applyDefaults()
	return &Table{options: o, node: hashString(o.Node), byID: map[TargetID]*target{}, classes: map[string]*classTime{}, ownTimes: map[string]*classTime{}, stale: true}
}

// Update adds a target or changes what the membership says about it.
func (t *Table) Update(now time.Time, m Member) {
	g := t.byID[m.ID]
	if g == nil {
		h := hashString(string(m.ID))
		g = &target{member: m, hash: h, rank: combine(h, t.node), classes: map[string]*classTime{}}
		t.byID[m.ID] = g
		at, _ := slices.BinarySearchFunc(t.ranking, g, byRank)
		t.ranking = slices.Insert(t.ranking, at, g)
		t.stale = true
		return
	}
	if g.member.State != m.State {
		// News of the target's own state replaces what calls said about it.
		g.closedUntil = time.Time{}
		if m.State == Ready {
			t.restore(g, now)
			g.failures, g.backoff = 0, 0
		}
	}
	if g.member != m {
		g.member = m
		t.stale = true
		t.enforceCap(now)
	}
}

// Remove forgets a target, such as one that has left. Calls to it that are
// still in flight may be ended with Done; that has no effect.
func (t *Table) Remove(now time.Time, id TargetID) {
	g := t.byID[id]
	if g == nil {
		return
	}
	delete(t.byID, id)
	t.ranking = slices.DeleteFunc(t.ranking, func(x *target) bool { return x == g })
	t.stale = true
	t.enforceCap(now)
}

// Start is StartClass for the most important class.
func (t *Table) Start(now time.Time, id TargetID) { t.StartClass(now, id, 0) }

// StartClass records that a call of the given importance to a target begins.
// It is followed by one Done with the same importance in the result.
func (t *Table) StartClass(now time.Time, id TargetID, importance int) {
	g := t.byID[id]
	if g == nil {
		return
	}
	if g.own == 0 {
		g.quietSince, g.unanswered = now, 0
	}
	g.own++
	g.ownBy[clamp(importance)]++
	t.meanImportance += meanWeight * (float64(importance) - t.meanImportance)
	g.unanswered++
}

// clamp returns the nearest importance in range.
func clamp(importance int) int { return min(max(importance, 0), importances-1) }

// Done records the end of a call to a target.
func (t *Table) Done(now time.Time, id TargetID, r Result) {
	g := t.byID[id]
	if g == nil {
		return
	}
	g.own = max(0, g.own-1)
	i := clamp(r.Importance)
	g.ownBy[i] = max(0, g.ownBy[i]-1)
	if r.Load != nil {
		t.learn(g, now, *r.Load)
	}
	if r.responded() {
		g.quietSince, g.unanswered = now, 0
	}
	v := judge(&r)
	if r.Kind == kind.DeadlineExpired {
		t.learnUnanswered(g, now, r.Class, r.Latency)
	}
	if !t.relative && g.load.ServiceTime == 0 && (r.Kind == kind.DeadlineExpired && v == failure || r.Kind == kind.Canceled) {
		// The response would have taken longer than this.
		t.learnAtLeast(g, now, r.Latency)
	}
	if r.Kind == kind.DeadlineExpired && v == failure && g.quietSince.After(now.Add(-r.Latency)) && !t.isOutlier(g) {
		// Something came back since the call began, and the target is not much
		// slower than the others: ejecting it would move its load to targets
		// that are slow as well.
		v = refusal
	}
	switch v {
	case success:
		g.failures = 0
		t.learnClass(g, now, r.Class, r.Latency)
		switch {
		case r.Class != "" && r.OwnTime > 0:
			t.learnOwnTime(g, now, r.Class, r.OwnTime)
		case !t.relative && (r.Load == nil || r.Load.ServiceTime == 0):
			t.learnLatency(g, now, r.Latency)
		}
		// A response to a call from before the ejection proves only that a
		// silent target is not silent any more.
		if g.ejected && (g.silent || !now.Add(-r.Latency).Before(g.ejectedAt)) {
			t.restore(g, now)
		}
	case refusal:
		g.failures = 0
		g.learnRefusal(now, r.Importance)
		if g.ejected && g.silent {
			t.restore(g, now)
		}
	case failure:
		g.failures++
		if g.failures >= t.options.EjectAfter {
			t.eject(g, now, !r.responded())
		}
	case closedDraining:
		t.closeUntil(g, now.Add(drainingClosed))
	case closedStarting:
		t.closeUntil(g, now.Add(startingClosed))
	}
}

// Report records a load that arrived by another way than a response.
func (t *Table) Report(now time.Time, id TargetID, load Load) {
	if g := t.byID[id]; g != nil {
		t.learn(g, now, load)
	}
}

func (t *Table) learn(g *target, now time.Time, load Load) {
	t.learnLoad(g, now, load)
	if load.Draining {
		t.closeUntil(g, now.Add(drainingClosed))
	}
}

// Suspend keeps calls from a target for a time, unless no other one may get
// work.
func (t *Table) Suspend(now time.Time, id TargetID, until time.Time) {
	g := t.byID[id]
	if g != nil && (!g.open(now) || t.Usable(now) > 1) {
		t.closeUntil(g, until)
	}
}

func (t *Table) closeUntil(g *target, until time.Time) {
	g.close(until)
	t.stale = true
}

// Usable returns the number of targets that may get new work.
func (t *Table) Usable(now time.Time) int {
	n := 0
	for _, g := range t.ranking {
		if g.open(now) && !g.ejected {
			n++
		}
	}
	return n
}

// Snapshot returns the view of every target, ordered by ID, for a state dump.
func (t *Table) Snapshot(now time.Time) []TargetStatus {
	all := make([]TargetStatus, 0, len(t.ranking))
	for _, g := range t.ranking {
		s := TargetStatus{
			ID: g.member.ID, FailureDomain: g.member.FailureDomain, State: g.member.State,
			Own: g.own, Load: g.load, Latency: time.Duration(g.latency * float64(time.Second)),
			Cost: t.cost(g, now, importances-1), Failures: g.failures, Ejected: g.ejected,
			InSubset: slices.Contains(t.local, g) || slices.Contains(t.remote, g),
		}
		if !g.loadAt.IsZero() {
			s.LoadAge = now.Sub(g.loadAt)
		}
		if g.ejected {
			s.NextProbe = max(0, g.nextProbe.Sub(now))
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b TargetStatus) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
