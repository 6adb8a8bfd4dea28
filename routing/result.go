package routing

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Result is the outcome of one call as observed by the calling node.
type Result struct {
	// Latency is the time from Start to the response, or until the caller stopped
	// waiting. Responses of the target itself enter the average; a call without a
	// response only gives a lower bound.
	Latency time.Duration
	// Class is the Class of the PickInput if Latency is a measure of the target's
	// speed, that is, the time to a response or to a timeout; otherwise empty.
	Class string
	// OwnTime is the processing time of the call at the target, without queueing and
	// sub-calls, or 0 if unknown. If it is known, targets are compared by the
	// processing times of calls of the same class and not by the service times in
	// load reports, which depend on the mix of calls that each target received.
	OwnTime time.Duration
	// Importance is the importance of the call, as given to StartWithImportance.
	Importance int
	// Load is the load reported with the response, or nil if there was no response
	// or no report in it.
	Load *Load
	// Responded reports that the target's node responded. A load or an empty kind
	// implies it.
	Responded bool
	// Kind is empty if the target itself responded, otherwise the reason why it did
	// not.
	Kind kind.Kind
	// Status is the HTTP status code of the target's own response. Codes of 500 and
	// above count as failures of the target.
	Status int
}

func (r *Result) responded() bool { return r.Responded || r.Load != nil || r.Kind == "" }
