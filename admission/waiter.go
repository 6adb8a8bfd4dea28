package admission

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// waiter is one waiting request in the slab of a Queue. Links are slab indexes;
// index 0 is unused, so that 0 means none.
type waiter struct {
	id   ID
	rank Rank
	// arrived is the time of the offer; expires is the end of the wait, for the
	// reason in cause.
	arrived, expires time.Time
	cause            kind.Kind
	// ownBound reports that the end of the wait is a bound of the request alone.
	ownBound bool
	// older and newer link the waiters of one rank by arrival.
	older, newer int32
	// heapAt is the position in the expiry heap.
	heapAt int32
}

// bucket lists the waiters of one rank by arrival.
type bucket struct{ oldest, newest int32 }
