package membership

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/membership/internal/wire"
)

const (
	// memberBuckets is chosen so that at the design size (1,400 members) the
	// entries of one bucket fit into about one datagram.
	memberBuckets = 64
	// messageBuckets is chosen so that the digests of 1,024 broadcasts fit
	// into one datagram per bucket.
	messageBuckets = 8
	bucketCount    = memberBuckets + messageBuckets
)

// Node is the membership state machine of one process.
type Node struct {
	cfg     Config
	rng     *rand.Rand
	cluster uint32
	now     time.Time
	effects []Effect
	stats   Stats

	self    *entry
	members map[uuid.UUID]*entry
	// present holds the alive and suspect members except the node itself, gone
	// the dead and departed ones.
	present, gone []*entry
	buckets       [memberBuckets][]*entry
	// digests holds the XOR of the digests of the present members, or of the
	// broadcasts, of each bucket.
	digests  [bucketCount]uint64
	byAddr   map[netip.AddrPort]*entry
	suspects []*entry

	messages    map[broadcastKey]*message
	messageList []*message

	queues [urgencies]queue
	budget budget
	names  interner

	ownOffset     uint64
	highestOffset uint64
	highestFrom   netip.AddrPort
	// offsetSends is how many datagrams are still to announce ownOffset.
	offsetSends int

	health  int
	seq     uint32
	probes  []*probe
	relays  []relay
	order   []*entry
	cursor  int
	leaving bool
	// syncing is true while the updates of an anti-entropy exchange are applied.
	syncing bool
	// joinBackoff is the time until the next contact of a seed.
	joinBackoff time.Duration
	stopped     bool
	// leaveRounds counts the rounds of updates since the departure began.
	leaveRounds int

	nextProbe, nextUrgent, nextSync, nextDeadProbe, nextHousekeeping time.Time
	// requestedAt is when a bucket was last asked for.
	requestedAt [bucketCount]time.Time
}

// New returns a node that joins through cfg.Seeds with the first steps. It
// returns a *kind.Error of kind settings-invalid with all faults of cfg.
func New(cfg Config, rng *rand.Rand, now time.Time) (*Node, error) {
	cfg = cfg.WithDefaults()
	cfg.Addr = unmapAddrPort(cfg.Addr)
	if faults := cfg.Validate(); len(faults) > 0 {
		return nil, &kind.Error{Kind: kind.SettingsInvalid, Run: kind.NotRun, Fields: faults}
	}
	n := &Node{
		cfg: cfg, rng: rng, now: now,
		members:       make(map[uuid.UUID]*entry),
		byAddr:        make(map[netip.AddrPort]*entry),
		messages:      make(map[broadcastKey]*message),
		budget:        budget{rate: float64(cfg.SendRateBytes), burst: float64(cfg.SendBurstBytes), tokens: float64(cfg.SendBurstBytes), last: now},
		ownOffset:     cfg.ConfigOffset,
		highestOffset: cfg.ConfigOffset,
		seq:           rng.Uint32(),
	}
	if cfg.Cluster != "" {
		n.cluster = uint32(xxhash.Sum64String(cfg.Cluster)) | 1
	}
	n.self = &entry{
		Member:  Member{ID: cfg.ID, Addr: cfg.Addr, Incarnation: 1, Meta: cfg.Meta},
		metaInc: 1, descInc: 1, index: -1, changedAt: now,
	}
	n.insert(n.self)
	n.digests[n.self.bucket] ^= n.self.digest
	n.enqueue(item{member: n.self}, prompt, true)
	// Random phases keep processes that start together from sending together.
	n.nextProbe = now.Add(n.fraction(n.cfg.ProbeInterval))
	n.nextUrgent = now.Add(n.fraction(n.cfg.UrgentInterval))
	n.nextSync = now.Add(n.fraction(n.cfg.SyncInterval))
	n.nextDeadProbe = now
	n.nextHousekeeping = now.Add(housekeepingInterval)
	return n, nil
}

// fraction returns a random duration below d.
func (n *Node) fraction(d time.Duration) time.Duration {
	return time.Duration(n.rng.Int64N(int64(d)))
}

// jitter returns a random duration within a tenth of d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d - d/10 + n.fraction(d/5+1)
}

// Step advances the node to now, handles in and returns the effects in the
// order in which they are to be carried out. Time must not go backwards; an
// earlier now counts as the latest one.
func (n *Node) Step(now time.Time, in Event) []Effect {
	if n.stopped {
		return nil
	}
	n.effects = nil
	if now.After(n.now) {
		n.notePause(now)
		n.now = now
	}
	n.budget.refill(n.now)
	switch in := in.(type) {
	case Datagram:
		n.receive(in.From, in.Bytes)
	case LocalUpdate:
		n.updateMeta(in.Meta)
	case Leave:
		n.leave()
	case SetConfigOffset:
		n.setOffset(in.Offset)
	case LocalBroadcast:
		n.addMessage(in.Broadcast)
	case AddSeeds:
		n.addSeeds(in.Addrs)
	}
	n.runTimers()
	out := n.effects
	n.effects = nil
	return out
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

func (n *Node) updateMeta(m Meta) {
	if n.leaving || m == n.self.Meta {
		return
	}
	if !validMeta(m) {
		n.stats.Malformed++
		return
	}
	sameDescription := m
	sameDescription.TargetState = n.self.Meta.TargetState
	changesDescription := sameDescription != n.self.Meta
	n.self.Meta = m
	n.raiseIncarnation(n.self.Incarnation + 1)
	if changesDescription {
		n.self.descInc = n.self.Incarnation
	}
	n.enqueue(item{member: n.self}, stateUrgency(m.TargetState), changesDescription)
	n.emit(MemberChanged{n.self.Member})
}

// stateUrgency returns how fast a change to s must spread: no member may send
// new work to a target that stops taking it.
func stateUrgency(s TargetState) urgency {
	if s == Draining || s == Down {
		return urgent
	}
	return prompt
}

func (n *Node) raiseIncarnation(to uint64) {
	n.self.Incarnation = to
	n.digests[n.self.bucket] ^= n.self.digest
	n.self.metaInc = to
	n.self.digest = digestOf(n.self.ID, to)
	n.digests[n.self.bucket] ^= n.self.digest
}

func (n *Node) leave() {
	if n.leaving {
		return
	}
	n.leaving = true
	n.self.Incarnation++
	n.self.State = Left
	n.digests[n.self.bucket] ^= n.self.digest
	n.enqueue(item{member: n.self}, urgent, false)
	n.nextUrgent = n.now
	n.emit(MemberChanged{n.self.Member})
}

func (n *Node) setOffset(offset uint64) {
	if offset <= n.ownOffset {
		return
	}
	n.ownOffset = offset
	if offset >= n.highestOffset {
		n.highestOffset, n.highestFrom = offset, netip.AddrPort{}
	}
	n.offsetSends = 2 * n.cfg.UrgentFanout
}

// sendLimit is how often this node sends one update.
func (n *Node) sendLimit() int {
	// Small clusters would otherwise lose an update to a few lost datagrams.
	const least = 12
	limit := int(math.Ceil(n.cfg.RetransmitFactor * math.Log2(float64(len(n.present)+2))))
	return min(max(limit, least), maxSends-1)
}

func (n *Node) enqueue(i item, u urgency, full bool) {
	r := i.rumor()
	r.full = full || r.queued && r.full
	r.version++
	r.heard = 0
	r.queued = true
	r.urgency = u
	r.since = n.now.UnixNano()
	i.version = r.version
	q := &n.queues[u]
	if q.size > 64+2*(len(n.members)+len(n.messageList)) {
		q.sweep()
	}
	q.push(0, i)
}

// fill adds queued updates to b, the most urgent first. shares gives for each
// urgency the share of the budget's burst that must remain; a share of 1 or
// more excludes the urgency.
func (n *Node) fill(b *builder, shares [urgencies]float64) {
	limit := n.sendLimit()
	for u := range n.queues {
		if n.queues[u].size == 0 || shares[u] >= 1 {
			continue
		}
		n.queues[u].take(limit, n.now.Add(-maxRumorAge).UnixNano(), func(i item) bool {
			left := n.budget.above(shares[u]) - b.size - PacketOverheadBytes
			if i.message != nil {
				return b.addBroadcast(&i.message.Broadcast, left)
			}
			return b.addEntry(i.member, partFor(i.member), left)
		})
	}
}

func partFor(e *entry) metaPart {
	switch {
	case e.State != Alive:
		return noMeta
	case e.rumor.full:
		return fullMeta
	}
	return targetStateOnly
}

func (n *Node) send(to netip.AddrPort, b *builder) {
	out := b.bytes()
	n.budget.charge(len(out) + PacketOverheadBytes)
	n.stats.DatagramsSent++
	n.stats.BytesSent += uint64(len(out) + PacketOverheadBytes)
	n.emit(Send{To: to, Bytes: out})
}

// randomPeers returns up to k distinct present members other than except.
func (n *Node) randomPeers(k int, except *entry) []*entry {
	var out []*entry
	for tries := 0; tries < 4*k && len(out) < k && len(n.present) > 0; tries++ {
		e := n.present[n.rng.IntN(len(n.present))]
		if e == except || e.State != Alive && tries < 2*k {
			continue
		}
		known := false
		for _, o := range out {
			known = known || o == e
		}
		if !known {
			out = append(out, e)
		}
	}
	return out
}

// Members returns all known members in no particular order, the node itself
// and remembered dead members included.
func (n *Node) Members() []Member {
	out := make([]Member, 0, len(n.members))
	out = append(out, n.self.Member)
	for _, e := range n.present {
		out = append(out, e.Member)
	}
	for _, e := range n.gone {
		out = append(out, e.Member)
	}
	return out
}

// Size returns the number of present members, the node itself included.
func (n *Node) Size() int { return len(n.present) + 1 }

// Self returns the node's own entry.
func (n *Node) Self() Member { return n.self.Member }

// HighestConfigOffset returns the highest configuration offset seen in any
// header or set locally, and the peer address of the member that sent it. The
// address is the zero value when the node itself holds the highest offset.
func (n *Node) HighestConfigOffset() (offset uint64, from netip.AddrPort) {
	return n.highestOffset, n.highestFrom
}

// Broadcasts returns the live broadcasts in no particular order.
func (n *Node) Broadcasts() []Broadcast {
	out := make([]Broadcast, 0, len(n.messageList))
	for _, m := range n.messageList {
		out = append(out, m.Broadcast)
	}
	return out
}

// HealthScore returns the local health score: 0 is healthy, and higher values
// mean that this node is itself slow or badly connected.
func (n *Node) HealthScore() int { return n.health }

// Stats returns the counters.
func (n *Node) Stats() Stats { return n.stats }

func (n *Node) noBody() *builder { return n.newBuilder(&wire.Datagram{}) }
