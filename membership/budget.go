package membership

import "time"

// budget is a token bucket on bytes sent. Probes and acknowledgements are
// charged but never held back, so the bucket may fall below zero; everything
// else waits until enough is left.
type budget struct {
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

// above returns how many bytes may be spent without going below share of the burst.
func (b *budget) above(share float64) int { return int(b.tokens - share*b.burst) }
