package routing

import "time"

// Load is the load that a target's node reports with each response.
type Load struct {
	// InFlight is the number of requests that the target is serving.
	InFlight int
	// Waiting is the number of requests in the target's queue.
	Waiting int
	// Limit is the concurrency limit in force; 0 means not reported.
	Limit int
	// ByImportance counts the requests in flight and waiting of each importance,
	// the most important first. It may be shorter than the number of
	// importances, and empty when not reported.
	ByImportance []int
	// ServiceTime is the recent mean of the target's own time for a request, as
	// its node measures it; 0 means not reported. Routing compares it in place
	// of response times, which depend on how long a class waits in the queue.
	ServiceTime time.Duration
	// Draining says that the target refuses new work from now on.
	Draining bool
}
