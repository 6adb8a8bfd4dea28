package kind

import "time"

// Response describes the response that a caller gets for a kind.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Retryable reports whether this system may retry the request at another
	// target, and whether a caller may repeat it unchanged.
	Retryable bool
	// Run is the run state unless the code that created the error set a more
	// certain one.
	Run RunState
	// RetryAfter is sent as Retry-After, rounded up to whole seconds; 0 omits it.
	RetryAfter time.Duration
	// Advice tells the caller in one sentence what to do.
	Advice string
}
