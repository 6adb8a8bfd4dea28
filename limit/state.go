package limit

import "time"

// State is the state of a Limiter for metrics and state dumps.
type State struct {
	Limit int
	// Phase is steady, lowering, lowering after failures, or raising.
	Phase string
	// Baseline is the latency without queueing inside the target, as far as it
	// is known.
	Baseline time.Duration
	// ServiceTime is the recent mean of the target's own latency, or 0 when there
	// is no recent sample.
	ServiceTime time.Duration
	// Ceiling is the bound on the limit from the slots and the cold start ramp.
	Ceiling int
}
