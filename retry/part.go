package retry

// Part is what Split took out of an allowance for one call to the next hop.
type Part struct {
	given int
	open  bool
}

// Given returns the number of retries that the call carries.
func (p Part) Given() int { return p.given }
