package limit

import "time"

// Sample describes one request that ended at the target.
type Sample struct {
	// Latency is the target's own latency: the time in which no sub-call was
	// outstanding.
	Latency time.Duration
	// Total is the time from the start of the request at the target to its end;
	// 0 means that it equals Latency.
	Total time.Duration
	// InFlight is the number of requests at the target when this one ended,
	// including this one.
	InFlight int
	// TimedOut reports whether no response arrived within the deadline. Latency is
	// then a lower bound.
	TimedOut bool
	// Refused reports whether the target itself refused the request as overloaded
	// (429 or 503).
	Refused bool
}
