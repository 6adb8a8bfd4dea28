package routing

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Result is the outcome of one call, as the calling node saw it.
type Result struct {
	// Latency is the time from Start to the response, or to the time at which
	// the caller gave up. Only the latency of responses of the target itself
	// enters the average.
	Latency time.Duration
	// Class is that of the PickInput, if the latency says how fast the target is:
	// that of a response, or the time after which there was none.
	Class string
	// OwnTime is the time that the target took for the call itself, without its
	// queue and its sub-calls, or 0. Targets are then compared by the times of
	// calls of the same class, and the service times of their loads, which depend
	// on what they happened to get, are not.
	OwnTime time.Duration
	// Importance is that of the call, as given to StartClass.
	Importance int
	// Load is the load reported with the response, or nil when no response
	// arrived or it reported none.
	Load *Load
	// Responded says that the target's node responded. It is implied by a load
	// and by an empty kind.
	Responded bool
	// Kind is empty when the target itself answered, otherwise the reason why
	// it did not.
	Kind kind.Kind
	// Status is the HTTP status of the target's own response. Statuses from 500
	// count as failures of the target.
	Status int
}

func (r *Result) responded() bool { return r.Responded || r.Load != nil || r.Kind == "" }
