package membership

import (
	"net/netip"

	"github.com/goldcrestsail/goldcrestsail/membership/internal/wire"
)

// receive validates a datagram, applies its updates and answers its body.
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
		if n.addBroadcast(m) {
			n.emit(BroadcastReceived{m})
		}
	}
	n.processSender(from, d)
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

// processSender processes the header: it detects that another process has taken
// over an address, and records the configuration offset of the sender.
func (n *Node) processSender(from netip.AddrPort, d *datagram) {
	if holder := n.presentByAddr[from]; holder != nil && holder.ID != d.sender {
		// A new process uses the address of an old one. If the datagram is a
		// delayed one from the old process, the new process refutes its death.
		n.declareDead(holder)
		n.emit(MemberChanged{holder.Member})
	}
	if d.configOffset <= n.highestConfigOffset || d.configOffset <= n.ownConfigOffset {
		return
	}
	if e := n.lookup(d.sender); e != nil && e.Meta.PeerAddr.IsValid() {
		n.highestConfigOffset, n.highestOffsetPeer = d.configOffset, e.Meta.PeerAddr
		n.emit(ConfigOffsetSeen{PeerAddr: e.Meta.PeerAddr, Offset: d.configOffset})
	}
}

// senderStatus returns the entry of the sender of d if this node considers it
// suspect, dead or left and it has not refuted that yet, and nil otherwise.
func (n *Node) senderStatus(d *datagram) *entry {
	if e := n.lookup(d.sender); e != nil && e.State != Alive && e.Incarnation >= d.incarnation {
		return e
	}
	return nil
}
