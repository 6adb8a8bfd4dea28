package replay

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/policy"
)

// ledger records what the outcomes are computed from.
type ledger struct {
	head     *Head
	requests []*request
	attempts []*attempt
	// effects counts the effects of non-idempotent operations by key.
	effects map[string]int
	// wrong counts incomplete responses and responses to another request.
	wrong int
	// inversions counts important requests that were refused while a less
	// important one was served.
	inversions int
	crashes    map[string]int
	// workAfterDrain counts requests that began at a target long after it
	// announced that it drains.
	workAfterDrain int
}

func newLedger(h *Head) *ledger {
	return &ledger{head: h, effects: map[string]int{}, crashes: map[string]int{}}
}

func (l *ledger) offer(r *request) { l.requests = append(l.requests, r) }

func (l *ledger) answered(r *request, now time.Time) {
	if !now.After(r.deadline) {
		r.answeredAt = now
	}
}

// service is what has passed at one admission point, to find inversions: when a
// request of each importance last began.
type service struct {
	lastBegun [policy.MaxImportance + 1]time.Time
}

func (s *service) begun(importance int, now time.Time) { s.lastBegun[importance] = now }

// inverted reports whether a request of the given importance that arrived at
// the given time was refused although a less important one began after it.
func (s *service) inverted(importance int, arrived time.Time) bool {
	for _, at := range s.lastBegun[importance+1:] {
		if at.After(arrived) {
			return true
		}
	}
	return false
}
