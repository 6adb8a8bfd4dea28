package limit

// Report holds the state that the target's health and load endpoints report. It
// can start a trial of a lower limit and never raises the limit.
type Report struct {
	Healthy bool
	// Capacity is the number of concurrent requests that the target reports it
	// can serve; 0 means not reported.
	Capacity int
}
