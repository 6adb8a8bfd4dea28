package httpconn

// HeaderNames holds the names of the header fields that a deployment uses, in
// canonical form.
type HeaderNames struct {
	// RequestID identifies one attempt of a client; targets copy it to their response.
	RequestID string
	// TimeoutMS holds the time that the sender waits, in milliseconds.
	TimeoutMS string
	// CallerService names the service of the instance where a request originated.
	CallerService string
	// ExpectedTarget holds the ID of the target that a request is addressed to.
	ExpectedTarget string
	// TargetID holds the ID of the target that responded.
	TargetID string
	// Seal marks a response as created by a target.
	Seal string
	// NotRun marks a response to a request that the target did not run.
	NotRun string
	// TargetLoad holds the counts of running requests, waiting requests and slots.
	TargetLoad string
	// RateLimit holds the requests per second that a target takes from all nodes
	// together, for as long as its responses name it.
	RateLimit string
	// Leaving marks the responses of a target that is about to leave.
	Leaving string
}
