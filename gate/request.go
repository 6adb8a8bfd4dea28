package gate

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
)

// Request asks for a slot.
type Request struct {
	Rank admission.Rank
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// MaxWait replaces the queue timeout when it is positive.
	MaxWait time.Duration
	// Repeat reports that the request has been refused by a target before.
	Repeat bool
}
