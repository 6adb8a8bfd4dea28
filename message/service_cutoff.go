package message

import "time"

// ServiceCutoff is the cutoff of a service further down a chain.
type ServiceCutoff struct {
	Service string
	Cutoff  float64
	// Age is the age of the cutoff when the reply was sent.
	Age time.Duration
}
