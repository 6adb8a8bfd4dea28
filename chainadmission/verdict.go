package chainadmission

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/pressure"
)

// Verdict says whether a chain may begin, and what decided it.
type Verdict struct {
	Refuse bool
	// Service is the service whose cutoff refuses the chain, Age how old the
	// newest report of it is.
	Service string
	Cutoff  pressure.Cutoff
	Age     time.Duration
}
