package node

import (
	"sync/atomic"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Limits on the requests and body bytes that an entry node holds concurrently,
// so that its memory stays within 64 MB under any load. A quarter of the
// requests is reserved for the protected importances.
const (
	maxEntryRequests       = 4096
	maxUnprotectedRequests = maxEntryRequests * 3 / 4
	maxBufferedBodyBytes   = 16 << 20
)

// entryLimiter limits the requests and the request body bytes that an entry node
// holds. It is safe for concurrent use.
type entryLimiter struct {
	requests atomic.Int64
	bytes    atomic.Int64
}

// enter admits one more request. The error has run state not-run.
func (i *entryLimiter) enter(importance int) *kind.Error {
	bound := int64(maxUnprotectedRequests)
	if importance < protectedImportances {
		bound = maxEntryRequests
	}
	if i.requests.Add(1) > bound {
		i.requests.Add(-1)
		return kind.Newf(kind.Shed, "the node holds %d requests already", bound)
	}
	return nil
}

// reserve admits the bytes of a request's body. The error has run state
// not-run.
func (i *entryLimiter) reserve(n int64) *kind.Error {
	if i.bytes.Add(n) > maxBufferedBodyBytes {
		i.bytes.Add(-n)
		return kind.Newf(kind.Shed, "the node holds %d bytes of request bodies already", maxBufferedBodyBytes)
	}
	return nil
}

// release returns the capacity that a request has reserved.
func (i *entryLimiter) release(q *request) {
	if q.counted {
		i.requests.Add(-1)
	}
	i.bytes.Add(-q.reservedBytes)
}
