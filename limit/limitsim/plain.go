package limitsim

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/limit"
)

// Plain is the naive rule: the limit is the slots.
type Plain struct{ Slots int }

// Observe does nothing.
func (p Plain) Observe(time.Time, limit.Sample) {}

// Tick does nothing.
func (p Plain) Tick(time.Time) {}

// Limit returns the slots.
func (p Plain) Limit() int { return p.Slots }
