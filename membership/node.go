package membership

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/membership/internal/wire"
)

const (
	// memberBuckets is the number of digest buckets of members. At the design
	// size of 1,400 members, the entries of one bucket fit into about one
	// datagram.
	memberBuckets = 64
	// broadcastBuckets is the number of digest buckets of broadcasts. With 1,024
	// broadcasts, the digests of one bucket fit into one datagram.
	broadcastBuckets = 8
	bucketCount      = memberBuckets + broadcastBuckets
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
	// present holds the alive and suspect members except the node itself, absent
	// the dead and left ones.
	present, absent []*entry
	buckets         [memberBuckets][]*entry
	// bucketDigests holds for each bucket the XOR of the digests of its present
	// members or of its broadcasts.
	bucketDigests [bucketCount]uint64
	presentByAddr map[netip.AddrPort]*entry
	suspects      []*entry

	broadcasts    map[broadcastKey]*broadcastRecord
	broadcastList []*broadcastRecord

	queues [urgencyCount]queue
	budget budget
	names  nameInterner

	ownConfigOffset     uint64
	highestConfigOffset uint64
	highestOffsetPeer   netip.AddrPort
	// offsetSendsLeft is the number of datagrams that update rounds still send
	// to announce ownConfigOffset, even if there are no updates.
	offsetSendsLeft int

	healthScore int
	lastSeq     uint32
	probes      []*probe
	relays      []relay
	probeOrder  []*entry
	probeCursor int
	leaving     bool
	// syncing is true while the updates of an anti-entropy exchange are applied.
	syncing bool
	// seedRetryInterval is the current back-off between pings to seeds while no
	// other member is present.
	seedRetryInterval time.Duration
	stopped           bool
	// leaveRounds counts the update rounds since the node began to leave.
	leaveRounds int

	nextProbe, nextUrgent, nextSync, nextDeadProbe, nextHousekeeping time.Time
	// bucketRequestedAt holds the time of the last request for each bucket.
	bucketRequestedAt [bucketCount]time.Time
}

// New returns a node. Its first steps contact cfg.Seeds to join the cluster. If
// cfg is invalid, New returns a *kind.Error of kind settings-invalid that lists
// all invalid fields.
func New(cfg Config, rng *rand.Rand, now time.Time) (*Node, error) {
	cfg = cfg.WithDefaults()
	cfg.Addr = unmapAddrPort(cfg.Addr)
	if errs := cfg.Validate(); len(errs) > 0 {
		return nil, &kind.Error{Kind: kind.SettingsInvalid, Run: kind.NotRun, Fields: errs}
	}
	n := &Node{
		cfg: cfg, rng: rng, now: now,
		members:             make(map[uuid.UUID]*entry),
		presentByAddr:       make(map[netip.AddrPort]*entry),
		broadcasts:          make(map[broadcastKey]*broadcastRecord),
		budget:              budget{rate: float64(cfg.SendRateBytes), burst: float64(cfg.SendBurstBytes), tokens: float64(cfg.SendBurstBytes), last: now},
		ownConfigOffset:     cfg.ConfigOffset,
		highestConfigOffset: cfg.ConfigOffset,
		lastSeq:             rng.Uint32(),
	}
	if cfg.Cluster != "" {
		n.cluster = uint32(xxhash.Sum64String(cfg.Cluster)) | 1
	}
	n.self = &entry{
		Member:          Member{ID: cfg.ID, Addr: cfg.Addr, Incarnation: 1, Meta: cfg.Meta},
		metaIncarnation: 1, descIncarnation: 1, index: -1, changedAt: now,
	}
	n.insert(n.self)
	n.bucketDigests[n.self.bucket] ^= n.self.digest
	n.enqueue(queueItem{member: n.self}, prompt, true)
	// Random phases prevent nodes that start together from sending in bursts.
	n.nextProbe = now.Add(n.randomBelow(n.cfg.ProbeInterval))
	n.nextUrgent = now.Add(n.randomBelow(n.cfg.UrgentInterval))
	n.nextSync = now.Add(n.randomBelow(n.cfg.SyncInterval))
	n.nextDeadProbe = now
	n.nextHousekeeping = now.Add(housekeepingInterval)
	return n, nil
}

// randomBelow returns a random duration in [0, d).
func (n *Node) randomBelow(d time.Duration) time.Duration {
	return time.Duration(n.rng.Int64N(int64(d)))
}

// jitter returns a random duration between 90% and 110% of d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d - d/10 + n.randomBelow(d/5+1)
}

// Step advances the node to now, handles in and returns the effects in the
// order in which the caller must execute them. If now is earlier than in a
// previous call, the latest time is used instead.
func (n *Node) Step(now time.Time, in Event) []Effect {
	if n.stopped {
		return nil
	}
	n.effects = nil
	if now.After(n.now) {
		n.handlePause(now)
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
		n.setConfigOffset(in.Offset)
	case LocalBroadcast:
		n.addBroadcast(in.Broadcast)
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
		n.self.descIncarnation = n.self.Incarnation
	}
	n.enqueue(queueItem{member: n.self}, stateUrgency(m.TargetState), changesDescription)
	n.emit(MemberChanged{n.self.Member})
}

// stateUrgency returns the urgency of a change to target state s. Draining and
// Down are urgent, because other members must stop sending work to the target.
func stateUrgency(s TargetState) urgencyLevel {
	if s == Draining || s == Down {
		return urgent
	}
	return prompt
}

// raiseIncarnation sets the incarnation of this node and of its metadata.
func (n *Node) raiseIncarnation(to uint64) {
	n.self.Incarnation = to
	n.bucketDigests[n.self.bucket] ^= n.self.digest
	n.self.metaIncarnation = to
	n.self.digest = memberDigest(n.self.ID, to)
	n.bucketDigests[n.self.bucket] ^= n.self.digest
}

func (n *Node) leave() {
	if n.leaving {
		return
	}
	n.leaving = true
	n.self.Incarnation++
	n.self.State = Left
	n.bucketDigests[n.self.bucket] ^= n.self.digest
	n.enqueue(queueItem{member: n.self}, urgent, false)
	n.nextUrgent = n.now
	n.emit(MemberChanged{n.self.Member})
}

func (n *Node) setConfigOffset(offset uint64) {
	if offset <= n.ownConfigOffset {
		return
	}
	n.ownConfigOffset = offset
	if offset >= n.highestConfigOffset {
		n.highestConfigOffset, n.highestOffsetPeer = offset, netip.AddrPort{}
	}
	n.offsetSendsLeft = 2 * n.cfg.UrgentFanout
}

// lessUrgentSends is how many times a node sends an update that is not urgent. In a
// mass change each further send takes the budget of an update that others lack;
// members that miss one get it through anti-entropy.
const lessUrgentSends = 4

// retransmitLimit returns how many times this node sends one update of an urgency.
func (n *Node) retransmitLimit(urgency urgencyLevel) int {
	if urgency != urgent {
		return lessUrgentSends
	}
	// In a small cluster, fewer sends could all be lost.
	const minSends = 12
	limit := int(math.Ceil(n.cfg.RetransmitFactor * math.Log2(float64(len(n.present)+2))))
	return min(max(limit, minSends), maxSends-1)
}

// enqueue queues an update for dissemination and replaces the queued one about
// the same member or broadcast.
func (n *Node) enqueue(i queueItem, urgency urgencyLevel, withFullMeta bool) {
	r := i.rumor()
	r.sendFullMeta = withFullMeta || r.queued && r.sendFullMeta
	r.version++
	r.duplicates = 0
	r.queued = true
	r.urgency = urgency
	r.queuedAtNs = n.now.UnixNano()
	i.version = r.version
	q := &n.queues[urgency]
	if q.size > 64+2*(len(n.members)+len(n.broadcastList)) {
		q.removeStale()
	}
	q.push(0, i)
}

// addQueuedUpdates adds queued updates to b, the most urgent first. reserves
// gives for each urgency the fraction of the burst that must remain in the
// budget; updates of an urgency with a reserve of 1 or more are not sent.
func (n *Node) addQueuedUpdates(b *builder, reserves [urgencyCount]float64) {
	for urgency := range n.queues {
		if n.queues[urgency].size == 0 || reserves[urgency] >= 1 {
			continue
		}
		n.queues[urgency].offer(n.retransmitLimit(urgencyLevel(urgency)), n.now.Add(-maxRumorAge).UnixNano(), func(i queueItem) bool {
			available := n.budget.available(reserves[urgency]) - b.size - PacketOverheadBytes
			if i.broadcast != nil {
				return b.addBroadcast(&i.broadcast.Broadcast, available)
			}
			return b.addEntry(i.member, metaPartForGossip(i.member), available)
		})
	}
}

// metaPartForGossip returns the part of the metadata that a disseminated update
// about e contains.
func metaPartForGossip(e *entry) metaPart {
	switch {
	case e.State != Alive:
		return noMeta
	case e.rumor.sendFullMeta:
		return fullMeta
	}
	return targetStateOnly
}

func (n *Node) send(to netip.AddrPort, b *builder) {
	out := b.marshal()
	n.budget.charge(len(out) + PacketOverheadBytes)
	n.stats.DatagramsSent++
	n.stats.BytesSent += uint64(len(out) + PacketOverheadBytes)
	n.emit(Send{To: to, Bytes: out})
}

// randomPeers returns up to k distinct present members other than except. It
// prefers alive members to suspect ones, and may return fewer than possible.
func (n *Node) randomPeers(k int, except *entry) []*entry {
	var out []*entry
	for tries := 0; tries < 4*k && len(out) < k && len(n.present) > 0; tries++ {
		e := n.present[n.rng.IntN(len(n.present))]
		if e == except || e.State != Alive && tries < 2*k {
			continue
		}
		chosen := false
		for _, o := range out {
			chosen = chosen || o == e
		}
		if !chosen {
			out = append(out, e)
		}
	}
	return out
}

// localPeerShare is the share of update rounds and anti-entropy exchanges that stay
// in the node's failure domain, where bytes cost less. The rest is enough for an
// update to reach every domain within a round or two.
const localPeerShare = 0.67

// updatePeers returns up to k distinct present members for an update round or an
// anti-entropy exchange, most of them in the node's failure domain.
func (n *Node) updatePeers(k int) []*entry {
	// maxLocalTries bounds the search for a member of a domain that has few.
	const maxLocalTries = 24
	var out []*entry
	for range k {
		var peer *entry
		local := n.rng.Float64() < localPeerShare
		for tries := 0; tries < maxLocalTries && peer == nil; tries++ {
			for _, e := range n.randomPeers(1, nil) {
				if !local || e.Meta.FailureDomain == n.self.Meta.FailureDomain || tries == maxLocalTries-1 {
					peer = e
				}
			}
		}
		if peer != nil && !slices.Contains(out, peer) {
			out = append(out, peer)
		}
	}
	return out
}

// Members returns all known members in no particular order, including the node
// itself and the dead and left members that are still in the table.
func (n *Node) Members() []Member {
	out := make([]Member, 0, len(n.members))
	out = append(out, n.self.Member)
	for _, e := range n.present {
		out = append(out, e.Member)
	}
	for _, e := range n.absent {
		out = append(out, e.Member)
	}
	return out
}

// Size returns the number of present members, including the node itself.
func (n *Node) Size() int { return len(n.present) + 1 }

// Self returns the node's own member record.
func (n *Node) Self() Member { return n.self.Member }

// HighestConfigOffset returns the highest configuration offset received in a
// header or set locally, and the peer address of the member that sent it. The
// address is the zero value if the node itself has reached that offset.
func (n *Node) HighestConfigOffset() (offset uint64, from netip.AddrPort) {
	return n.highestConfigOffset, n.highestOffsetPeer
}

// Broadcasts returns the stored broadcasts in no particular order.
func (n *Node) Broadcasts() []Broadcast {
	out := make([]Broadcast, 0, len(n.broadcastList))
	for _, m := range n.broadcastList {
		out = append(out, m.Broadcast)
	}
	return out
}

// HealthScore returns the local health score of Lifeguard: 0 is healthy, and
// higher values mean that this node itself is slow or badly connected.
func (n *Node) HealthScore() int { return n.healthScore }

func (n *Node) Stats() Stats { return n.stats }

// newUpdatesBuilder returns a builder of a datagram without a body, which only
// carries updates.
func (n *Node) newUpdatesBuilder() *builder { return n.newBuilder(&wire.Datagram{}) }
