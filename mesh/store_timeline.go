package mesh

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/recordsync"
)

const (
	// timelineBroadcastKind is the kind of gossip broadcasts that tell of a restore of
	// the store.
	timelineBroadcastKind uint32 = 3
	// timelineTTL is how long peers keep the news for members that they do not reach.
	timelineTTL = 2 * time.Minute
	// recordWriteSpacing is a little longer than the store takes for one append. The
	// nodes write to one partition, which handles its appends one after the other.
	recordWriteSpacing = 5 * time.Millisecond
)

// storeTimeline is the newest timeline of the store that a node knows. It is safe
// for concurrent use.
type storeTimeline struct {
	mu     sync.Mutex
	newest uint64
	// changed is closed, and replaced, when newest rises.
	changed chan struct{}
}

func newStoreTimeline() *storeTimeline { return &storeTimeline{changed: make(chan struct{})} }

// observe records a timeline. It returns the newest one known before, and whether
// the timeline is newer.
func (s *storeTimeline) observe(timeline uint64) (before uint64, newer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.newest
	if timeline <= before {
		return before, false
	}
	s.newest = timeline
	close(s.changed)
	s.changed = make(chan struct{})
	return before, true
}

// current returns the newest timeline and a channel that is closed when it rises.
func (s *storeTimeline) current() (newest uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest, s.changed
}

// ObserveStoreTimeline records the timeline that the store has stated in a response.
// A timeline that is higher than the one known means that the store has been restored
// from a copy: the node writes its record again and tells its peers.
func (n *Node) ObserveStoreTimeline(timeline uint64) {
	if restored := n.observeTimeline(timeline, "store"); restored {
		n.gossip.Broadcast(membership.Broadcast{
			Kind: timelineBroadcastKind, ID: fmt.Sprintf("store-timeline-%d", timeline), Payload: strconv.AppendUint(nil, timeline, 10), Expiry: time.Now().Add(timelineTTL),
		})
	}
}

// observeTimeline records a timeline and reports whether it shows a restore.
func (n *Node) observeTimeline(timeline uint64, source string) (restored bool) {
	before, newer := n.timeline.observe(timeline)
	if !newer {
		return false
	}
	spread := time.Duration(countPresent(n.gossip.Members())) * recordWriteSpacing
	n.record.update(func(k *recordsync.Keeper) { k.ObserveTimeline(time.Now(), timeline, spread) })
	if before == 0 {
		n.log.Info("timeline of the store known", "timeline", timeline, "source", source)
		return false
	}
	n.metrics.storeRestores.Inc()
	n.log.Warn("store restored from a copy", "timeline", timeline, "timeline_before", before, "source", source,
		"config_version", n.configuration.version(), "departures", len(n.departures()))
	return true
}

// receiveTimeline applies the news of a peer that the store has been restored.
func (n *Node) receiveTimeline(b membership.Broadcast) {
	timeline, err := strconv.ParseUint(string(b.Payload), 10, 64)
	if err != nil {
		n.log.Warn("failed to decode timeline of the store from peer", "id", b.ID, "error", err)
		return
	}
	n.observeTimeline(timeline, "peer")
}

// UntilStoreRestored returns a context that is canceled when the node learns that the
// store is on a later timeline than the given one, and a function that releases it.
func (n *Node) UntilStoreRestored(ctx context.Context, timeline uint64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	newest, changed := n.timeline.current()
	if newest > timeline {
		cancel()
		return ctx, cancel
	}
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
