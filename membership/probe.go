package membership

import (
	"net/netip"
	"time"

	"github.com/goldcrestsail/goldcrestsail/membership/internal/wire"
)

// A probe makes up to probeAttempts attempts, ProbeAttempt apart: direct pings,
// from the third attempt on with indirect ones. With 20% loss a single direct
// and indirect attempt would fail for 7% of the healthy members, and the
// suspicions alone would use up the traffic budget at 1,400 members.
const (
	probeAttempts        = 4
	firstIndirectAttempt = 3
)

// probe is one probe under way.
type probe struct {
	target *entry
	seq    uint32
	// attempts is how many attempts have been made.
	attempts int
	// next is when the next attempt, or the verdict, is due.
	next time.Time
	// requests and nacks count the peers asked and those that answered that
	// the target is silent.
	requests, nacks int
}

// relay is a ping made for another member.
type relay struct {
	seq       uint32
	target    *entry
	origin    netip.AddrPort
	originSeq uint32
	deadline  time.Time
}

// fewMembers is the table size below which a node asks for contacts with its
// pings: its probes would otherwise all go to the seeds.
const fewMembers = 8

// introductions is how many random members a node that knows few is told of.
// The updates in the queue alone would join each group of new members only to
// the seeds and not to the other groups.
const introductions = 4

// joinAnswerBytes bounds an answer to a joining member, which fetches the rest
// from the members that it is told of. With whole datagrams a seed would use
// up its budget on one join per second.
const joinAnswerBytes = 500

// introduce adds updates for a member that knows few others.
func (n *Node) introduce(b *builder) {
	for _, e := range n.randomPeers(introductions, nil) {
		left := n.budget.above(0) - b.size - PacketOverheadBytes
		b.addEntry(e, syncPart(e), left)
	}
	limit := b.limit
	b.limit = min(limit, joinAnswerBytes)
	n.fill(b, joinShares)
	b.limit = limit
}

// mayAnswerJoin reports whether the budget allows an answer.
func (n *Node) mayAnswerJoin() bool {
	return n.mayAfford(joinAnswerBytes+PacketOverheadBytes, 0)
}

// maxRelays bounds the pings under way for other members.
const maxRelays = 64

func (n *Node) attemptTime() time.Duration {
	return n.cfg.ProbeAttempt * time.Duration(1+n.health)
}

// startProbe probes the next member of a shuffled round (SWIM section 4.3).
func (n *Node) startProbe() {
	for range 2 {
		for ; n.cursor < len(n.order); n.cursor++ {
			e := n.order[n.cursor]
			if !e.State.Present() || n.members[e.ID] != e || n.probing(e) {
				continue
			}
			n.cursor++
			n.seq++
			p := &probe{target: e, seq: n.seq}
			n.probes = append(n.probes, p)
			n.attempt(p)
			return
		}
		n.order = append(n.order[:0], n.present...)
		n.cursor = 0
		n.rng.Shuffle(len(n.order), func(i, j int) { n.order[i], n.order[j] = n.order[j], n.order[i] })
	}
}

func (n *Node) probing(e *entry) bool {
	for _, p := range n.probes {
		if p.target == e {
			return true
		}
	}
	return false
}

// attempt makes the next attempt of p.
func (n *Node) attempt(p *probe) {
	p.attempts++
	p.next = n.now.Add(n.attemptTime())
	n.ping(p.target.Addr, p.target, p.seq)
	if p.attempts < firstIndirectAttempt {
		return
	}
	for _, peer := range n.randomPeers(n.cfg.IndirectProbes, p.target) {
		p.requests++
		b := n.newBuilder(&wire.Datagram{Body: &wire.Datagram_PingRequest{PingRequest: &wire.PingRequest{
			Seq: p.seq, Target: p.target.ID[:], Addr: appendAddr(nil, p.target.Addr)}}})
		n.send(peer.Addr, b)
	}
}

// ping sends a ping to target, or to whoever holds addr if target is nil.
func (n *Node) ping(addr netip.AddrPort, target *entry, seq uint32) {
	ping := &wire.Ping{Seq: seq, Few: len(n.present) < fewMembers}
	if target != nil {
		ping.Target = target.ID[:]
	}
	b := n.newBuilder(&wire.Datagram{Body: &wire.Datagram_Ping{Ping: ping}})
	if target == nil {
		b.addEntry(n.self, fullMeta, b.limit)
	} else if target.State != Alive {
		// The member itself can refute soonest.
		b.addEntry(target, noMeta, b.limit)
	}
	n.fill(b, probeShares)
	n.send(addr, b)
}

// finishProbes makes the attempts and verdicts that are due.
func (n *Node) finishProbes() {
	kept := n.probes[:0]
	for _, p := range n.probes {
		switch {
		case !p.target.State.Present():
			continue
		case p.next.After(n.now):
		case p.attempts < probeAttempts:
			n.attempt(p)
		default:
			n.failProbe(p)
			continue
		}
		kept = append(kept, p)
	}
	n.probes = kept
}

func (n *Node) failProbe(p *probe) {
	n.stats.Probes++
	n.stats.FailedProbes++
	// Peers that can be reached say so with a nack. If most are silent, the
	// fault is likely on this side.
	if p.nacks*2 < p.requests || p.requests == 0 {
		n.adjustHealth(1)
	}
	n.suspect(p.target)
}

func (n *Node) onPing(from netip.AddrPort, d *datagram, ping *wire.Ping) {
	known := n.lookup(d.sender)
	if len(ping.Target) == 0 && !n.mayAnswerJoin() {
		// A seed in the middle of a mass start cannot answer all; the joining
		// members are in its table by now and are contacted by others.
		return
	}
	b := n.newBuilder(&wire.Datagram{Body: &wire.Datagram_Ack{Ack: &wire.Ack{Seq: ping.Seq, Unknown: known == nil}}})
	if len(ping.Target) == 0 {
		b.addEntry(n.self, fullMeta, b.limit)
	}
	if e := n.senderStatus(d); e != nil {
		b.addEntry(e, noMeta, b.limit)
	}
	if ping.Few {
		n.introduce(b)
	} else {
		n.fill(b, probeShares)
	}
	n.send(from, b)
}

func (n *Node) onPingRequest(from netip.AddrPort, r *wire.PingRequest) {
	target, _ := parseID(r.Target)
	e := n.lookup(target)
	if e == nil || len(n.relays) >= maxRelays {
		return
	}
	n.seq++
	n.relays = append(n.relays, relay{seq: n.seq, target: e, origin: from, originSeq: r.Seq, deadline: n.now.Add(n.cfg.ProbeAttempt)})
	n.ping(e.Addr, e, n.seq)
}

func (n *Node) onAck(from netip.AddrPort, d *datagram, ack *wire.Ack) {
	// A member that learned of this node alone would send it all its probes,
	// so the answer also introduces others.
	if ack.Unknown && n.mayAnswerJoin() {
		b := n.noBody()
		b.addEntry(n.self, fullMeta, b.limit)
		n.introduce(b)
		n.send(from, b)
	}
	n.answerRelay(from, d, ack)
	for i, p := range n.probes {
		if p.seq != ack.Seq {
			continue
		}
		subject, relayed := parseID(ack.Subject)
		switch {
		case ack.Nack:
			p.nacks++
			return
		case relayed && subject == p.target.ID, !relayed && d.sender == p.target.ID:
			n.stats.Probes++
			n.adjustHealth(-1)
		case !relayed && from == p.target.Addr:
			n.replaced(p.target)
		default:
			return
		}
		n.probes = append(n.probes[:i], n.probes[i+1:]...)
		return
	}
}

// replaced notes that another process answered at the address of e.
func (n *Node) replaced(e *entry) {
	if e.State.Present() {
		n.declareDead(e)
		n.emit(MemberChanged{e.Member})
	}
}

func (n *Node) answerRelay(from netip.AddrPort, d *datagram, ack *wire.Ack) {
	for i, r := range n.relays {
		if r.seq != ack.Seq || from != r.target.Addr {
			continue
		}
		if d.sender != r.target.ID {
			n.replaced(r.target)
		} else {
			n.send(r.origin, n.newBuilder(&wire.Datagram{Body: &wire.Datagram_Ack{Ack: &wire.Ack{Seq: r.originSeq, Subject: r.target.ID[:]}}}))
		}
		n.relays = append(n.relays[:i], n.relays[i+1:]...)
		return
	}
}

// expireRelays answers with a nack where the target was silent.
func (n *Node) expireRelays() {
	kept := n.relays[:0]
	for _, r := range n.relays {
		if r.deadline.After(n.now) {
			kept = append(kept, r)
			continue
		}
		n.send(r.origin, n.newBuilder(&wire.Datagram{Body: &wire.Datagram_Ack{Ack: &wire.Ack{Seq: r.originSeq, Nack: true}}}))
	}
	n.relays = kept
}
