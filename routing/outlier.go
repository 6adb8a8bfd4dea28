package routing

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

const (
	// silentCalls is the least number of calls without any response that makes
	// a target silent; a single long call does not.
	silentCalls = 3
	// silentLatencies is the number of average response times without any
	// response that makes a target silent.
	silentLatencies = 4
	// backoffMemory is the number of back-offs after which an earlier ejection
	// is forgotten.
	backoffMemory = 10
	// drainingClosed is the time by which the membership has spread a drain.
	drainingClosed = 3 * time.Second
	// startingClosed delays the next attempt at a target that is not ready
	// although the membership says so.
	startingClosed = time.Second
)

// verdict is what one result says about the target.
type verdict uint8

const (
	neutral verdict = iota
	success
	refusal
	failure
	closedDraining
	closedStarting
)

// judge maps a result to a verdict. A deadline that expired counts as a refusal
// when the target's node reported it, and as a failure when nothing came back.
func judge(r *Result) verdict {
	switch r.Kind {
	case "":
		if r.Status >= 500 {
			return failure
		}
		return success
	case kind.Shed, kind.QueueTimeout, kind.TargetRefused:
		return refusal
	case kind.DeadlineExpired:
		if r.responded() {
			return refusal
		}
		return failure
	case kind.DialFailed, kind.PeerLost, kind.AnswerTruncated, kind.AnswerMismatched, kind.AnswerLate:
		return failure
	case kind.Draining:
		return closedDraining
	case kind.Starting, kind.TargetCrashed:
		return closedStarting
	}
	return neutral
}

// isSilent reports whether calls are in flight and no response of any kind has
// arrived for too long.
func (t *Table) isSilent(g *target, now time.Time) bool {
	if g.own < silentCalls || g.unanswered < silentCalls {
		return false
	}
	patience := max(t.options.Silence, time.Duration(silentLatencies*g.latency*float64(time.Second)))
	return now.Sub(g.quietSince) > patience
}

func (t *Table) ejectSilent(now time.Time, from []*target) {
	for _, g := range from {
		if t.isSilent(g, now) {
			t.eject(g, now, true)
		}
	}
}

// eject takes a target out of selection unless half of the ready targets are
// ejected already. It reports whether the target is ejected.
func (t *Table) eject(g *target, now time.Time, silent bool) bool {
	if g.ejected {
		return true
	}
	if 2*(t.ejectedReady()+1) > t.ready() || g.member.State != Ready {
		return false
	}
	if g.backoff == 0 || now.Sub(g.restoredAt) > backoffMemory*g.backoff {
		g.backoff = t.options.ProbeMin
	} else {
		g.backoff = min(2*g.backoff, t.options.ProbeMax)
	}
	g.ejected, g.silent, g.ejectedAt = true, silent, now
	g.nextProbe = now.Add(t.jittered(g))
	t.stale = true
	return true
}

func (t *Table) restore(g *target, now time.Time) {
	if !g.ejected {
		return
	}
	g.ejected, g.failures, g.restoredAt = false, 0, now
	g.unanswered, g.quietSince = 0, now
	// The restored target looks idle; the penalty keeps it from being flooded.
	g.learnRefusal(now, 0)
	t.stale = true
}

// enforceCap restores the longest ejected targets after the number of ready
// targets has fallen.
func (t *Table) enforceCap(now time.Time) {
	for 2*t.ejectedReady() > t.ready() {
		var first *target
		for _, g := range t.ranking {
			if g.ejected && g.member.State == Ready && (first == nil || g.ejectedAt.Before(first.ejectedAt)) {
				first = g
			}
		}
		t.restore(first, now)
	}
}

func (t *Table) ready() int {
	n := 0
	for _, g := range t.ranking {
		if g.member.State == Ready {
			n++
		}
	}
	return n
}

func (t *Table) ejectedReady() int {
	n := 0
	for _, g := range t.ranking {
		if g.ejected && g.member.State == Ready {
			n++
		}
	}
	return n
}

// jittered returns the back-off of a target, reduced by up to a quarter. The
// reduction follows from the node and the target, so that nodes that eject a
// target together do not probe it together.
func (t *Table) jittered(g *target) time.Duration {
	return g.backoff - g.backoff*time.Duration(g.rank%256)/1024
}

// probe returns an ejected target whose back-off has passed, or nil. The next
// probe is due after twice the back-off unless this one succeeds.
func (t *Table) probe(now time.Time, in *PickInput) *target {
	for _, g := range t.probed {
		if now.Before(g.nextProbe) || !g.open(now) || in.excludes(g) {
			continue
		}
		// A probe that fails costs its request: for one back-off, wait for a
		// request that is not more important than most.
		if float64(in.Importance) < t.meanImportance && now.Before(g.nextProbe.Add(g.backoff)) {
			continue
		}
		g.backoff = min(2*g.backoff, t.options.ProbeMax)
		g.nextProbe = now.Add(t.jittered(g))
		return g
	}
	return nil
}
