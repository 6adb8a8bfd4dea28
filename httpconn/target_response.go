package httpconn

import "github.com/goldcrestsail/goldcrestsail/message"

// TargetResponse is a complete response from a target.
type TargetResponse struct {
	message.Response
	// NotRun reports that the target states that it did not run the request.
	NotRun bool
	// Misdirected reports that a target other than the expected one responded with
	// status 421 and did not run the request.
	Misdirected bool
	// Load is nil if the target does not report it.
	Load *TargetLoad
	// Notice is what the target announces about itself.
	Notice TargetNotice
}
