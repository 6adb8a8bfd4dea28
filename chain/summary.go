package chain

import "time"

// Summary describes a request that has ended at the target.
type Summary struct {
	Chain Chain
	// Total is the time from Enter to Leave.
	Total time.Duration
	// OwnTime is the target's own service time: Total minus the time during which at
	// least one sub-call was outstanding.
	OwnTime time.Duration
	// Unused is the number of unused retries to return with the response.
	Unused int
	// Visited lists the services visited at this hop and downstream, without
	// duplicates, starting with this node's service.
	Visited []string
}
