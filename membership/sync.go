package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/goldcrestsail/goldcrestsail/membership/internal/wire"
)

const (
	// maxSyncBuckets bounds the buckets asked for in one exchange, so that a
	// joining member spreads its questions over several members.
	maxSyncBuckets = 16
	// maxSyncDatagrams bounds the datagrams in one answer.
	maxSyncDatagrams = 6
	// minSyncBudget is what must be left, in bytes, to begin an exchange: the
	// digests would otherwise cost more than the updates that follow.
	minSyncBudget = 3000
	// eagerSyncInterval is the time between exchanges while the last one
	// showed many differences: at the start, or after a partition.
	eagerSyncInterval = 500 * time.Millisecond
	// eagerBuckets is how many differing buckets make exchanges eager. Fewer
	// are usual while single updates are on their way.
	eagerBuckets = 8
	// requestTimeout is how long a bucket that was asked for is not asked for
	// again.
	requestTimeout = time.Second
)

// mayAfford reports whether the budget allows an optional datagram.
func (n *Node) mayAfford(bytes int, share float64) bool {
	if n.budget.above(share) >= bytes {
		return true
	}
	n.stats.Deferred++
	return false
}

// startSync sends the root digest to a random member. The exchange is the
// anti-entropy of Demers et al. (PODC 1987) with digests: root, buckets, and the
// entries of differing buckets.
func (n *Node) startSync() {
	peers := n.randomPeers(1, nil)
	if len(peers) == 0 || !n.mayAfford(100, syncShare) {
		return
	}
	n.send(peers[0].Addr, n.newBuilder(&wire.Datagram{Body: &wire.Datagram_Digest{Digest: &wire.Digest{Root: n.root()}}}))
}

func (n *Node) onDigest(from netip.AddrPort, d *wire.Digest) {
	if d.Root == n.root() {
		return
	}
	if len(d.Buckets) == 0 {
		if !n.mayAfford(minSyncBudget, syncShare) {
			return
		}
		reply := &wire.Digest{Root: n.root(), Buckets: make([]uint32, bucketCount)}
		for i, h := range n.digests {
			reply.Buckets[i] = uint32(h)
		}
		n.send(from, n.newBuilder(&wire.Datagram{Body: &wire.Datagram_Digest{Digest: reply}}))
		return
	}
	var differing []int
	for i, h := range d.Buckets {
		if h != uint32(n.digests[i]) {
			differing = append(differing, i)
		}
	}
	if len(differing) > eagerBuckets {
		n.nextSync = n.now.Add(n.jitter(eagerSyncInterval))
	}
	if !n.mayAfford(400, syncShare) {
		return
	}
	n.rng.Shuffle(len(differing), func(i, j int) { differing[i], differing[j] = differing[j], differing[i] })
	s := &wire.Sync{}
	b := n.newBuilder(&wire.Datagram{Body: &wire.Datagram_Sync{Sync: s}})
	for _, i := range differing {
		if n.now.Sub(n.requestedAt[i]) < requestTimeout {
			continue
		}
		if len(s.Buckets) >= maxSyncBuckets || !b.addBucket(s, n.bucketList(i)) {
			break
		}
		n.requestedAt[i] = n.now
	}
	if len(s.Buckets) > 0 {
		n.send(from, b)
	}
}

// bucketList returns the short digests of what this node holds in bucket i.
func (n *Node) bucketList(i int) *wire.Bucket {
	out := &wire.Bucket{Index: uint32(i)}
	if i >= memberBuckets {
		for _, m := range n.messageList {
			if m.bucket == i {
				out.Hashes = append(out.Hashes, uint32(m.digest))
			}
		}
		return out
	}
	for _, e := range n.buckets[i] {
		if e.State.Present() && !(e == n.self && n.leaving) {
			out.Hashes = append(out.Hashes, uint32(e.digest))
		}
	}
	return out
}

// syncAnswer collects the datagrams of one answer.
type syncAnswer struct {
	n    *Node
	to   netip.AddrPort
	body *wire.Sync
	b    *builder
	sent int
}

func (a *syncAnswer) open() {
	a.body = &wire.Sync{Stage: maxSyncStage}
	a.b = a.n.newBuilder(&wire.Datagram{Body: &wire.Datagram_Sync{Sync: a.body}})
}

func (a *syncAnswer) flush() {
	if len(a.b.msg.Updates)+len(a.b.msg.Broadcasts)+len(a.body.Buckets) == 0 {
		return
	}
	a.n.send(a.to, a.b)
	a.sent++
	a.open()
}

// put adds one entry with fit, in a further datagram if need be. It returns
// false when the answer has reached its bounds.
func (a *syncAnswer) put(fit func(b *builder, max int) bool) bool {
	for range 2 {
		left := a.n.budget.above(syncShare) - a.b.size - PacketOverheadBytes
		if fit(a.b, left) {
			return true
		}
		if a.sent+1 >= maxSyncDatagrams || left < a.b.limit-a.b.size {
			a.n.stats.Deferred++
			return false
		}
		a.flush()
	}
	return false
}

// onSync answers with what the sender lacks. outdated holds entries about
// which the datagram said something older than this node knows.
func (n *Node) onSync(from netip.AddrPort, s *wire.Sync, outdated []*entry) {
	a := &syncAnswer{n: n, to: from}
	a.open()
	for _, e := range outdated {
		if !a.put(func(b *builder, max int) bool { return b.addEntry(e, syncPart(e), max) }) {
			break
		}
	}
	var asked []int
	for _, bucket := range s.Buckets {
		if len(asked) >= maxSyncBuckets {
			break
		}
		theirs := slices.Clone(bucket.Hashes)
		slices.Sort(theirs)
		sentAny, lacking, more := n.answerBucket(a, int(bucket.Index), theirs)
		if s.Stage == 0 && len(theirs) > 0 && (sentAny || lacking) {
			asked = append(asked, int(bucket.Index))
		}
		if !more {
			break
		}
	}
	// The counter-question travels with the answer. A leftover answer without
	// counter-questions ends the exchange.
	for _, i := range asked {
		list := n.bucketList(i)
		if !a.put(func(b *builder, max int) bool {
			return fieldSize(4+4*len(list.Hashes)) <= max && b.addBucket(a.body, list)
		}) {
			break
		}
		a.body.Stage = 1
		n.requestedAt[i] = n.now
	}
	a.flush()
}

// syncPart gives whole metadata for present members: the receiver may lack all of it.
func syncPart(e *entry) metaPart {
	if e.State.Present() {
		return fullMeta
	}
	return noMeta
}

// answerBucket adds to a what a member that holds theirs (sorted) lacks in
// bucket i. lacking says that theirs names something this node does not hold;
// more is false when the answer is full.
func (n *Node) answerBucket(a *syncAnswer, i int, theirs []uint32) (sentAny, lacking, more bool) {
	held := 0
	if i >= memberBuckets {
		for _, m := range n.messageList {
			if m.bucket != i {
				continue
			}
			if _, ok := slices.BinarySearch(theirs, uint32(m.digest)); ok {
				held++
				continue
			}
			if !a.put(func(b *builder, max int) bool { return b.addBroadcast(&m.Broadcast, max) }) {
				return sentAny, held < len(theirs), false
			}
			sentAny = true
		}
		return sentAny, held < len(theirs), true
	}
	for _, e := range n.buckets[i] {
		_, listed := slices.BinarySearch(theirs, uint32(e.digest))
		if listed {
			held++
		}
		// Present members are sent if they lack them, the others if they hold them.
		if listed == e.State.Present() {
			continue
		}
		if !a.put(func(b *builder, max int) bool { return b.addEntry(e, syncPart(e), max) }) {
			return sentAny, held < len(theirs), false
		}
		sentAny = true
	}
	return sentAny, held < len(theirs), true
}
