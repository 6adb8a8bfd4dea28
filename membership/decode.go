package membership

import (
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/membership/internal/wire"
)

// maxIncarnation bounds the incarnations accepted in datagrams, so that a
// member always has a higher one left to refute with.
const maxIncarnation = 1 << 56

// maxSyncStage is the last stage of an anti-entropy exchange.
const maxSyncStage = 2

// datagram is the validated form of wire.Datagram.
type datagram struct {
	cluster      uint32
	sender       uuid.UUID
	incarnation  uint64
	configOffset uint64
	// body is nil or the validated message of the wire.Datagram body, such as
	// *wire.Ping.
	body       any
	updates    []update
	broadcasts []Broadcast
}

func malformed(detail string) error { return kind.New(kind.Malformed, detail) }

// decodeDatagram parses and validates b. One invalid field rejects the whole
// datagram, because the other fields of a faulty sender cannot be trusted.
// intern returns a shared copy of a name.
func decodeDatagram(b []byte, intern func(string) string) (*datagram, error) {
	var w wire.Datagram
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(b, &w); err != nil {
		return nil, malformed("datagram is not a valid protobuf message")
	}
	d := &datagram{cluster: w.Cluster, incarnation: w.Incarnation, configOffset: w.ConfigOffset}
	var ok bool
	if d.sender, ok = parseID(w.Sender); !ok {
		return nil, malformed("sender is not a non-zero UUID")
	}
	if w.Incarnation == 0 || w.Incarnation > maxIncarnation {
		return nil, malformed("sender incarnation out of range")
	}
	if err := d.checkBody(&w); err != nil {
		return nil, err
	}
	for i, s := range w.Names {
		if s == "" || !validName(s) {
			return nil, malformed("name is empty, too long or not UTF-8")
		}
		w.Names[i] = intern(s)
	}
	d.updates = make([]update, 0, len(w.Updates))
	for _, u := range w.Updates {
		checked, err := decodeUpdate(u, w.Names)
		if err != nil {
			return nil, err
		}
		d.updates = append(d.updates, checked)
	}
	for _, m := range w.Broadcasts {
		b := Broadcast{Kind: m.Kind, ID: m.Id, Payload: m.Payload, Expiry: time.UnixMilli(m.ExpiryMs)}
		if !validBroadcast(b) {
			return nil, malformed("broadcast kind, ID or payload out of bounds")
		}
		d.broadcasts = append(d.broadcasts, b)
	}
	return d, nil
}

func parseID(b []byte) (uuid.UUID, bool) {
	id, err := uuid.FromBytes(b)
	return id, err == nil && id != uuid.Nil
}

func (d *datagram) checkBody(w *wire.Datagram) error {
	switch body := w.Body.(type) {
	case nil:
		return nil
	case *wire.Datagram_Ping:
		if _, ok := parseID(body.Ping.GetTarget()); !ok && len(body.Ping.GetTarget()) != 0 {
			return malformed("ping target is not a non-zero UUID")
		}
		d.body = body.Ping
	case *wire.Datagram_PingRequest:
		if _, ok := parseID(body.PingRequest.GetTarget()); !ok {
			return malformed("ping request target is not a non-zero UUID")
		}
		if _, ok := parseAddr(body.PingRequest.GetAddr()); !ok {
			return malformed("ping request address is invalid")
		}
		d.body = body.PingRequest
	case *wire.Datagram_Ack:
		if _, ok := parseID(body.Ack.GetSubject()); !ok && len(body.Ack.GetSubject()) != 0 {
			return malformed("ack subject is not a non-zero UUID")
		}
		d.body = body.Ack
	case *wire.Datagram_Digest:
		if n := len(body.Digest.GetBuckets()); n != 0 && n != bucketCount {
			return malformed("digest has the wrong number of buckets")
		}
		d.body = body.Digest
	case *wire.Datagram_Sync:
		if body.Sync.GetStage() > maxSyncStage || len(body.Sync.GetBuckets()) > bucketCount {
			return malformed("sync stage or number of buckets out of range")
		}
		for _, b := range body.Sync.GetBuckets() {
			if b.Index >= bucketCount {
				return malformed("sync bucket index out of range")
			}
		}
		d.body = body.Sync
	}
	return nil
}

func decodeUpdate(w *wire.Update, names []string) (update, error) {
	u := update{incarnation: w.Incarnation, state: State(w.State), suspector: w.Suspector,
		metaIncarnation: w.MetaIncarnation, descIncarnation: w.Description}
	var ok bool
	if u.id, ok = parseID(w.Id); !ok {
		return u, malformed("update ID is not a non-zero UUID")
	}
	if w.State > uint32(Left) || w.Incarnation == 0 || w.Incarnation > maxIncarnation {
		return u, malformed("update state or incarnation out of range")
	}
	if u.descIncarnation == 0 {
		u.metaIncarnation = 0
		return u, nil
	}
	if u.metaIncarnation == 0 {
		u.metaIncarnation = u.incarnation
	}
	if u.metaIncarnation > u.incarnation || u.descIncarnation > u.metaIncarnation || w.TargetState > uint32(Down) {
		return u, malformed("update metadata incarnation or target state out of range")
	}
	u.meta.TargetState = TargetState(w.TargetState)
	if len(w.Addr) == 0 {
		return u, nil
	}
	u.hasFullMeta = true
	if u.addr, ok = parseAddr(w.Addr); !ok {
		return u, malformed("update address is invalid")
	}
	if u.meta.PeerAddr, ok = parsePeerAddr(w.PeerAddr, u.addr); !ok {
		return u, malformed("update peer address is invalid")
	}
	name := func(i uint32) string {
		if i == 0 || int64(i) > int64(len(names)) {
			ok = ok && i == 0
			return ""
		}
		return names[i-1]
	}
	u.meta.Customer, u.meta.Service = name(w.Customer), name(w.Service)
	u.meta.FailureDomain, u.meta.Region = name(w.FailureDomain), name(w.Region)
	u.meta.Slots = w.Slots
	if !ok || !validMeta(u.meta) {
		return u, malformed("update name reference, name or slots out of bounds")
	}
	return u, nil
}
