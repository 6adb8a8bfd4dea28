package routing

import "time"

// Load is the load report that a target's node sends with each response.
type Load struct {
	// InFlight is the number of requests that the target is serving.
	InFlight int
	// Waiting is the number of requests in the target's queue.
	Waiting int
	// Limit is the concurrency limit in force; 0 means not reported.
	Limit int
	// ByImportance counts the requests in flight and waiting by importance, most
	// important first. It may have fewer entries than there are levels, and is
	// empty if not reported.
	ByImportance []int
	// ServiceTime is the recent mean time that the target itself spent on a request,
	// as measured by its node; 0 means not reported. Routing compares it instead
	// of response times, which include the queueing time of each class.
	ServiceTime time.Duration
	// Draining reports that the target no longer accepts new requests.
	Draining bool
}
