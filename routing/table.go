package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Table holds the targets of one service as seen by one node. It is not safe for
// concurrent use.
type Table struct {
	options Options
	node    uint64
	byID    map[TargetID]*target
	// ranking holds all targets in descending order of rendezvous weight for this
	// node.
	ranking []*target

	// meanOtherUtilization is the moving average of the utilization by other nodes
	// over the reports of all targets, meanAheadUtilization the part of it that is of
	// at least each importance, and meanLatency the mean response time in seconds.
	meanOtherUtilization float64
	meanAheadUtilization [importanceLevels]float64
	meanLatency          float64
	// meanImportance is the moving average of the importance of calls.
	meanImportance float64

	// The subset in use: the targets in the node's own failure domain, the
	// others, and the ejected targets to probe.
	local, remote, probeCandidates []*target
	subsetDomain                   string
	subsetSize                     int
	subsetStale                    bool
	// exclusionEnd is when the next local exclusion ends; zero means that there is
	// none.
	exclusionEnd time.Time

	scratch []*target
	// classLatencies holds the mean response time of each class over all targets.
	classLatencies map[string]*movingAverage
	// classOwnTimes holds the mean of the targets' own processing times of each
	// class. If relativeLatencies is set, the latencies of targets are relative to
	// these means, and 1 s represents the mean.
	classOwnTimes     map[string]*movingAverage
	relativeLatencies bool
	// fastLocal and fastRemote are buffers for the targets of the subset that are
	// fast enough for the current call.
	fastLocal, fastRemote []*target
}

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	o.applyDefaults()
	return &Table{options: o, node: hashString(o.Node), byID: map[TargetID]*target{}, classLatencies: map[string]*movingAverage{}, classOwnTimes: map[string]*movingAverage{}, subsetStale: true}
}

// Update adds a target or updates its membership data.
func (t *Table) Update(now time.Time, m Member) {
	tgt := t.byID[m.ID]
	if tgt == nil {
		h := hashString(string(m.ID))
		tgt = &target{member: m, hash: h, weight: rendezvousWeight(h, t.node), classLatencies: map[string]*movingAverage{}, assumeReady: t.options.AssumeReadyAfter > 0}
		t.awaitReadiness(tgt, now)
		t.byID[m.ID] = tgt
		at, _ := slices.BinarySearchFunc(t.ranking, tgt, byWeight)
		t.ranking = slices.Insert(t.ranking, at, tgt)
		t.subsetStale = true
		return
	}
	if tgt.member.State != m.State {
		// A state change reported by the target supersedes what was inferred from
		// calls.
		tgt.excludedUntil, tgt.notReadyBackoff = time.Time{}, 0
		if m.State == Ready {
			t.restore(tgt, now)
			tgt.failures, tgt.backoff = 0, 0
		}
	}
	if tgt.member != m {
		changed := tgt.member.State != m.State
		tgt.member = m
		if changed {
			t.awaitReadiness(tgt, now)
		}
		t.subsetStale = true
		t.enforceEjectionLimit(now)
	}
}

// awaitReadiness excludes a target that is known as starting for AssumeReadyAfter.
func (t *Table) awaitReadiness(tgt *target, now time.Time) {
	if tgt.member.State == Starting {
		tgt.extendExclusion(now.Add(t.options.AssumeReadyAfter))
	}
}

// Remove removes a target, for example after it has left the cluster. Calling Done
// for calls to it that are still in flight has no effect.
func (t *Table) Remove(now time.Time, id TargetID) {
	tgt := t.byID[id]
	if tgt == nil {
		return
	}
	delete(t.byID, id)
	t.ranking = slices.DeleteFunc(t.ranking, func(x *target) bool { return x == tgt })
	t.subsetStale = true
	t.enforceEjectionLimit(now)
}

// Start is StartWithImportance for the highest importance.
func (t *Table) Start(now time.Time, id TargetID) { t.StartWithImportance(now, id, 0) }

// StartWithImportance records the start of a call of the given importance to a
// target. The caller ends it with one Done with the same importance in the result.
func (t *Table) StartWithImportance(now time.Time, id TargetID, importance int) {
	tgt := t.byID[id]
	if tgt == nil {
		return
	}
	if tgt.inFlight == 0 {
		tgt.silentSince, tgt.callsSinceResponse = now, 0
	}
	tgt.inFlight++
	tgt.inFlightByImportance[clampImportance(importance)]++
	t.meanImportance += meanWeight * (float64(importance) - t.meanImportance)
	tgt.callsSinceResponse++
}

// clampImportance limits an importance to the valid range.
func clampImportance(importance int) int { return min(max(importance, 0), importanceLevels-1) }

// Done records the end of a call to a target.
func (t *Table) Done(now time.Time, id TargetID, r Result) {
	tgt := t.byID[id]
	if tgt == nil {
		return
	}
	tgt.inFlight = max(0, tgt.inFlight-1)
	i := clampImportance(r.Importance)
	tgt.inFlightByImportance[i] = max(0, tgt.inFlightByImportance[i]-1)
	if r.Load != nil {
		t.applyLoad(tgt, now, *r.Load)
	}
	if r.responded() {
		tgt.silentSince, tgt.callsSinceResponse = now, 0
	}
	v := classifyResult(&r)
	if r.Kind == kind.DeadlineExpired {
		t.recordTimeout(tgt, now, r.Class, r.Latency)
	}
	if !t.relativeLatencies && tgt.load.ServiceTime == 0 && (r.Kind == kind.DeadlineExpired && v == failure || r.Kind == kind.Canceled) {
		// The elapsed time is a lower bound of the response time.
		t.recordMinLatency(tgt, now, r.Latency)
	}
	if r.Kind == kind.DeadlineExpired && v == failure && tgt.silentSince.After(now.Add(-r.Latency)) && !t.isOutlier(tgt) {
		// The target has responded to other calls since this one began and is not
		// much slower than the mean. Ejecting it would move its load to targets that
		// are just as slow.
		v = refusal
	}
	switch v {
	case success:
		tgt.failures, tgt.notReadyBackoff = 0, 0
		t.recordClassLatency(tgt, now, r.Class, r.Latency)
		switch {
		case r.Class != "" && r.OwnTime > 0:
			t.recordOwnTime(tgt, now, r.Class, r.OwnTime)
		case !t.relativeLatencies && (r.Load == nil || r.Load.ServiceTime == 0):
			t.recordLatency(tgt, now, r.Latency)
		}
		// A response to a call that started before the ejection only shows that an
		// unresponsive target responds again.
		if tgt.ejected && (tgt.silent || !now.Add(-r.Latency).Before(tgt.ejectedAt)) {
			t.restore(tgt, now)
		}
	case refusal:
		tgt.failures = 0
		tgt.recordRefusal(now, r.Importance)
		if tgt.ejected && tgt.silent {
			t.restore(tgt, now)
		}
	case failure:
		tgt.failures++
		if tgt.failures >= t.options.EjectAfter {
			t.eject(tgt, now, !r.responded())
		}
	case targetDraining:
		t.excludeUntil(tgt, now.Add(drainingExclusion))
	case targetNotReady:
		t.excludeNotReady(tgt, now)
	}
}

// Report records a load report that did not arrive with a response.
func (t *Table) Report(now time.Time, id TargetID, load Load) {
	if tgt := t.byID[id]; tgt != nil {
		t.applyLoad(tgt, now, load)
	}
}

func (t *Table) applyLoad(tgt *target, now time.Time, load Load) {
	t.recordLoad(tgt, now, load)
	if load.Draining {
		t.excludeUntil(tgt, now.Add(drainingExclusion))
	}
}

// Suspend excludes a target from selection until the given time, unless it is the
// only usable one.
func (t *Table) Suspend(now time.Time, id TargetID, until time.Time) {
	tgt := t.byID[id]
	if tgt != nil && (!tgt.available(now) || t.Usable(now) > 1) {
		t.excludeUntil(tgt, until)
	}
}

func (t *Table) excludeUntil(tgt *target, until time.Time) {
	tgt.extendExclusion(until)
	t.subsetStale = true
}

// excludeNotReady excludes a target that refused a call because it is not ready. If
// the membership agrees, the exclusion doubles with each refusal.
func (t *Table) excludeNotReady(tgt *target, now time.Time) {
	if tgt.member.State == Starting {
		tgt.notReadyBackoff = min(max(2*tgt.notReadyBackoff, startingExclusion), maxStartingExclusion)
		t.excludeUntil(tgt, now.Add(tgt.notReadyBackoff))
		return
	}
	t.excludeUntil(tgt, now.Add(startingExclusion))
}

// Usable returns the number of targets that may get new calls.
func (t *Table) Usable(now time.Time) int {
	n := 0
	for _, tgt := range t.ranking {
		if tgt.available(now) && !tgt.ejected {
			n++
		}
	}
	return n
}

// Snapshot returns the status of every target, ordered by ID, for a state dump.
func (t *Table) Snapshot(now time.Time) []TargetStatus {
	all := make([]TargetStatus, 0, len(t.ranking))
	for _, tgt := range t.ranking {
		s := TargetStatus{
			ID: tgt.member.ID, FailureDomain: tgt.member.FailureDomain, State: tgt.member.State,
			Own: tgt.inFlight, Load: tgt.load, Latency: time.Duration(tgt.latency * float64(time.Second)),
			Cost: t.cost(tgt, now, importanceLevels-1), Failures: tgt.failures, Ejected: tgt.ejected,
			InSubset: slices.Contains(t.local, tgt) || slices.Contains(t.remote, tgt),
		}
		if !tgt.loadAt.IsZero() {
			s.LoadAge = now.Sub(tgt.loadAt)
		}
		if tgt.ejected {
			s.NextProbe = max(0, tgt.nextProbe.Sub(now))
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b TargetStatus) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
