package chain

import "time"

// Chain is what a request brings to the node beside its target.
type Chain struct {
	// ID is the same at every hop.
	ID string
	// Class and Importance are those of the chain's entry.
	Class      string
	Importance int
	Deadline   time.Time
	// Depth is the number of hops before this one; a client's request has 0.
	Depth int
	// Path lists the services on the path as service.customer, entry first and
	// this node's service last.
	Path []string
	// Allowance is the part of the retry allowance that came with the request.
	Allowance int
}
