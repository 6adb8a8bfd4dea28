package message

import "github.com/goldcrestsail/goldcrestsail/kind"

// Reply is the outcome of a Call.
type Reply struct {
	// Response is the target's response; it is nil when there is a Failure.
	Response *Response
	Failure  *kind.Error
	// Load is the state of the target, nil when unknown.
	Load *Load
	// Visited lists the services that the chain visited from the target on.
	Visited []string
	// Levels are those of the services below the target.
	Levels []ServiceLevel
}
