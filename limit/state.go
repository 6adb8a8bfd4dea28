package limit

import "time"

// State is the state of a Limiter for metrics and state dumps.
type State struct {
	Limit int
	// Phase is "steady", or the running trial: "lowering", "lowering after
	// failures" or "raising".
	Phase string
	// Baseline is the estimated latency of the target without internal queueing,
	// or 0 when unknown.
	Baseline time.Duration
	// ServiceTime is the recent mean of the target's own latency, or 0 when there
	// is no recent sample.
	ServiceTime time.Duration
	// Ceiling is the upper bound on the limit set by the slots and the cold start
	// ramp.
	Ceiling int
}
