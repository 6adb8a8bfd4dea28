package gossip

import (
	"sync"

	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/membership"
)

// changeKey identifies what a change is about.
type changeKey struct {
	member    uuid.UUID
	kind      uint32
	broadcast string
}

// changeQueue holds changes for the delegate. A later change of the same thing
// replaces one that still waits, so that a slow delegate neither stops the
// protocol nor makes the queue outgrow the member table.
type changeQueue struct {
	mu     sync.Mutex
	order  []changeKey
	latest map[changeKey]membership.Effect
	// ready holds one value while changes may be waiting.
	ready chan struct{}
}

func newChangeQueue() *changeQueue {
	return &changeQueue{latest: make(map[changeKey]membership.Effect), ready: make(chan struct{}, 1)}
}

func (q *changeQueue) put(e membership.Effect) {
	var key changeKey
	switch e := e.(type) {
	case membership.MemberChanged:
		key.member = e.Member.ID
	case membership.BroadcastReceived:
		key.kind, key.broadcast = e.Broadcast.Kind, e.Broadcast.ID
	}
	q.mu.Lock()
	if _, waiting := q.latest[key]; !waiting {
		q.order = append(q.order, key)
	}
	q.latest[key] = e
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// takeAll returns the waiting changes and empties the queue.
func (q *changeQueue) takeAll() []membership.Effect {
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
