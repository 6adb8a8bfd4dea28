package message

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Reply is the outcome of a Call.
type Reply struct {
	// Response is the target's response; it is nil when there is a Failure.
	Response *Response
	Failure  *kind.Error
	// Load is the state of the target, nil when unknown.
	Load *Load
	// Visited says where the chain ran from the target on.
	Visited []Visit
	// Cutoffs are those of the services below the target.
	Cutoffs []ServiceCutoff
	// OwnTime is the time that the target took for the run, without its sub-calls;
	// 0 means unknown.
	OwnTime time.Duration
	// DependencyFailed reports that a sub-call of the run was refused or failed,
	// so that the target's own failure says nothing about the target.
	DependencyFailed bool
}
