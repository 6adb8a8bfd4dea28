package chainadmission

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/pressure"
)

// Verdict is the outcome of Check.
type Verdict struct {
	Refuse bool
	// Service is the service whose cutoff refuses the chain.
	Service string
	// Cutoff is the mean cutoff of the targets of Service.
	Cutoff pressure.Cutoff
	// Age is the age of the newest cutoff of a target of Service.
	Age time.Duration
}
