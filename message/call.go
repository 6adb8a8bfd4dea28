package message

import "time"

// Call is a request on its way from an entry node to the node of a target.
type Call struct {
	Request
	// Service is the service that is to run the request.
	Service string
	// CallerService is the service of the instance where the request began.
	CallerService string
	// Unsafe reports that the request may run once at most.
	Unsafe bool
	// Importance is that of the request at the root of the chain; 0 is the most
	// important. ChainLevel spreads the chains of one importance.
	Importance uint8
	ChainLevel uint8
	// Admitted reports that the chain was admitted by an earlier hop.
	Admitted bool
	// Repeat reports that a target has refused the request before.
	Repeat bool
	// MaxWait bounds the time in the queue of the target's node; 0 leaves it to
	// that node.
	MaxWait time.Duration
}
