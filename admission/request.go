package admission

import "time"

// ID identifies a request in one queue. It must be unique among the requests
// that wait or run.
type ID uint64

// Request is a request for a slot.
type Request struct {
	ID   ID
	Rank Rank
	// Deadline is when the caller stops waiting for the response. The zero time
	// means no deadline.
	Deadline time.Time
	// ServiceTime is the expected service time of the target. A request that
	// could not finish before Deadline is not started.
	ServiceTime time.Duration
	// MaxWait, if positive, replaces the queue timeout for this request. Like the
	// deadline it is a bound set by the caller: a request that reaches it is
	// refused without shedding less important ones.
	MaxWait time.Duration
	// WaitForRate reports that no other target takes more, so that the request may wait
	// as long as without a rate.
	WaitForRate bool
}
