package message

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/quarantine"
)

// Call is a request that an entry node sends to the node of a target.
type Call struct {
	Request
	// Service is the service to which the request is addressed.
	Service string
	// CallerService is the service of the instance that sent the request.
	CallerService string
	// Unsafe reports that the request must not run more than once.
	Unsafe bool
	// Importance is the importance of the chain's root request; 0 is the most
	// important. ChainLevel ranks the chains of the same importance.
	Importance uint8
	ChainLevel uint8
	// Admitted reports that an earlier hop admitted the chain.
	Admitted bool
	// Repeat reports that this is a retry of a request that a target refused.
	Repeat bool
	// Fingerprint identifies the request by its content. Each node computes it; it
	// is not sent.
	Fingerprint quarantine.Fingerprint
	// KnownCrashes is the number of crashes of targets that the sender attributes to
	// the request.
	KnownCrashes int
	// Notice is what the target has announced about itself, nil if nothing. The node
	// beside the target may have been restarted since.
	Notice *TargetNotice
	// WaitForRate reports that all targets have announced limits, so that the call may
	// wait its own time for one of them.
	WaitForRate bool
	// MaxWait limits the queueing time at the target's node; 0 applies that
	// node's own limit.
	MaxWait time.Duration
}
