package idempotency

import "time"

// releasedClaim is an own claim that was not and will not be executed. Its
// release is appended until it is read back.
type releasedClaim struct {
	hash KeyHash
	// inFlight is set while an append is not answered.
	inFlight bool
	// seen is set when the release was read.
	seen     bool
	lastSent time.Duration
}
