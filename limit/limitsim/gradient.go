package limitsim

import (
	"math"
	"time"

	"github.com/goldcrestsail/goldcrestsail/limit"
)

// Gradient follows the quotient of long-term and short-term latency, with a
// tolerance of 1.5 and room for a queue of the square root of the limit.
//
// Source: the Gradient2 rule of concurrency-limits (Netflix, 2018).
type Gradient struct {
	slots       int
	limit       float64
	long, short float64
}

// NewGradient returns the rule with the limit at the slots.
func NewGradient(slots int) *Gradient { return &Gradient{slots: slots, limit: float64(slots)} }

// Tick does nothing.
func (g *Gradient) Tick(time.Time) {}

// Limit returns the concurrency limit.
func (g *Gradient) Limit() int { return int(g.limit) }

// Observe applies the rule to a request that ended.
func (g *Gradient) Observe(_ time.Time, s limit.Sample) {
	if s.Refused {
		return
	}
	latency := s.Latency.Seconds()
	if g.long == 0 {
		g.long, g.short = latency, latency
	}
	g.long += (latency - g.long) / 6000
	g.short += (latency - g.short) / 100
	if g.long > 2*g.short {
		g.long *= 0.95
	}
	if float64(s.InFlight) < g.limit/2 {
		return
	}
	slope := max(0.5, min(1, 1.5*g.long/g.short))
	target := g.limit*slope + math.Sqrt(g.limit)
	g.limit = min(max(g.limit+0.2*(target-g.limit)/g.limit, 2), float64(g.slots))
}
