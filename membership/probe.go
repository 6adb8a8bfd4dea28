package membership

import (
	"net/netip"
	"time"

	"github.com/goldcrestsail/goldcrestsail/membership/internal/wire"
)

// A probe makes up to probeAttempts attempts at intervals of attemptInterval.
// Each attempt sends a direct ping, and attempts from firstIndirectAttempt on
// also send ping requests to other members. At 20% packet loss, one direct and
// one indirect attempt would fail for 7% of the healthy members, and
// disseminating those suspicions would use up the send budget at 1,400 members.
const (
	probeAttempts        = 4
	firstIndirectAttempt = 3
)

// probe is a probe in progress.
type probe struct {
	target *entry
	seq    uint32
	// attempts is how many attempts have been made.
	attempts int
	// nextAt is when the next attempt is due, or when the probe fails if no
	// attempt is left.
	nextAt time.Time
	// relayRequests counts the ping requests sent to other members, and nacks
	// the answers that the target did not respond.
	relayRequests, nacks int
}

// relay is a ping in progress on behalf of another member.
type relay struct {
	seq       uint32
	target    *entry
	origin    netip.AddrPort
	originSeq uint32
	deadline  time.Time
}

// smallTableSize is the number of present members below which a node asks for
// more members in its pings. It would otherwise probe only the seeds.
const smallTableSize = 8

// joinAnswerMembers is the number of random members included in an answer to a
// node that knows few members. With only the queued updates, each group of new
// members would learn about the seeds but not about the other groups.
const joinAnswerMembers = 4

// joinAnswerBytes bounds the answer to a joining member, which fetches the rest
// from the members in the answer. With full datagrams, one join per second
// would use up the send budget of a seed.
const joinAnswerBytes = 500

// addJoinAnswer adds some random members and then queued updates to an answer
// for a member that knows few others.
func (n *Node) addJoinAnswer(b *builder) {
	for _, e := range n.randomPeers(joinAnswerMembers, nil) {
		available := n.budget.available(0) - b.size - PacketOverheadBytes
		b.addEntry(e, metaPartForSync(e), available)
	}
	limit := b.limit
	b.limit = min(limit, joinAnswerBytes)
	n.addQueuedUpdates(b, joinReserves)
	b.limit = limit
}

// hasBudgetForJoinAnswer reports whether the budget allows an answer to a
// joining member.
func (n *Node) hasBudgetForJoinAnswer() bool {
	return n.hasBudget(joinAnswerBytes+PacketOverheadBytes, 0)
}

// maxRelays bounds the pings in progress on behalf of other members.
const maxRelays = 64

// attemptInterval returns the time between probe attempts, scaled by the health
// score as in Lifeguard.
func (n *Node) attemptInterval() time.Duration {
	return n.cfg.ProbeAttemptInterval * time.Duration(1+n.healthScore)
}

// startProbe probes the next member in probeOrder, which is shuffled at the end
// of each pass (SWIM section 4.3).
func (n *Node) startProbe() {
	for range 2 {
		for ; n.probeCursor < len(n.probeOrder); n.probeCursor++ {
			e := n.probeOrder[n.probeCursor]
			if !e.State.Present() || n.members[e.ID] != e || n.isProbing(e) {
				continue
			}
			n.probeCursor++
			n.lastSeq++
			p := &probe{target: e, seq: n.lastSeq}
			n.probes = append(n.probes, p)
			n.sendProbeAttempt(p)
			return
		}
		n.probeOrder = append(n.probeOrder[:0], n.present...)
		n.probeCursor = 0
		n.rng.Shuffle(len(n.probeOrder), func(i, j int) { n.probeOrder[i], n.probeOrder[j] = n.probeOrder[j], n.probeOrder[i] })
	}
}

func (n *Node) isProbing(e *entry) bool {
	for _, p := range n.probes {
		if p.target == e {
			return true
		}
	}
	return false
}

// sendProbeAttempt sends the pings of the next attempt of p.
func (n *Node) sendProbeAttempt(p *probe) {
	p.attempts++
	p.nextAt = n.now.Add(n.attemptInterval())
	n.ping(p.target.Addr, p.target, p.seq)
	if p.attempts < firstIndirectAttempt {
		return
	}
	for _, peer := range n.randomPeers(n.cfg.IndirectProbes, p.target) {
		p.relayRequests++
		b := n.newBuilder(&wire.Datagram{Body: &wire.Datagram_PingRequest{PingRequest: &wire.PingRequest{
			Seq: p.seq, Target: p.target.ID[:], Addr: appendAddr(nil, p.target.Addr)}}})
		n.send(peer.Addr, b)
	}
}

// ping sends a ping to target, or to any process at addr if target is nil.
func (n *Node) ping(addr netip.AddrPort, target *entry, seq uint32) {
	ping := &wire.Ping{Seq: seq, Few: len(n.present) < smallTableSize}
	if target != nil {
		ping.Target = target.ID[:]
	}
	b := n.newBuilder(&wire.Datagram{Body: &wire.Datagram_Ping{Ping: ping}})
	if target == nil {
		b.addEntry(n.self, fullMeta, b.limit)
	} else if target.State != Alive {
		// Tell the member that it is suspect or dead, so that it can refute.
		b.addEntry(target, noMeta, b.limit)
	}
	n.addQueuedUpdates(b, probeReserves)
	n.send(addr, b)
}

// advanceProbes sends the attempts that are due and ends the probes that have
// failed or whose target is no longer present.
func (n *Node) advanceProbes() {
	kept := n.probes[:0]
	for _, p := range n.probes {
		switch {
		case !p.target.State.Present():
			continue
		case p.nextAt.After(n.now):
		case p.attempts < probeAttempts:
			n.sendProbeAttempt(p)
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
	// Reachable peers answer a ping request with a nack. If most of them do not
	// answer, the fault is probably in this node or its network.
	if p.nacks*2 < p.relayRequests || p.relayRequests == 0 {
		n.adjustHealthScore(1)
	}
	n.suspect(p.target)
}

func (n *Node) onPing(from netip.AddrPort, d *datagram, ping *wire.Ping) {
	known := n.lookup(d.sender)
	if len(ping.Target) == 0 && !n.hasBudgetForJoinAnswer() {
		// When many members join at once, the budget of a seed does not suffice
		// to answer all of them. Their updates have been applied, so that other
		// members learn about the joining ones and contact them.
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
		n.addJoinAnswer(b)
	} else {
		n.addQueuedUpdates(b, probeReserves)
	}
	n.send(from, b)
}

func (n *Node) onPingRequest(from netip.AddrPort, r *wire.PingRequest) {
	target, _ := parseID(r.Target)
	e := n.lookup(target)
	if e == nil || len(n.relays) >= maxRelays {
		return
	}
	n.lastSeq++
	n.relays = append(n.relays, relay{seq: n.lastSeq, target: e, origin: from, originSeq: r.Seq, deadline: n.now.Add(n.cfg.ProbeAttemptInterval)})
	n.ping(e.Addr, e, n.lastSeq)
}

func (n *Node) onAck(from netip.AddrPort, d *datagram, ack *wire.Ack) {
	// The answer includes other members, because a member that knew only this
	// node would send it all its probes.
	if ack.Unknown && n.hasBudgetForJoinAnswer() {
		b := n.newUpdatesBuilder()
		b.addEntry(n.self, fullMeta, b.limit)
		n.addJoinAnswer(b)
		n.send(from, b)
	}
	n.completeRelay(from, d, ack)
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
			n.adjustHealthScore(-1)
		case !relayed && from == p.target.Addr:
			n.declareReplaced(p.target)
		default:
			return
		}
		n.probes = append(n.probes[:i], n.probes[i+1:]...)
		return
	}
}

// declareReplaced marks e dead because another process answered at its address.
func (n *Node) declareReplaced(e *entry) {
	if e.State.Present() {
		n.declareDead(e)
		n.emit(MemberChanged{e.Member})
	}
}

// completeRelay forwards an ack that answers a relayed ping to the member that
// requested the ping.
func (n *Node) completeRelay(from netip.AddrPort, d *datagram, ack *wire.Ack) {
	for i, r := range n.relays {
		if r.seq != ack.Seq || from != r.target.Addr {
			continue
		}
		if d.sender != r.target.ID {
			n.declareReplaced(r.target)
		} else {
			n.send(r.origin, n.newBuilder(&wire.Datagram{Body: &wire.Datagram_Ack{Ack: &wire.Ack{Seq: r.originSeq, Subject: r.target.ID[:]}}}))
		}
		n.relays = append(n.relays[:i], n.relays[i+1:]...)
		return
	}
}

// expireRelays sends a nack for each relayed ping that was not answered in time.
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
