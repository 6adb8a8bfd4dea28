package limit

// Report is what the target's health and load endpoints say. It can cause a
// trial with a lower limit, and it never raises the limit.
type Report struct {
	Healthy bool
	// Capacity is the number of requests that the target says it can serve at
	// once; 0 means that it does not say.
	Capacity int
}
