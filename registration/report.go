package registration

import "time"

// Report is what a target says of itself.
type Report struct {
	// TargetID identifies the target; a restarted target may keep it.
	TargetID string
	// Born is when the target started, in Unix milliseconds; 0 when it is not
	// stated. Of two starts under one ID the later one counts.
	Born int64
	// Seq grows with each report of one start.
	Seq     int64
	State   State
	Service string
	Version string
	// FailureDomain is where the target says that it runs.
	FailureDomain string
	Slots         int
	// ColdFor is how much longer the target stays slow after its start.
	ColdFor time.Duration
}
