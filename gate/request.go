package gate

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
)

// Request asks for a slot.
type Request struct {
	Rank admission.Rank
	// Deadline is when the caller stops waiting for the response.
	Deadline time.Time
	// MaxWait replaces the queue timeout when it is positive.
	MaxWait time.Duration
	// WaitForRate reports that no other target takes more; see admission.Request.
	WaitForRate bool
	// Repeat reports whether a target has refused the request before. Such requests
	// are not counted as arrivals.
	Repeat bool
}
