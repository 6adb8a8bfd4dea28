package limitsim

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/limit"
)

// Rule is a way to set the limit.
type Rule interface {
	// Observe records a request that ended.
	Observe(now time.Time, s limit.Sample)
	// Tick is called every limit.TickInterval.
	Tick(now time.Time)
	// Limit returns the concurrency limit.
	Limit() int
}
