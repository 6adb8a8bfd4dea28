package chain

import "time"

// Summary is what Leave knows about a request that ended at the target.
type Summary struct {
	Chain Chain
	// Total is the time from Enter to Leave.
	Total time.Duration
	// Own is Total without the time in which at least one sub-call was
	// outstanding: the target's own service time.
	Own time.Duration
	// Unused is the allowance that goes back with the response.
	Unused int
	// Visited lists the services visited at and below this hop, without
	// repeats, this node's service first.
	Visited []string
}
