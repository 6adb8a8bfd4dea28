package registration

import "time"

// Report is a status report of a target process.
type Report struct {
	// TargetID identifies the target. A restarted target may keep its ID.
	TargetID string
	// StartedAtMs is when the target process started, in Unix milliseconds, and 0
	// if it is unknown. Of several processes, also with the same TargetID, the one
	// that started last is the current one.
	StartedAtMs int64
	// Seq increases with each report of one process.
	Seq     int64
	State   State
	Service string
	Version string
	// FailureDomain is the failure domain that the target claims to run in.
	FailureDomain string
	Slots         int
	// ColdStartRemaining is how much longer the target is slow after its start.
	ColdStartRemaining time.Duration
}

// SameProcess reports whether two reports are of one process of a target.
func (r *Report) SameProcess(other *Report) bool {
	return r.TargetID == other.TargetID && r.StartedAtMs == other.StartedAtMs
}
