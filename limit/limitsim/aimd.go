package limitsim

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/limit"
)

// AIMD adds 1 per limit of successes and takes 10% off at a failure, at most
// once per 100 ms.
type AIMD struct {
	slots int
	limit float64
	cut   time.Time
}

// NewAIMD returns the rule with the limit at the slots.
func NewAIMD(slots int) *AIMD { return &AIMD{slots: slots, limit: float64(slots)} }

// Tick does nothing.
func (a *AIMD) Tick(time.Time) {}

// Limit returns the concurrency limit.
func (a *AIMD) Limit() int { return int(a.limit) }

// Observe applies the rule to a request that ended.
func (a *AIMD) Observe(now time.Time, s limit.Sample) {
	if !s.TimedOut && !s.Refused {
		a.limit = min(a.limit+1/a.limit, float64(a.slots))
	} else if now.Sub(a.cut) >= 100*time.Millisecond {
		a.limit, a.cut = max(a.limit*0.9, 2), now
	}
}
