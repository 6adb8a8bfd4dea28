package routing

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/policy"
)

// importances is the number of importances that a policy can state.
const importances = policy.MaxImportance + 1

// target is what the table knows about one target.
type target struct {
	member Member
	hash   uint64
	// rank is the rendezvous weight of the target for this node.
	rank uint64

	// own counts this node's calls in flight, in total and by importance;
	// ownAtLoad and ownByAtLoad are the values when the last load arrived.
	own, ownAtLoad     int
	ownBy, ownByAtLoad [importances]int
	load               Load
	loadAt             time.Time

	latency   float64 // seconds; 0 means no sample
	latencyAt time.Time
	// classes holds the mean response time by class of call.
	classes map[string]*classTime

	// refusals counts by importance; each halves every refusalHalfLife.
	refusals  [importances]float64
	refusedAt time.Time

	failures int
	// quietSince is the last response, or the first call after an idle time.
	quietSince time.Time
	// unanswered counts the calls started since quietSince.
	unanswered int

	// closedUntil ends a local exclusion of a target that said that it takes no
	// work although the membership calls it ready.
	closedUntil time.Time

	ejected bool
	// silent says that the ejection is for calls without any response, so that
	// a refusal ends it as well.
	silent     bool
	ejectedAt  time.Time
	restoredAt time.Time
	backoff    time.Duration
	nextProbe  time.Time
}

// open reports whether the target may get new work, apart from ejection.
func (g *target) open(now time.Time) bool {
	return g.member.State == Ready && !now.Before(g.closedUntil)
}

func (g *target) limit() float64 {
	if g.load.Limit > 0 {
		return float64(g.load.Limit)
	}
	return float64(max(1, g.member.Slots))
}

func (g *target) close(until time.Time) {
	if until.After(g.closedUntil) {
		g.closedUntil = until
	}
}
