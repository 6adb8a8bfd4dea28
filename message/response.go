package message

import "time"

// Response is a complete response.
type Response struct {
	Status int
	Header []Field
	Body   []byte
	// RetryAfter is the time after which the caller of a refused request may
	// retry; 0 means unspecified.
	RetryAfter time.Duration
	// FromTarget reports that the response was made by a target, not by a node.
	FromTarget bool
}
