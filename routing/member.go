package routing

// Member describes one target as reported by the membership protocol.
type Member struct {
	ID            TargetID
	FailureDomain string
	State         State
	// Slots is the number of requests that the target serves concurrently. It is
	// used as the concurrency limit until the first load report; 0 counts as 1.
	Slots int
}
