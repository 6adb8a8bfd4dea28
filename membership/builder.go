package membership

import (
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/goldcrestsail/goldcrestsail/membership/internal/wire"
)

// builder assembles one datagram of at most limit bytes. size is the encoded
// size of msg so far.
type builder struct {
	msg   *wire.Datagram
	size  int
	limit int
}

func (n *Node) newBuilder(msg *wire.Datagram) *builder {
	msg.Cluster = n.cluster
	msg.Sender = n.self.ID[:]
	msg.Incarnation = n.self.Incarnation
	msg.ConfigOffset = n.ownConfigOffset
	return &builder{msg: msg, size: proto.Size(msg), limit: n.cfg.MaxDatagramBytes}
}

// fits reports whether the datagram has room for extraBytes more.
func (b *builder) fits(extraBytes int) bool { return b.size+extraBytes <= b.limit }

// fieldSize returns the encoded size of an embedded message of n bytes whose
// field tag takes one byte.
func fieldSize(n int) int { return 1 + protowire.SizeBytes(n) }

// nameRef returns the reference to s in the name table of the datagram, and the
// number of bytes that the table grows by. added collects the names of the
// current update that are not in the table yet.
func (b *builder) nameRef(s string, added *[]string) (ref uint32, cost int) {
	if s == "" {
		return 0, 0
	}
	if i := slices.Index(b.msg.Names, s); i >= 0 {
		return uint32(i + 1), 0
	}
	if i := slices.Index(*added, s); i >= 0 {
		return uint32(len(b.msg.Names) + i + 1), 0
	}
	*added = append(*added, s)
	return uint32(len(b.msg.Names) + len(*added)), fieldSize(len(s))
}

// metaPart is the part of a member's metadata that an encoded update contains.
type metaPart uint8

const (
	noMeta metaPart = iota
	// targetStateOnly can be applied only by receivers that already have the
	// current description.
	targetStateOnly
	fullMeta
)

// addEntry appends an update about e if it takes at most maxBytes and fits into
// the datagram. It reports whether it was added.
func (b *builder) addEntry(e *entry, part metaPart, maxBytes int) bool {
	u := &wire.Update{Id: e.ID[:], Incarnation: e.Incarnation, State: uint32(e.State)}
	if e.State == Suspect && e.suspicion != nil {
		u.Suspector = e.suspicion.latestSuspector
	}
	var added []string
	cost := 0
	if part != noMeta {
		if e.metaIncarnation != e.Incarnation {
			u.MetaIncarnation = e.metaIncarnation
		}
		u.Description = e.descIncarnation
		u.TargetState = uint32(e.Meta.TargetState)
	}
	if part == fullMeta {
		m := e.Meta
		u.Addr = appendAddr(nil, e.Addr)
		u.PeerAddr = appendPeerAddr(nil, m.PeerAddr, e.Addr)
		u.Slots = m.Slots
		for _, f := range []struct {
			ref *uint32
			s   string
		}{{&u.Customer, m.Customer}, {&u.Service, m.Service}, {&u.FailureDomain, m.FailureDomain}, {&u.Region, m.Region}} {
			ref, c := b.nameRef(f.s, &added)
			*f.ref = ref
			cost += c
		}
	}
	cost += fieldSize(proto.Size(u))
	if cost > maxBytes || !b.fits(cost) {
		return false
	}
	b.msg.Names = append(b.msg.Names, added...)
	b.msg.Updates = append(b.msg.Updates, u)
	b.size += cost
	return true
}

// addBroadcast appends broadcast if it takes at most maxBytes and fits into the
// datagram. It reports whether it was added.
func (b *builder) addBroadcast(broadcast *Broadcast, maxBytes int) bool {
	w := &wire.Broadcast{Kind: broadcast.Kind, Id: broadcast.ID, Payload: broadcast.Payload, ExpiryMs: broadcast.Expiry.UnixMilli()}
	cost := fieldSize(proto.Size(w))
	if cost > maxBytes || !b.fits(cost) {
		return false
	}
	b.msg.Broadcasts = append(b.msg.Broadcasts, w)
	b.size += cost
	return true
}

// addBucket appends a bucket to a Sync body if it fits, and reports whether it
// did.
func (b *builder) addBucket(s *wire.Sync, bucket *wire.Bucket) bool {
	// The length prefix of the body can grow by this many bytes.
	const lengthGrowth = 2
	cost := fieldSize(proto.Size(bucket))
	if !b.fits(cost + lengthGrowth) {
		return false
	}
	s.Buckets = append(s.Buckets, bucket)
	b.size = proto.Size(b.msg)
	return true
}

func (b *builder) marshal() []byte {
	out, err := proto.Marshal(b.msg)
	if err != nil {
		// Marshal fails only for strings that are not valid UTF-8, and all
		// strings have been validated.
		panic("membership: marshal datagram: " + err.Error())
	}
	return out
}
