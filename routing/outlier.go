package routing

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

const (
	// minSilentCalls is the minimum number of calls without any response for a
	// target to count as unresponsive; a single long call is not enough.
	minSilentCalls = 3
	// silenceLatencyFactor is the number of mean response times without any response
	// after which a target counts as unresponsive.
	silenceLatencyFactor = 4
	// backoffResetFactor is the number of back-offs after a restoration until the
	// back-off of the next ejection starts at its minimum again.
	backoffResetFactor = 10
	// drainingExclusion is the time for the membership to propagate a drain.
	drainingExclusion = 3 * time.Second
	// startingExclusion delays the next attempt at a target that is not ready
	// although the membership reports it as ready.
	startingExclusion = time.Second
	// maxStartingExclusion bounds the exclusion of a target that is known as starting
	// and has refused several calls.
	maxStartingExclusion = 8 * time.Second
)

// callOutcome classifies the result of a call by its effect on the target's
// health.
type callOutcome uint8

const (
	neutral callOutcome = iota
	success
	refusal
	failure
	targetDraining
	targetNotReady
)

// classifyResult maps a result to a callOutcome. An expired deadline counts as a
// refusal if the target's node reported it, and as a failure if there was no
// response.
func classifyResult(r *Result) callOutcome {
	switch r.Kind {
	case "":
		if r.Status >= 500 {
			return failure
		}
		return success
	case kind.Shed, kind.QueueTimeout, kind.RateLimited, kind.TargetRefused:
		return refusal
	case kind.DeadlineExpired:
		if r.responded() {
			return refusal
		}
		return failure
	case kind.DialFailed, kind.PeerLost, kind.AnswerTruncated, kind.AnswerTooLarge, kind.AnswerMismatched, kind.AnswerLate:
		return failure
	case kind.Draining:
		return targetDraining
	case kind.Starting, kind.TargetCrashed:
		return targetNotReady
	}
	return neutral
}

// isSilent reports whether calls are in flight and the target has been
// unresponsive for longer than the timeout.
func (t *Table) isSilent(tgt *target, now time.Time) bool {
	if tgt.inFlight < minSilentCalls || tgt.callsSinceResponse < minSilentCalls {
		return false
	}
	timeout := max(t.options.SilenceTimeout, time.Duration(silenceLatencyFactor*tgt.latency*float64(time.Second)))
	return now.Sub(tgt.silentSince) > timeout
}

func (t *Table) ejectSilent(now time.Time, from []*target) {
	for _, tgt := range from {
		if t.isSilent(tgt, now) {
			t.eject(tgt, now, true)
		}
	}
}

// eject removes a target from selection unless more than half of the ready targets
// would then be ejected. It reports whether the target is ejected.
func (t *Table) eject(tgt *target, now time.Time, silent bool) bool {
	if tgt.ejected {
		return true
	}
	if 2*(t.ejectedReadyCount()+1) > t.readyCount() || !tgt.mayGetCalls() {
		return false
	}
	if tgt.backoff == 0 || now.Sub(tgt.restoredAt) > backoffResetFactor*tgt.backoff {
		tgt.backoff = t.options.MinProbeBackoff
	} else {
		tgt.backoff = min(2*tgt.backoff, t.options.MaxProbeBackoff)
	}
	tgt.ejected, tgt.silent, tgt.ejectedAt = true, silent, now
	tgt.nextProbe = now.Add(t.jitteredBackoff(tgt))
	t.subsetStale = true
	return true
}

func (t *Table) restore(tgt *target, now time.Time) {
	if !tgt.ejected {
		return
	}
	tgt.ejected, tgt.failures, tgt.restoredAt = false, 0, now
	tgt.callsSinceResponse, tgt.silentSince = 0, now
	// The restored target appears idle; the penalty prevents a burst of calls to it.
	tgt.recordRefusal(now, 0)
	t.subsetStale = true
}

// enforceEjectionLimit restores the targets that were ejected first when more than
// half of the ready targets are ejected because the number of ready targets fell.
func (t *Table) enforceEjectionLimit(now time.Time) {
	for 2*t.ejectedReadyCount() > t.readyCount() {
		var oldest *target
		for _, tgt := range t.ranking {
			if tgt.ejected && tgt.mayGetCalls() && (oldest == nil || tgt.ejectedAt.Before(oldest.ejectedAt)) {
				oldest = tgt
			}
		}
		t.restore(oldest, now)
	}
}

func (t *Table) readyCount() int {
	n := 0
	for _, tgt := range t.ranking {
		if tgt.mayGetCalls() {
			n++
		}
	}
	return n
}

func (t *Table) ejectedReadyCount() int {
	n := 0
	for _, tgt := range t.ranking {
		if tgt.ejected && tgt.mayGetCalls() {
			n++
		}
	}
	return n
}

// jitteredBackoff returns the back-off of a target, reduced by up to a quarter. The
// reduction is derived from the node and the target, so that nodes that eject a
// target at the same time probe it at different times.
func (t *Table) jitteredBackoff(tgt *target) time.Duration {
	return tgt.backoff - tgt.backoff*time.Duration(tgt.weight%256)/1024
}

// dueProbe returns an ejected target whose back-off has elapsed, or nil. The next
// probe is due after twice the back-off unless this one succeeds.
func (t *Table) dueProbe(now time.Time, in *PickInput) *target {
	for _, tgt := range t.probeCandidates {
		if now.Before(tgt.nextProbe) || !tgt.available(now) || in.excludes(tgt) {
			continue
		}
		// A failed probe fails its request. For one back-off, wait for a request
		// that is not more important than the mean.
		if float64(in.Importance) < t.meanImportance && now.Before(tgt.nextProbe.Add(tgt.backoff)) {
			continue
		}
		tgt.backoff = min(2*tgt.backoff, t.options.MaxProbeBackoff)
		tgt.nextProbe = now.Add(t.jitteredBackoff(tgt))
		return tgt
	}
	return nil
}
