package message

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Reply is the outcome of a Call.
type Reply struct {
	// Response is the target's response; it is nil if Failure is set.
	Response *Response
	Failure  *kind.Error
	// Load is the load of the target, nil if unknown.
	Load *Load
	// Visited lists the services at which the chain ran, from the target on.
	Visited []Visit
	// Cutoffs lists the cutoffs of the services further down the chain.
	Cutoffs []ServiceCutoff
	// OwnTime is the time that the target took to run the request, excluding its
	// sub-calls; 0 means unknown.
	OwnTime time.Duration
	// CrashReport is the encoded quarantine.Entry about the crash of the target under
	// the request, empty if there was none.
	CrashReport []byte
	// Notice is what the target has announced about itself, nil if nothing.
	Notice *TargetNotice
	// DependencyFailed reports that a sub-call was refused or failed, so that a
	// failure of the request is no evidence against the target.
	DependencyFailed bool
}
