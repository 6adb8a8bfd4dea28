package membership

import "time"

// budget is a token bucket for sent bytes. Probes and acknowledgements are
// charged but never delayed, so the token count can be negative; all other
// sends wait for enough tokens.
type budget struct {
	// rate is in bytes per second; burst and tokens are in bytes.
	rate, burst float64
	tokens      float64
	last        time.Time
}

func (b *budget) refill(now time.Time) {
	if dt := now.Sub(b.last); dt > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*dt.Seconds())
		b.last = now
	}
}

func (b *budget) charge(bytes int) { b.tokens = max(-b.burst, b.tokens-float64(bytes)) }

// available returns the number of bytes that can be sent while the fraction
// reserve of the burst is kept.
func (b *budget) available(reserve float64) int { return int(b.tokens - reserve*b.burst) }
