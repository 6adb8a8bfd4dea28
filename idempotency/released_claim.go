package idempotency

import "time"

// releasedClaim is a claim of this process that was not executed and never will
// be. Its release is appended until it is read back from the stream.
type releasedClaim struct {
	hash KeyHash
	// inFlight is set while an append of the release is pending.
	inFlight bool
	// confirmed is set when the release was read back.
	confirmed bool
	lastSent  time.Duration
}
