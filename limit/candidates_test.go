package limit

import (
	"math"
	"time"
)

// plain is the naive rule: the limit is the slots.
type plain struct{ slots int }

func (p plain) Observe(time.Time, Sample) {}
func (p plain) Tick(time.Time)            {}
func (p plain) Limit() int                { return p.slots }

// aimd adds 1 per limit of successes and takes 10% off at a failure, at most
// once per 100 ms.
type aimd struct {
	slots int
	limit float64
	cut   time.Time
}

func (a *aimd) Tick(time.Time) {}
func (a *aimd) Limit() int     { return int(a.limit) }
func (a *aimd) Observe(now time.Time, s Sample) {
	if !s.TimedOut && !s.Refused {
		a.limit = min(a.limit+1/a.limit, float64(a.slots))
	} else if now.Sub(a.cut) >= 100*ms {
		a.limit, a.cut = max(a.limit*0.9, 2), now
	}
}

// gradient is the Gradient2 rule of Netflix concurrency-limits (2018): the limit
// follows the quotient of the long-term and the short-term latency, with a
// tolerance of 1.5 and room for a queue of the square root of the limit.
type gradient struct {
	slots       int
	limit       float64
	long, short float64
	n           int
}

func (g *gradient) Tick(time.Time) {}
func (g *gradient) Limit() int     { return int(g.limit) }
func (g *gradient) Observe(_ time.Time, s Sample) {
	if s.Refused {
		return
	}
	latency := s.Latency.Seconds()
	if g.n == 0 {
		g.long, g.short = latency, latency
	}
	g.n++
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
