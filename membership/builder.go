package membership

import (
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/goldcrestsail/goldcrestsail/membership/internal/wire"
)

// builder assembles one datagram of at most limit bytes.
type builder struct {
	msg   *wire.Datagram
	size  int
	limit int
}

func (n *Node) newBuilder(msg *wire.Datagram) *builder {
	msg.Cluster = n.cluster
	msg.Sender = n.self.ID[:]
	msg.Incarnation = n.self.Incarnation
	msg.ConfigOffset = n.ownOffset
	return &builder{msg: msg, size: proto.Size(msg), limit: n.cfg.MaxDatagramBytes}
}

// room reports whether extra more bytes fit.
func (b *builder) room(extra int) bool { return b.size+extra <= b.limit }

// fieldSize is the size of an embedded message with a one-byte tag.
func fieldSize(n int) int { return 1 + protowire.SizeBytes(n) }

// name returns the reference of s in the name table and the bytes that adding
// it costs. added holds names that are not yet in the datagram.
func (b *builder) name(s string, added *[]string) (ref uint32, cost int) {
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

// metaPart says how much metadata an encoded update holds.
type metaPart uint8

const (
	noMeta metaPart = iota
	// targetStateOnly suits receivers that hold the same description.
	targetStateOnly
	fullMeta
)

// addEntry appends a statement about e if it fits within max bytes, and
// reports whether it did.
func (b *builder) addEntry(e *entry, part metaPart, max int) bool {
	u := &wire.Update{Id: e.ID[:], Incarnation: e.Incarnation, State: uint32(e.State)}
	if e.State == Suspect && e.suspicion != nil {
		u.Suspector = e.suspicion.latest
	}
	var added []string
	cost := 0
	if part != noMeta {
		if e.metaInc != e.Incarnation {
			u.MetaIncarnation = e.metaInc
		}
		u.Description = e.descInc
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
			ref, c := b.name(f.s, &added)
			*f.ref = ref
			cost += c
		}
	}
	cost += fieldSize(proto.Size(u))
	if cost > max || !b.room(cost) {
		return false
	}
	b.msg.Names = append(b.msg.Names, added...)
	b.msg.Updates = append(b.msg.Updates, u)
	b.size += cost
	return true
}

// addBroadcast appends m if it fits within max bytes.
func (b *builder) addBroadcast(m *Broadcast, max int) bool {
	w := &wire.Broadcast{Kind: m.Kind, Id: m.ID, Payload: m.Payload, ExpiryMs: m.Expiry.UnixMilli()}
	cost := fieldSize(proto.Size(w))
	if cost > max || !b.room(cost) {
		return false
	}
	b.msg.Broadcasts = append(b.msg.Broadcasts, w)
	b.size += cost
	return true
}

// addBucket appends a bucket to a Sync body if it fits. The reserve covers the
// growth of the length prefix of the body.
func (b *builder) addBucket(s *wire.Sync, bucket *wire.Bucket) bool {
	const lengthGrowth = 2
	cost := fieldSize(proto.Size(bucket))
	if !b.room(cost + lengthGrowth) {
		return false
	}
	s.Buckets = append(s.Buckets, bucket)
	b.size = proto.Size(b.msg)
	return true
}

func (b *builder) bytes() []byte {
	out, err := proto.Marshal(b.msg)
	if err != nil {
		// Only strings that are not UTF-8 fail here, and all have been checked.
		panic("membership: encoding a datagram: " + err.Error())
	}
	return out
}
