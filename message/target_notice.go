package message

// TargetNotice is what a target has announced about itself in its responses, as far as
// the sender knows.
type TargetNotice struct {
	// Target identifies the process of the target.
	Target uint64
	// RatePerSecond is the number of requests per second that the target takes from all
	// nodes together; 0 means that it has announced none.
	RatePerSecond float64
	// Leaving reports that the target is about to leave.
	Leaving bool
}
