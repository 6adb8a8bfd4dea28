package httpconn

// HeaderNames are the names of the header fields that a deployment uses, in
// canonical form. Each entry is the name of one field.
type HeaderNames struct {
	// RequestID identifies one attempt of a client; targets copy it to the response.
	RequestID string
	// TimeoutMS holds how many milliseconds the sender waits.
	TimeoutMS string
	// CallerService names the service of the instance where a request began.
	CallerService string
	// ExpectedTarget names the target that a request is meant for.
	ExpectedTarget string
	// TargetID names the target that responded.
	TargetID string
	// Seal marks a response as made by a target.
	Seal string
	// NotRun marks a response to a request that the target did not run.
	NotRun string
	// TargetLoad holds running requests, waiting requests and slots.
	TargetLoad string
}
