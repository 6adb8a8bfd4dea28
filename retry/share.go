package retry

// Share is the part of an Allowance that Split has set aside for one call to the
// next hop.
type Share struct {
	retries int
	// outstanding is false for an empty share and after Reclaim.
	outstanding bool
}

// Retries returns the number of retries that the callee may use or pass on.
func (s Share) Retries() int { return s.retries }
