package membership

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// broadcastKey identifies a broadcast regardless of its version.
type broadcastKey struct {
	kind uint32
	id   string
}

// broadcastRecord is a node's record of one broadcast that has not expired.
type broadcastRecord struct {
	Broadcast
	// digest covers all fields of the broadcast.
	digest uint64
	bucket int
	// index is the position in Node.broadcastList.
	index int
	rumor rumor
}

func broadcastDigest(b *Broadcast) uint64 {
	h := xxhash.New()
	var n [12]byte
	binary.LittleEndian.PutUint32(n[:], b.Kind)
	binary.LittleEndian.PutUint64(n[4:], uint64(b.Expiry.UnixMilli()))
	_, _ = h.Write(n[:])
	_, _ = h.WriteString(b.ID)
	_, _ = h.Write(b.Payload)
	return h.Sum64()
}

// supersedes reports whether b is a later version than old.
func (b *Broadcast) supersedes(old *Broadcast) bool {
	if !b.Expiry.Equal(old.Expiry) {
		return b.Expiry.After(old.Expiry)
	}
	return bytes.Compare(b.Payload, old.Payload) > 0
}

// expiryTolerance allows for clock differences between instances.
const expiryTolerance = time.Minute

// addBroadcast stores b and queues it for dissemination. It returns false if b
// is expired, out of bounds, already known or older than the known version, or
// if the table is full of broadcasts that expire no earlier.
func (n *Node) addBroadcast(b Broadcast) bool {
	if !b.Expiry.After(n.now) {
		return false
	}
	if !validBroadcast(b) || b.Expiry.After(n.now.Add(MaxBroadcastLifetime+expiryTolerance)) {
		n.stats.MalformedBroadcasts++
		return false
	}
	b.Expiry = time.UnixMilli(b.Expiry.UnixMilli())
	key := broadcastKey{b.Kind, b.ID}
	record := n.broadcasts[key]
	if record != nil {
		if !b.supersedes(&record.Broadcast) {
			if b.Expiry.Equal(record.Expiry) {
				record.rumor.countDuplicate()
			}
			return false
		}
		n.removeBroadcast(record)
	} else if len(n.broadcastList) >= n.cfg.MaxBroadcasts {
		soonest := n.broadcastList[0]
		for _, other := range n.broadcastList {
			if other.Expiry.Before(soonest.Expiry) {
				soonest = other
			}
		}
		n.stats.Evicted++
		if !soonest.Expiry.Before(b.Expiry) {
			return false
		}
		n.removeBroadcast(soonest)
	}
	b.Payload = bytes.Clone(b.Payload)
	record = &broadcastRecord{Broadcast: b, index: len(n.broadcastList)}
	record.digest = broadcastDigest(&record.Broadcast)
	record.bucket = memberBuckets + int(xxhash.Sum64String(b.ID)%broadcastBuckets)
	n.broadcastList = append(n.broadcastList, record)
	n.broadcasts[key] = record
	n.bucketDigests[record.bucket] ^= record.digest
	n.enqueue(queueItem{broadcast: record}, urgent, false)
	return true
}

func (n *Node) removeBroadcast(record *broadcastRecord) {
	last := n.broadcastList[len(n.broadcastList)-1]
	n.broadcastList[record.index] = last
	last.index = record.index
	n.broadcastList = n.broadcastList[:len(n.broadcastList)-1]
	delete(n.broadcasts, broadcastKey{record.Kind, record.ID})
	n.bucketDigests[record.bucket] ^= record.digest
	record.rumor.queued = false
}

func (n *Node) expireBroadcasts() {
	for i := len(n.broadcastList) - 1; i >= 0; i-- {
		if record := n.broadcastList[i]; !record.Expiry.After(n.now) {
			n.removeBroadcast(record)
		}
	}
}
