package membership

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// broadcastKey identifies a broadcast.
type broadcastKey struct {
	kind uint32
	id   string
}

// message is a node's record of one live broadcast.
type message struct {
	Broadcast
	digest uint64
	bucket int
	index  int
	rumor  rumor
}

func messageDigest(b *Broadcast) uint64 {
	h := xxhash.New()
	var n [12]byte
	binary.LittleEndian.PutUint32(n[:], b.Kind)
	binary.LittleEndian.PutUint64(n[4:], uint64(b.Expiry.UnixMilli()))
	_, _ = h.Write(n[:])
	_, _ = h.WriteString(b.ID)
	_, _ = h.Write(b.Payload)
	return h.Sum64()
}

// replaces reports whether b is a later version than old.
func (b *Broadcast) replaces(old *Broadcast) bool {
	if !b.Expiry.Equal(old.Expiry) {
		return b.Expiry.After(old.Expiry)
	}
	return bytes.Compare(b.Payload, old.Payload) > 0
}

// expiryTolerance allows for clocks that differ between instances.
const expiryTolerance = time.Minute

// addMessage stores b and queues it. It returns false for what is not news.
func (n *Node) addMessage(b Broadcast) bool {
	if !b.Expiry.After(n.now) {
		return false
	}
	if !validBroadcast(b) || b.Expiry.After(n.now.Add(MaxBroadcastLifetime+expiryTolerance)) {
		n.stats.MalformedBroadcasts++
		return false
	}
	b.Expiry = time.UnixMilli(b.Expiry.UnixMilli())
	key := broadcastKey{b.Kind, b.ID}
	m := n.messages[key]
	if m != nil {
		if !b.replaces(&m.Broadcast) {
			if b.Expiry.Equal(m.Expiry) {
				m.rumor.hear()
			}
			return false
		}
		n.dropMessage(m)
	} else if len(n.messageList) >= n.cfg.MaxBroadcasts {
		first := n.messageList[0]
		for _, o := range n.messageList {
			if o.Expiry.Before(first.Expiry) {
				first = o
			}
		}
		n.stats.Evicted++
		if !first.Expiry.Before(b.Expiry) {
			return false
		}
		n.dropMessage(first)
	}
	b.Payload = bytes.Clone(b.Payload)
	m = &message{Broadcast: b, index: len(n.messageList)}
	m.digest = messageDigest(&m.Broadcast)
	m.bucket = memberBuckets + int(xxhash.Sum64String(b.ID)%messageBuckets)
	n.messageList = append(n.messageList, m)
	n.messages[key] = m
	n.digests[m.bucket] ^= m.digest
	n.enqueue(item{message: m}, urgent, false)
	return true
}

func (n *Node) dropMessage(m *message) {
	last := n.messageList[len(n.messageList)-1]
	n.messageList[m.index] = last
	last.index = m.index
	n.messageList = n.messageList[:len(n.messageList)-1]
	delete(n.messages, broadcastKey{m.Kind, m.ID})
	n.digests[m.bucket] ^= m.digest
	m.rumor.queued = false
}

func (n *Node) expireMessages() {
	for i := len(n.messageList) - 1; i >= 0; i-- {
		if m := n.messageList[i]; !m.Expiry.After(n.now) {
			n.dropMessage(m)
		}
	}
}
