package routing

// Member is what the membership says about one target.
type Member struct {
	ID            TargetID
	FailureDomain string
	State         State
	// Slots is how many requests the target serves at once. It stands in for
	// the limit until the first load report; 0 counts as 1.
	Slots int
}
