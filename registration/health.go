package registration

// Health is what a target says of itself when it is asked.
type Health uint8

// The outcomes of a health check.
const (
	// HealthUnknown means that the target has made no statement: it did not answer, or
	// had no slot for the check.
	HealthUnknown Health = iota
	// Healthy means that the target takes requests and is not leaving.
	Healthy
	// Unhealthy means that the target is leaving or failing, or that another target
	// has its address.
	Unhealthy
)

// String returns the lower-case name of the outcome.
func (h Health) String() string { return [...]string{"unknown", "healthy", "unhealthy"}[h] }
