package httpconn

import "github.com/goldcrestsail/goldcrestsail/message"

// TargetResponse is a complete response of a target.
type TargetResponse struct {
	message.Response
	// NotRun reports that the target says it did not run the request.
	NotRun bool
	// OtherTarget reports that another target than the expected one responded
	// and did not run the request.
	OtherTarget bool
	// Load is nil when the target does not tell.
	Load *TargetLoad
}
