package routing

import "time"

// TargetStatus is the view of one target in a state dump.
type TargetStatus struct {
	ID            TargetID
	FailureDomain string
	State         State
	// Own is the number of calls of this node in flight to the target.
	Own int
	// Load is the last reported load, LoadAge its age.
	Load    Load
	LoadAge time.Duration
	// Latency is the moving average of the response time. Where targets are
	// compared by their own times, 1 s stands for the mean of all targets.
	Latency time.Duration
	// Cost is the value that Pick compares; lower is better.
	Cost float64
	// Failures counts consecutive failures.
	Failures int
	Ejected  bool
	// NextProbe is the time until an ejected target may be probed.
	NextProbe time.Duration
	InSubset  bool
}
