package message

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/bytebudget"
)

// Response is a complete response.
type Response struct {
	Status int
	Header []Field
	Body   []byte
	// BodyMemory is the memory that Body takes up in the process's budget. Whoever
	// has sent the response releases it.
	BodyMemory *bytebudget.Reservation
	// RetryAfter is the time after which the caller of a refused request may
	// retry; 0 means unspecified.
	RetryAfter time.Duration
	// FromTarget reports that the response was made by a target, not by a node.
	FromTarget bool
}
