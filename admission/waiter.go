package admission

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// waiter is one waiting request in the slab of a Queue. Links are slab indexes.
// Index 0 is unused, so that 0 means no link.
type waiter struct {
	id   ID
	rank Rank
	// arrived is the time of the offer. At expires the request is refused with the
	// kind in cause.
	arrived, expires time.Time
	cause            kind.Kind
	// callerBound reports whether Request.MaxWait replaces the queue timeout.
	callerBound bool
	// older and newer link the waiters of one rank by arrival.
	older, newer int32
	// heapIndex is the index in the expiry heap.
	heapIndex int32
}

// bucket lists the waiters of one rank by arrival.
type bucket struct{ oldest, newest int32 }
