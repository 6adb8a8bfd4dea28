package message

import "time"

// Load is what a target's node says about the target with each reply.
type Load struct {
	Running, Waiting, Limit uint32
	// Level is the admission level, 0 for none.
	Level uint32
	// Cutoff bounds what new chains may send; see package pressure.
	Cutoff float64
	// ServiceTime is the recent mean of the target's own time for a request.
	ServiceTime time.Duration
	// ByImportance counts the requests that wait or run by importance.
	ByImportance []uint32
}
