package chain

import "time"

// Chain is the chain context of a request that arrives at the node of its target.
type Chain struct {
	// ID identifies the chain; it is the same at every hop.
	ID string
	// Class and Importance are set at the entry of the chain.
	Class      string
	Importance int
	Deadline   time.Time
	// Depth is the number of hops before this one; it is 0 for a client's request.
	Depth int
	// Path lists the services on the path as service.customer, from the entry to
	// this node's service.
	Path []string
	// Allowance is the share of the retry allowance that the request carried.
	Allowance int
}
