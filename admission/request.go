package admission

import "time"

// ID identifies a request in one queue. The caller makes it unique among the
// requests that wait or run.
type ID uint64

// Request asks for a slot.
type Request struct {
	ID   ID
	Rank Rank
	// Deadline is when the caller stops waiting for the response. The zero time
	// means none.
	Deadline time.Time
	// ServiceTime is how long the target is expected to take. A request that
	// could not finish before Deadline is not started.
	ServiceTime time.Duration
	// MaxWait replaces the queue timeout for this request when it is positive. It
	// is a bound of the caller's own, like the deadline: a request that reaches
	// it is dropped alone.
	MaxWait time.Duration
}
