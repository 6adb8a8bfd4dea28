package message

import "time"

// Response is a complete response.
type Response struct {
	Status int
	Header []Field
	Body   []byte
	// RetryAfter is when a caller whose request was refused may come back; 0
	// means that nothing is said.
	RetryAfter time.Duration
	// FromTarget reports that a target made the response, as opposed to a node.
	FromTarget bool
}
