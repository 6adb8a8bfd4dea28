package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/goldcrestsail/goldcrestsail/membership/internal/wire"
)

const (
	// maxSyncBuckets bounds the buckets requested in one exchange, so that a
	// joining member distributes its requests over several members.
	maxSyncBuckets = 16
	// maxSyncDatagrams bounds the datagrams in one answer.
	maxSyncDatagrams = 6
	// minSyncBudget is the budget, in bytes, that must be left to answer a root
	// digest with bucket digests. With less, the digests would cost more than
	// the updates that the exchange could still send.
	minSyncBudget = 3000
	// fastSyncInterval is the time between exchanges while the last one found
	// many differences, such as after a start or a partition.
	fastSyncInterval = 500 * time.Millisecond
	// fastSyncBuckets is the number of differing buckets above which
	// fastSyncInterval applies. Fewer differ regularly while single updates are
	// being disseminated.
	fastSyncBuckets = 8
	// bucketRequestTimeout is the time before a bucket is requested again.
	bucketRequestTimeout = time.Second
)

// hasBudget reports whether an optional datagram can be sent while the fraction
// reserve of the burst is kept. If not, it counts the datagram as deferred.
func (n *Node) hasBudget(bytes int, reserve float64) bool {
	if n.budget.available(reserve) >= bytes {
		return true
	}
	n.stats.Deferred++
	return false
}

// startSync sends the root digest to a random member. The exchange is the
// anti-entropy of Demers et al. (PODC 1987) with digests: first of the root,
// then of the buckets, then of the entries in differing buckets.
func (n *Node) startSync() {
	peers := n.updatePeers(1)
	if len(peers) == 0 || !n.hasBudget(100, syncReserve) {
		return
	}
	n.send(peers[0].Addr, n.newBuilder(&wire.Datagram{Body: &wire.Datagram_Digest{Digest: &wire.Digest{Root: n.rootDigest()}}}))
}

// onDigest answers a differing root digest with the bucket digests, and bucket
// digests with a request for the buckets that differ.
func (n *Node) onDigest(from netip.AddrPort, d *wire.Digest) {
	if d.Root == n.rootDigest() {
		return
	}
	if len(d.Buckets) == 0 {
		if !n.hasBudget(minSyncBudget, syncReserve) {
			return
		}
		reply := &wire.Digest{Root: n.rootDigest(), Buckets: make([]uint32, bucketCount)}
		for i, h := range n.bucketDigests {
			reply.Buckets[i] = uint32(h)
		}
		n.send(from, n.newBuilder(&wire.Datagram{Body: &wire.Datagram_Digest{Digest: reply}}))
		return
	}
	var differing []int
	for i, h := range d.Buckets {
		if h != uint32(n.bucketDigests[i]) {
			differing = append(differing, i)
		}
	}
	if len(differing) > fastSyncBuckets {
		n.nextSync = n.now.Add(n.jitter(fastSyncInterval))
	}
	if !n.hasBudget(400, syncReserve) {
		return
	}
	n.rng.Shuffle(len(differing), func(i, j int) { differing[i], differing[j] = differing[j], differing[i] })
	s := &wire.Sync{}
	b := n.newBuilder(&wire.Datagram{Body: &wire.Datagram_Sync{Sync: s}})
	for _, i := range differing {
		if n.now.Sub(n.bucketRequestedAt[i]) < bucketRequestTimeout {
			continue
		}
		if len(s.Buckets) >= maxSyncBuckets || !b.addBucket(s, n.listBucket(i)) {
			break
		}
		n.bucketRequestedAt[i] = n.now
	}
	if len(s.Buckets) > 0 {
		n.send(from, b)
	}
}

// listBucket returns the digests, truncated to 32 bits, of the present members
// or broadcasts that this node has in bucket i.
func (n *Node) listBucket(i int) *wire.Bucket {
	out := &wire.Bucket{Index: uint32(i)}
	if i >= memberBuckets {
		for _, record := range n.broadcastList {
			if record.bucket == i {
				out.Hashes = append(out.Hashes, uint32(record.digest))
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

// syncAnswer sends the answer to one sync request as a series of datagrams.
type syncAnswer struct {
	n    *Node
	to   netip.AddrPort
	body *wire.Sync
	b    *builder
	sent int
}

func (a *syncAnswer) startDatagram() {
	a.body = &wire.Sync{Stage: maxSyncStage}
	a.b = a.n.newBuilder(&wire.Datagram{Body: &wire.Datagram_Sync{Sync: a.body}})
}

func (a *syncAnswer) flush() {
	if len(a.b.msg.Updates)+len(a.b.msg.Broadcasts)+len(a.body.Buckets) == 0 {
		return
	}
	a.n.send(a.to, a.b)
	a.sent++
	a.startDatagram()
}

// add adds one entry by calling tryAdd, and starts another datagram if the
// current one is full. It returns false if the number of datagrams or the budget
// does not allow that.
func (a *syncAnswer) add(tryAdd func(b *builder, maxBytes int) bool) bool {
	for range 2 {
		available := a.n.budget.available(syncReserve) - a.b.size - PacketOverheadBytes
		if tryAdd(a.b, available) {
			return true
		}
		if a.sent+1 >= maxSyncDatagrams || available < a.b.limit-a.b.size {
			a.n.stats.Deferred++
			return false
		}
		a.flush()
	}
	return false
}

// onSync answers with what the sender lacks. outdated holds the entries for
// which the datagram had an older update than the local state.
func (n *Node) onSync(from netip.AddrPort, s *wire.Sync, outdated []*entry) {
	a := &syncAnswer{n: n, to: from}
	a.startDatagram()
	for _, e := range outdated {
		if !a.add(func(b *builder, maxBytes int) bool { return b.addEntry(e, metaPartForSync(e), maxBytes) }) {
			break
		}
	}
	var reverseRequests []int
	for _, bucket := range s.Buckets {
		if len(reverseRequests) >= maxSyncBuckets {
			break
		}
		remoteHashes := slices.Clone(bucket.Hashes)
		slices.Sort(remoteHashes)
		sentAny, missingHere, hasRoom := n.answerBucket(a, int(bucket.Index), remoteHashes)
		if s.Stage == 0 && len(remoteHashes) > 0 && (sentAny || missingHere) {
			reverseRequests = append(reverseRequests, int(bucket.Index))
		}
		if !hasRoom {
			break
		}
	}
	// The answer also requests the buckets in which this node may lack entries.
	// An answer without such requests ends the exchange.
	for _, i := range reverseRequests {
		list := n.listBucket(i)
		if !a.add(func(b *builder, maxBytes int) bool {
			return fieldSize(4+4*len(list.Hashes)) <= maxBytes && b.addBucket(a.body, list)
		}) {
			break
		}
		a.body.Stage = 1
		n.bucketRequestedAt[i] = n.now
	}
	a.flush()
}

// metaPartForSync returns the part of the metadata that an anti-entropy update
// about e contains: all of it for present members, because the receiver may have
// none.
func metaPartForSync(e *entry) metaPart {
	if e.State.Present() {
		return fullMeta
	}
	return noMeta
}

// answerBucket adds the entries of bucket i that the other member lacks to a.
// remoteHashes is the sorted list of the digests that it has. missingHere is
// true if the list has a digest that this node lacks; hasRoom is false if the
// answer is full.
func (n *Node) answerBucket(a *syncAnswer, i int, remoteHashes []uint32) (sentAny, missingHere, hasRoom bool) {
	matched := 0
	if i >= memberBuckets {
		for _, record := range n.broadcastList {
			if record.bucket != i {
				continue
			}
			if _, ok := slices.BinarySearch(remoteHashes, uint32(record.digest)); ok {
				matched++
				continue
			}
			if !a.add(func(b *builder, maxBytes int) bool { return b.addBroadcast(&record.Broadcast, maxBytes) }) {
				return sentAny, matched < len(remoteHashes), false
			}
			sentAny = true
		}
		return sentAny, matched < len(remoteHashes), true
	}
	for _, e := range n.buckets[i] {
		_, listed := slices.BinarySearch(remoteHashes, uint32(e.digest))
		if listed {
			matched++
		}
		// Present members are sent if the other member lacks them, and absent
		// ones if it still lists them as present.
		if listed == e.State.Present() {
			continue
		}
		if !a.add(func(b *builder, maxBytes int) bool { return b.addEntry(e, metaPartForSync(e), maxBytes) }) {
			return sentAny, matched < len(remoteHashes), false
		}
		sentAny = true
	}
	return sentAny, matched < len(remoteHashes), true
}
