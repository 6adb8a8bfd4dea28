package chain

import "github.com/goldcrestsail/goldcrestsail/retry"

// Call is one sub-call from a target.
type Call struct {
	// Service is the called service as service.customer.
	Service string
	// Fingerprint identifies the sub-call; see Fingerprint.
	Fingerprint uint64
	// MaxDepth is the depth bound of the called service's policy.
	MaxDepth int
}

// Grant allows one attempt of a sub-call. It is passed back to EndCall, or to
// Retry for a further attempt.
type Grant struct {
	part    retry.Share
	service string
	open    bool
	// Repeat reports that the target had made the same sub-call before, so that
	// 1 was drawn from the allowance.
	Repeat bool
}

// Allowance returns the retries that the attempt carries to the next hop.
func (g Grant) Allowance() int { return g.part.Retries() }

// Outcome is how an attempt of a sub-call ended.
type Outcome struct {
	// Answered reports that a response arrived. Without one the part of the
	// allowance that the attempt carried is lost.
	Answered bool
	// Unused is the unused part of the allowance, as the response states it.
	Unused int
	// Visited lists the services visited below, as the response states them.
	Visited []string
}
