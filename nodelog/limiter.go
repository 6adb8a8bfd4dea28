package nodelog

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limiter limits the rate of log lines of each kind, so that a frequent kind does
// not displace the others. It is safe for concurrent use.
type Limiter struct {
	perSecond int

	mu    sync.Mutex
	kinds map[string]*kindLimiter
}

type kindLimiter struct {
	*rate.Limiter
	suppressed int
}

// NewLimiter returns a limiter that allows perSecond lines of each kind per second,
// and a burst of as many.
func NewLimiter(perSecond int) *Limiter {
	return &Limiter{perSecond: perSecond, kinds: map[string]*kindLimiter{}}
}

// Allow reports whether a line of a kind may be written at now. If not, it counts
// the line as suppressed.
func (l *Limiter) Allow(now time.Time, kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.kinds[kind]
	if limiter == nil {
		limiter = &kindLimiter{Limiter: rate.NewLimiter(rate.Limit(l.perSecond), l.perSecond)}
		l.kinds[kind] = limiter
	}
	if limiter.AllowN(now, 1) {
		return true
	}
	limiter.suppressed++
	return false
}

// Suppressed returns the number of lines of each kind suppressed since the last
// call. Kinds without a suppressed line are absent.
func (l *Limiter) Suppressed() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for kind, limiter := range l.kinds {
		if limiter.suppressed > 0 {
			counts[kind] = limiter.suppressed
			limiter.suppressed = 0
		}
	}
	return counts
}
