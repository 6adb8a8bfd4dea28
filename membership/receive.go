package membership

import (
	"net/netip"

	"github.com/goldcrestsail/goldcrestsail/membership/internal/wire"
)

// receive handles a datagram from outside.
func (n *Node) receive(from netip.AddrPort, b []byte) {
	from = unmapAddrPort(from)
	if len(b) > n.cfg.MaxDatagramBytes || !from.IsValid() {
		n.stats.Malformed++
		return
	}
	d, err := decodeDatagram(b, n.names.intern)
	if err != nil {
		n.stats.Malformed++
		return
	}
	if d.cluster != n.cluster {
		n.stats.OtherCluster++
		return
	}
	if d.sender == n.self.ID {
		return
	}
	n.stats.DatagramsReceived++
	n.stats.BytesReceived += uint64(len(b) + PacketOverheadBytes)
	_, n.syncing = d.body.(*wire.Sync)
	var outdated []*entry
	for i := range d.updates {
		if e := n.apply(&d.updates[i]); e != nil {
			outdated = append(outdated, e)
		}
	}
	for _, m := range d.broadcasts {
		if n.addMessage(m) {
			n.emit(BroadcastReceived{m})
		}
	}
	n.noteSender(from, d)
	switch body := d.body.(type) {
	case *wire.Ping:
		n.onPing(from, d, body)
	case *wire.PingRequest:
		n.onPingRequest(from, body)
	case *wire.Ack:
		n.onAck(from, d, body)
	case *wire.Digest:
		n.onDigest(from, body)
	case *wire.Sync:
		n.onSync(from, body, outdated)
	}
}

// noteSender learns from the header: who holds the address now, and which
// configuration offset the sender has.
func (n *Node) noteSender(from netip.AddrPort, d *datagram) {
	if y := n.byAddr[from]; y != nil && y.ID != d.sender {
		// A new process holds the address of an old one. If the datagram was
		// late and the old one is the sender, the new one refutes.
		n.declareDead(y)
		n.emit(MemberChanged{y.Member})
	}
	if d.configOffset <= n.highestOffset || d.configOffset <= n.ownOffset {
		return
	}
	if e := n.lookup(d.sender); e != nil && e.Meta.PeerAddr.IsValid() {
		n.highestOffset, n.highestFrom = d.configOffset, e.Meta.PeerAddr
		n.emit(ConfigOffsetSeen{PeerAddr: e.Meta.PeerAddr, Offset: d.configOffset})
	}
}

// senderStatus returns the entry to send back to the sender of d if this node
// holds a statement against it that it has not refuted yet.
func (n *Node) senderStatus(d *datagram) *entry {
	if e := n.lookup(d.sender); e != nil && e.State != Alive && e.Incarnation >= d.incarnation {
		return e
	}
	return nil
}
