package kind

import "time"

// Answer is what a caller is told for a kind.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Retry reports whether the system may try the request again elsewhere,
	// and whether a caller may repeat it unchanged.
	Retry bool
	// Run is the run state when the place that made the error knows no better.
	Run RunState
	// RetryAfter is sent as Retry-After, rounded up to whole seconds; 0 omits it.
	RetryAfter time.Duration
	// Advice says in one sentence what the caller should do.
	Advice string
}
