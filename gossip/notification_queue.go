package gossip

import (
	"sync"

	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/membership"
)

// notificationKey identifies the subject of a notification. It is the zero value
// for membership.ConfigOffsetSeen.
type notificationKey struct {
	member    uuid.UUID
	kind      uint32
	broadcast string
}

// notificationQueue buffers notifications for the delegate. A notification
// replaces a queued one with the same key, so that a slow delegate neither
// blocks the protocol nor makes the queue outgrow the member table.
type notificationQueue struct {
	mu     sync.Mutex
	order  []notificationKey
	latest map[notificationKey]membership.Effect
	// ready is signalled when a notification is queued. It has room for one value.
	ready chan struct{}
}

func newNotificationQueue() *notificationQueue {
	return &notificationQueue{latest: make(map[notificationKey]membership.Effect), ready: make(chan struct{}, 1)}
}

func (q *notificationQueue) put(e membership.Effect) {
	var key notificationKey
	switch e := e.(type) {
	case membership.MemberChanged:
		key.member = e.Member.ID
	case membership.BroadcastReceived:
		key.kind, key.broadcast = e.Broadcast.Kind, e.Broadcast.ID
	}
	q.mu.Lock()
	if _, queued := q.latest[key]; !queued {
		q.order = append(q.order, key)
	}
	q.latest[key] = e
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// takeAll empties the queue and returns its content in the order in which the
// keys were first queued.
func (q *notificationQueue) takeAll() []membership.Effect {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]membership.Effect, 0, len(q.order))
	for _, key := range q.order {
		out = append(out, q.latest[key])
	}
	q.order = q.order[:0]
	clear(q.latest)
	return out
}
