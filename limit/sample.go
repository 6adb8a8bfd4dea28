package limit

import "time"

// Sample is one request that ended at the target.
type Sample struct {
	// Latency is the target's own time, without the time in which a sub-call was
	// outstanding.
	Latency time.Duration
	// Total is the time from the start of the request at the target to its end;
	// 0 means that it equals Latency.
	Total time.Duration
	// InFlight is the number of requests at the target when this one ended,
	// itself included.
	InFlight int
	// TimedOut reports that no response arrived within the deadline. Latency is
	// then a lower bound.
	TimedOut bool
	// Refused reports that the target itself refused the request as overloaded
	// (429 or 503).
	Refused bool
}
