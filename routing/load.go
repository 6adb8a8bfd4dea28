package routing

// Load is the load that a target's node reports with each response.
type Load struct {
	// InFlight is the number of requests that the target is serving.
	InFlight int
	// Waiting is the number of requests in the target's queue.
	Waiting int
	// Limit is the concurrency limit in force; 0 means not reported.
	Limit int
	// Draining says that the target refuses new work from now on.
	Draining bool
}
