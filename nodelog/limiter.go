package nodelog

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limiter bounds the lines of each kind per second, so that one kind cannot
// crowd out the others. It is safe for concurrent use.
type Limiter struct {
	perSecond int

	mu    sync.Mutex
	kinds map[string]*limitedKind
}

type limitedKind struct {
	*rate.Limiter
	suppressed int
}

// NewLimiter returns a limiter of perSecond lines of each kind.
func NewLimiter(perSecond int) *Limiter {
	return &Limiter{perSecond: perSecond, kinds: map[string]*limitedKind{}}
}

// Allow reports whether a line of a kind may be written, and counts it if not.
func (l *Limiter) Allow(now time.Time, kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[kind]
	if k == nil {
		k = &limitedKind{Limiter: rate.NewLimiter(rate.Limit(l.perSecond), l.perSecond)}
		l.kinds[kind] = k
	}
	if k.AllowN(now, 1) {
		return true
	}
	k.suppressed++
	return false
}

// Suppressed returns the number of lines of each kind that were not written since
// the last call.
func (l *Limiter) Suppressed() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for kind, k := range l.kinds {
		if k.suppressed > 0 {
			counts[kind] = k.suppressed
			k.suppressed = 0
		}
	}
	return counts
}
