package chain

import "github.com/goldcrestsail/goldcrestsail/retry"

// Call describes a sub-call that a target makes.
type Call struct {
	// Service is the called service as service.customer.
	Service string
	// Fingerprint identifies the sub-call; see Fingerprint.
	Fingerprint uint64
	// MaxDepth is the depth bound of the called service's policy.
	MaxDepth int
}

// Grant permits one attempt of a sub-call. It is passed to EndCall when the
// sub-call ends, or to Retry for another attempt.
type Grant struct {
	share   retry.Share
	service string
	open    bool
	// Repeat reports that the target had made the same sub-call before, and that
	// it consumed one retry of the allowance.
	Repeat bool
}

// Allowance returns the number of retries that the attempt carries to the next
// hop.
func (g Grant) Allowance() int { return g.share.Retries() }

// Outcome describes how an attempt of a sub-call ended.
type Outcome struct {
	// Answered reports that a response arrived. Without a response, the share of
	// the allowance that the attempt carried is lost.
	Answered bool
	// Unused is the number of unused retries that the response states.
	Unused int
	// Visited lists the downstream services that the response states as visited.
	Visited []string
}
