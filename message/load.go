package message

import "time"

// Load is the load of a target, which its node reports with each reply.
type Load struct {
	Running, Waiting, Limit uint32
	// Level is the admission level; 0 means none.
	Level uint32
	// Cutoff limits the new chains that may start; see package pressure.
	Cutoff float64
	// ServiceTime is the recent mean time that the target itself took for a
	// request.
	ServiceTime time.Duration
	// ByImportance counts the waiting and running requests by importance.
	ByImportance []uint32
}
