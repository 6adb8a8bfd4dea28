package routing

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/policy"
)

// importanceLevels is the number of importance levels that a policy can specify.
const importanceLevels = policy.MaxImportance + 1

// target holds the state of one target.
type target struct {
	member Member
	hash   uint64
	// weight is the rendezvous weight of the target for this node.
	weight uint64

	// inFlight and inFlightByImportance count this node's calls in flight.
	// inFlightAtReport and inFlightByImportanceAtReport are their values at the time
	// of the last load report.
	inFlight, inFlightAtReport                         int
	inFlightByImportance, inFlightByImportanceAtReport [importanceLevels]int
	load                                               Load
	loadAt                                             time.Time

	latency   float64 // seconds; 0 means no sample
	latencyAt time.Time
	// classLatencies holds the mean response time of each class of calls.
	classLatencies map[string]*movingAverage

	// refusals counts refusals by importance, decaying with refusalHalfLife.
	refusals  [importanceLevels]float64
	refusedAt time.Time

	failures int
	// silentSince is the time of the last response, or of the first call after an
	// idle period.
	silentSince time.Time
	// callsSinceResponse counts the calls started since silentSince.
	callsSinceResponse int

	// excludedUntil is the end of a local exclusion, for a target that is not to get
	// calls although the membership reports it as ready.
	excludedUntil time.Time
	// assumeReady reports that the target may get calls while it is known as starting,
	// notReadyBackoff how long it was last excluded because it was not ready.
	assumeReady     bool
	notReadyBackoff time.Duration

	ejected bool
	// silent reports that the target was ejected for not responding, so that a
	// refusal also ends the ejection.
	silent     bool
	ejectedAt  time.Time
	restoredAt time.Time
	backoff    time.Duration
	nextProbe  time.Time
}

// mayGetCalls reports whether the state of the target allows new calls.
func (tgt *target) mayGetCalls() bool {
	return tgt.member.State == Ready || tgt.member.State == Starting && tgt.assumeReady
}

// available reports whether the target may get new calls, regardless of ejection.
func (tgt *target) available(now time.Time) bool {
	return tgt.mayGetCalls() && !now.Before(tgt.excludedUntil)
}

func (tgt *target) limit() float64 {
	if tgt.load.Limit > 0 {
		return float64(tgt.load.Limit)
	}
	return float64(max(1, tgt.member.Slots))
}

func (tgt *target) extendExclusion(until time.Time) {
	if until.After(tgt.excludedUntil) {
		tgt.excludedUntil = until
	}
}
