package idempotency

// Outcome is the answer to a question about a claim.
type Outcome struct {
	State OutcomeState
	// Response is the stored response when State is OutcomeFinished.
	Response []byte
}
