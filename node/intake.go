package node

import (
	"sync/atomic"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Bounds on what an entry node holds for callers at once, so that its memory
// stays within 64 MB whatever arrives. A quarter of the requests is kept for
// the protected importances.
const (
	maxEntered      = 4096
	maxEnteredReads = maxEntered * 3 / 4
	maxBodiesHeld   = 16 << 20
)

// intake bounds the requests and the request bodies that an entry node holds.
// It is safe for concurrent use.
type intake struct {
	requests atomic.Int64
	bytes    atomic.Int64
}

// enter admits one more request. The error has run state not-run.
func (i *intake) enter(importance int) *kind.Error {
	bound := int64(maxEnteredReads)
	if importance < protectedImportances {
		bound = maxEntered
	}
	if i.requests.Add(1) > bound {
		i.requests.Add(-1)
		return kind.Newf(kind.Shed, "the node holds %d requests already", bound)
	}
	return nil
}

// reserve admits the bytes of a request's body. The error has run state
// not-run.
func (i *intake) reserve(n int64) *kind.Error {
	if i.bytes.Add(n) > maxBodiesHeld {
		i.bytes.Add(-n)
		return kind.Newf(kind.Shed, "the node holds %d bytes of request bodies already", maxBodiesHeld)
	}
	return nil
}

// release returns the capacity that a request has reserved.
func (i *intake) release(q *request) {
	if q.entered {
		i.requests.Add(-1)
	}
	i.bytes.Add(-q.held)
}
