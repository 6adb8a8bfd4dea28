package node

import (
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/policy"
)

// localTarget is the state of the target instance that this node serves. It is
// safe for concurrent use.
type localTarget struct {
	mu             sync.Mutex
	announcement   Announcement
	state          TargetState
	lastSeen       time.Time
	crashedAt      time.Time
	client         *targetClient
	maxConnections int
	// running maps each request that was passed to the target to its
	// fingerprint.
	running   map[uint64]uint64
	lastRunID uint64
}

func newLocalTarget() *localTarget {
	return &localTarget{state: Down, running: map[uint64]uint64{}}
}

// recordAnnouncement stores an announcement. changed reports that it differs from
// the previous one; started reports that the target became ready after it was
// down or starting, so that its cold start begins.
func (t *localTarget) recordAnnouncement(now time.Time, a Announcement) (changed, started bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous, previousState := t.announcement, t.state
	t.announcement, t.state, t.lastSeen = a, a.State, now
	if t.client != nil && previous.Address != a.Address {
		t.client.close()
		t.client = nil
	}
	started = a.State == Ready && (previousState == Down || previousState == Starting)
	return previous != a || previousState != a.State, started
}

// markDown records that the target's process has exited. It returns the
// fingerprints of the requests that were running, or false if the target was
// already down.
func (t *localTarget) markDown(now time.Time) ([]uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == Down {
		return nil, false
	}
	t.state, t.crashedAt = Down, now
	fingerprints := make([]uint64, 0, len(t.running))
	for _, f := range t.running {
		fingerprints = append(fingerprints, f)
	}
	return fingerprints, true
}

// expire marks a target that stopped announcing itself as down.
func (t *localTarget) expire(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == Down || t.lastSeen.IsZero() || now.Sub(t.lastSeen) < announcementLifetime {
		return false
	}
	t.state = Down
	return true
}

// current returns the announcement and the state.
func (t *localTarget) current() (Announcement, TargetState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.announcement, t.state
}

// clientFor returns the client of the target. It creates a new one when the
// connection limit of the policy changes.
func (t *localTarget) clientFor(p *policy.Policy) *targetClient {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.client == nil || t.maxConnections != p.Connections {
		if t.client != nil {
			t.client.close()
		}
		t.client = newTargetClient(t.announcement.Address, p.Connections)
		t.maxConnections = p.Connections
	}
	return t.client
}

// begin records a request that is passed to the target and returns its run ID.
func (t *localTarget) begin(fingerprint uint64) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastRunID++
	t.running[t.lastRunID] = fingerprint
	return t.lastRunID
}

func (t *localTarget) end(run uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, run)
}

func (t *localTarget) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.client != nil {
		t.client.close()
	}
}
