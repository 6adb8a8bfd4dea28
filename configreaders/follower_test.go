package configreaders

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	simStep  = 50 * time.Millisecond
	simSteps = 400
	// readTimeout is how long a read of the store waits for a record, and
	// silenceTimeout when a node notices that its connection to the store is dead.
	readTimeout    = 10 * time.Second
	silenceTimeout = 3 * time.Second
	// memberDelay is how long a stopped node stays in the views of the others.
	memberDelay = 3 * time.Second
	// staleBound is the time within which a node that reaches the store has to have
	// a published version: the time for the shortest deadline of the platform.
	staleBound = 2 * time.Second
)

// storeLink is the state of a node's connection to the store.
type storeLink uint8

const (
	linkUp storeLink = iota
	linkRefused
	linkSilent
)

// simNode is one node in virtual time.
type simNode struct {
	peer     Peer
	follower *Follower
	version  int
	up       bool
	downAt   time.Duration
	link     storeLink
	// isolated reports that no other node reaches this one.
	isolated bool
	// reading, confirmed and watching are the step in progress since began.
	reading, confirmed bool
	watching           *simNode
	began              time.Duration
	// eligibleSince is since when the node runs and reaches the store.
	eligibleSince time.Duration
}

// simDomain is a failure domain without gossip of versions, the worst case.
type simDomain struct {
	nodes     []*simNode
	now       time.Duration
	version   int
	published []time.Duration
	restarts  int
	silent    bool
}

func (d *simDomain) start(n *simNode) {
	d.restarts++
	n.peer = Peer{ID: fmt.Sprintf("%x-%d", (d.restarts*7919)%4096, d.restarts), Address: n.peer.Address}
	n.follower, n.version, n.up, n.reading, n.watching, n.confirmed = NewFollower(n.peer), -1, true, false, nil, false
	n.eligibleSince = d.now
}

// view returns the members that a node knows besides itself.
func (d *simDomain) view(n *simNode) []Peer {
	var peers []Peer
	for _, m := range d.nodes {
		if m != n && (m.up || d.now-m.downAt < memberDelay) {
			peers = append(peers, m.peer)
		}
	}
	return peers
}

func (d *simDomain) find(p Peer) *simNode {
	for _, m := range d.nodes {
		if m.peer.ID == p.ID {
			return m
		}
	}
	return nil
}

func (d *simDomain) advance(n *simNode) {
	if !n.up {
		return
	}
	elapsed := d.now - n.began
	switch {
	case n.reading:
		d.advanceRead(n, elapsed)
	case n.watching != nil:
		d.advanceWatch(n, elapsed)
	default:
		action := n.follower.Next(d.view(n), n.version >= 0)
		n.began, n.reading, n.watching = d.now, action.ReadStore, nil
		if !action.ReadStore {
			n.watching = d.find(action.Reader)
		}
	}
}

func (d *simDomain) advanceRead(n *simNode, elapsed time.Duration) {
	switch {
	case n.link == linkUp && (n.version < d.version || elapsed >= readTimeout):
		n.version, n.confirmed = d.version, true
	case n.link == linkRefused, n.link == linkSilent && elapsed >= silenceTimeout:
		n.confirmed = false
	default:
		return
	}
	n.reading = false
	n.follower.StoreRead()
}

func (d *simDomain) advanceWatch(n *simNode, elapsed time.Duration) {
	r := n.watching
	reachable := r.up && !n.isolated && !r.isolated
	confirmed := r.reading && r.confirmed
	switch {
	case reachable && r.version > n.version:
		n.version = r.version
		n.follower.Watched(confirmed)
	case reachable && (!confirmed || elapsed >= HoldTime):
		n.follower.Watched(confirmed)
	case !reachable && elapsed >= WatchTimeout:
		n.follower.WatchFailed(true)
	default:
		return
	}
	n.watching = nil
}

// check requires that every node that runs and reaches the store is up to date.
func (d *simDomain) check(t *rapid.T) {
	bound := staleBound
	if d.silent {
		bound += silenceTimeout
	}
	for i, n := range d.nodes {
		if !n.up || n.link != linkUp || n.version >= d.version {
			continue
		}
		since := max(n.eligibleSince, d.published[n.version+1])
		if d.now-since > bound {
			t.Fatalf("at %v node %d has version %d of %d for %v (reading %t)", d.now, i, n.version, d.version, d.now-since, n.reading)
		}
	}
}

// Guards against a node that reaches the store and stays behind because the readers
// that it depends on are killed, isolated, cut off from the store or silent, in any
// order, also all of them in the second of a change.
func TestNodeThatReachesStoreIsNeverLeftBehind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &simDomain{published: []time.Duration{0}}
		for i := range rapid.IntRange(1, 24).Draw(t, "nodes") {
			n := &simNode{peer: Peer{Address: fmt.Sprint(i)}}
			d.nodes = append(d.nodes, n)
			d.start(n)
		}
		for range simSteps {
			d.now += simStep
			if rapid.IntRange(0, 3).Draw(t, "event") == 0 {
				d.inject(t)
			}
			for _, n := range d.nodes {
				d.advance(n)
			}
			d.check(t)
		}
	})
}

func (d *simDomain) inject(t *rapid.T) {
	n := d.nodes[rapid.IntRange(0, len(d.nodes)-1).Draw(t, "node")]
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 7:
		for _, m := range d.nodes {
			m.isolated = true
		}
	case 0:
		d.version++
		d.published = append(d.published, d.now)
	case 1:
		n.up, n.downAt = false, d.now
	case 2:
		if !n.up {
			d.start(n)
		}
	case 3:
		n.isolated = !n.isolated
	case 4, 5:
		n.link = linkRefused
	case 6:
		n.link = linkSilent
		d.silent = true
	}
	if rapid.Bool().Draw(t, "heal") {
		n.link, n.eligibleSince = linkUp, d.now
	}
}

// Guards against readers whose number grows with the nodes as fast as before, and
// against a domain without a reader.
func TestReaderCount(t *testing.T) {
	for nodes, want := range map[int]int{1: 1, 3: 3, 4: 4, 5: 4, 32: 4, 33: 5, 127: 16} {
		require.Equal(t, want, ReaderCount(nodes), "%d nodes", nodes)
	}
}

// Guards against views in a different order that give different readers, and against
// a node that follows itself.
func TestAllNodesAgreeOnReaders(t *testing.T) {
	var all []Peer
	for i := range 40 {
		all = append(all, Peer{ID: fmt.Sprintf("%02d", i*37%40)})
	}
	reading := 0
	for rotation, self := range all {
		var others []Peer
		for i := range all {
			if p := all[(i+rotation)%len(all)]; p != self {
				others = append(others, p)
			}
		}
		action := NewFollower(self).Next(others, true)
		if action.ReadStore {
			require.Equal(t, IsReader, action.Reason)
			reading++
		} else {
			require.Less(t, action.Reader.ID, "05")
		}
	}
	require.Equal(t, ReaderCount(len(all)), reading)
}
