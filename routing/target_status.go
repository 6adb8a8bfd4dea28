package routing

import "time"

// TargetStatus is the status of one target in a state dump.
type TargetStatus struct {
	ID            TargetID
	FailureDomain string
	State         State
	// Own is the number of calls from this node in flight to the target.
	Own int
	// Load is the last reported load, LoadAge its age.
	Load    Load
	LoadAge time.Duration
	// Latency is the moving average of the response time. If targets are compared
	// by their own processing times, it is relative and 1 s represents the mean of
	// all targets.
	Latency time.Duration
	// Cost is the cost that Pick compares; lower is better.
	Cost float64
	// Failures counts consecutive failures.
	Failures int
	Ejected  bool
	// NextProbe is the time until an ejected target may be probed.
	NextProbe time.Duration
	InSubset  bool
}
