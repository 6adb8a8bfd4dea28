package idempotency

// Outcome is the answer to an outcome query about a claim.
type Outcome struct {
	State OutcomeState
	// Response is the stored response when State is OutcomeFinished.
	Response []byte
}
