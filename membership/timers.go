package membership

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// housekeepingInterval is the time between expiry runs.
	housekeepingInterval = 10 * time.Second
	// suspicionTick is the resolution of suspicion timeouts.
	suspicionTick = 100 * time.Millisecond
	// isolatedProbeInterval replaces DeadProbeInterval while no other member is
	// present. It doubles up to maxIsolatedProbeInterval, so that the traffic at
	// the seeds stays bounded when a whole cluster starts.
	isolatedProbeInterval    = time.Second
	maxIsolatedProbeInterval = 16 * time.Second
	// maxLeaveRounds bounds the time that a departure takes in a small cluster,
	// in which a round reaches fewer than UrgentFanout members.
	maxLeaveRounds = 6
	// pauseThreshold is how late a timer must run for the node to take it for
	// a pause of its process.
	pauseThreshold = time.Second
)

// NextTick returns when the node next needs a Tick. After LeaveComplete it
// needs none, and the time is far ahead.
func (n *Node) NextTick() time.Time {
	if n.stopped {
		return n.now.Add(time.Hour)
	}
	next := n.nextHousekeeping
	earlier := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	earlier(n.nextProbe)
	earlier(n.nextSync)
	earlier(n.nextDeadProbe)
	if n.roundPending() || n.leaving {
		earlier(n.nextUrgent)
	}
	for _, p := range n.probes {
		earlier(p.next)
	}
	for _, r := range n.relays {
		earlier(r.deadline)
	}
	if len(n.suspects) > 0 {
		earlier(n.now.Add(suspicionTick))
	}
	return next
}

func (n *Node) roundPending() bool {
	return n.queues[urgent].size > 0 || n.offsetSends > 0 ||
		n.queues[prompt].size > 0 && n.budget.above(roundShares[prompt]) > n.cfg.MaxDatagramBytes
}

// notePause tells a pause of this process from silence of the others: what was
// due during the pause says nothing about them.
func (n *Node) notePause(now time.Time) {
	late := now.Sub(n.NextTick())
	if late < pauseThreshold {
		return
	}
	n.stats.Pauses++
	n.probes = n.probes[:0]
	n.relays = n.relays[:0]
	for _, e := range n.suspects {
		e.suspicion.start = e.suspicion.start.Add(late)
	}
	n.nextSync = now
}

func due(t, now time.Time) bool { return !t.After(now) }

func (n *Node) runTimers() {
	n.finishProbes()
	n.expireRelays()
	for i := len(n.suspects) - 1; i >= 0; i-- {
		if e := n.suspects[i]; due(e.suspicion.deadline(), n.now) {
			n.declareDead(e)
			n.emit(MemberChanged{e.Member})
		}
	}
	if due(n.nextProbe, n.now) {
		n.nextProbe = n.now.Add(n.cfg.ProbeInterval * time.Duration(1+n.health))
		if !n.leaving {
			n.startProbe()
		}
	}
	if due(n.nextUrgent, n.now) && (n.roundPending() || n.leaving) {
		n.nextUrgent = n.now.Add(n.cfg.UrgentInterval)
		n.round()
	}
	if due(n.nextSync, n.now) {
		n.nextSync = n.now.Add(n.jitter(n.cfg.SyncInterval))
		if !n.leaving {
			n.startSync()
		}
	}
	if due(n.nextDeadProbe, n.now) {
		interval := n.cfg.DeadProbeInterval
		if len(n.present) == 0 {
			n.joinBackoff = min(max(2*n.joinBackoff, isolatedProbeInterval), maxIsolatedProbeInterval)
			interval = n.joinBackoff
		} else {
			n.joinBackoff = 0
		}
		n.nextDeadProbe = n.now.Add(n.jitter(interval))
		if !n.leaving {
			n.probeGone()
		}
	}
	if due(n.nextHousekeeping, n.now) {
		n.nextHousekeeping = n.now.Add(housekeepingInterval)
		n.expireMessages()
		for i := len(n.gone) - 1; i >= 0; i-- {
			if e := n.gone[i]; n.now.Sub(e.changedAt) >= n.cfg.DeadRetention {
				n.remove(e)
			}
		}
	}
}

// round sends queued updates to a few random members (SWIM piggybacks only; the
// rounds bound the time that urgent updates take).
func (n *Node) round() {
	if n.leaving {
		if !n.self.rumor.queued || len(n.present) == 0 || n.leaveRounds == maxLeaveRounds {
			n.stopped = true
			n.emit(LeaveComplete{})
			return
		}
		n.leaveRounds++
	}
	for _, peer := range n.randomPeers(n.cfg.UrgentFanout, nil) {
		b := n.noBody()
		n.fill(b, roundShares)
		if len(b.msg.Updates)+len(b.msg.Broadcasts) == 0 {
			if n.offsetSends <= 0 || n.budget.above(0) < b.size+PacketOverheadBytes {
				if n.queues[urgent].size > 0 {
					n.stats.Deferred++
				}
				return
			}
		}
		if n.offsetSends > 0 {
			n.offsetSends--
		}
		n.send(peer.Addr, b)
	}
}

// probeGone pings a member believed dead, or a seed that is not a member, so
// that the two sides of a healed partition find each other. It is also how a
// new node joins.
func (n *Node) probeGone() {
	if len(n.present) == 0 {
		n.probeSeed()
	}
	var dead []*entry
	for tries := 0; tries < 8 && len(n.gone) > 0 && len(dead) == 0; tries++ {
		if e := n.gone[n.rng.IntN(len(n.gone))]; e.State == Dead && n.byAddr[e.Addr] == nil {
			dead = append(dead, e)
		}
	}
	if !n.mayAfford(200, 0) {
		return
	}
	if len(dead) > 0 {
		n.seq++
		n.ping(dead[0].Addr, dead[0], n.seq)
	} else if len(n.present) > 0 {
		n.probeSeed()
	}
}

func (n *Node) probeSeed() {
	if len(n.cfg.Seeds) == 0 {
		return
	}
	addr := unmapAddrPort(n.cfg.Seeds[n.rng.IntN(len(n.cfg.Seeds))])
	if addr == n.self.Addr || n.byAddr[addr] != nil {
		return
	}
	n.seq++
	n.ping(addr, nil, n.seq)
}

const (
	// maxSeeds bounds the seeds of a node. The newest ones are kept, because older
	// addresses are the more likely ones to be gone.
	maxSeeds = 256
	// joinPings is how many seeds are pinged when they are added. When all
	// processes restart at once, none knows the others, and one seed at a time
	// takes seconds until everybody is found.
	joinPings = 8
	// joinSync is when a digest is sent after that: the answers have arrived.
	joinSync = 50 * time.Millisecond
)

// addSeeds remembers further addresses to join through and pings some of those
// that are not members.
func (n *Node) addSeeds(addrs []netip.AddrPort) {
	var unknown []netip.AddrPort
	for _, addr := range addrs {
		addr = unmapAddrPort(addr)
		if addr == n.self.Addr {
			continue
		}
		if !slices.Contains(n.cfg.Seeds, addr) {
			n.cfg.Seeds = append(n.cfg.Seeds, addr)
		}
		if n.byAddr[addr] == nil {
			unknown = append(unknown, addr)
		}
	}
	if extra := len(n.cfg.Seeds) - maxSeeds; extra > 0 {
		n.cfg.Seeds = slices.Clone(n.cfg.Seeds[extra:])
	}
	if len(unknown) == 0 || n.leaving {
		return
	}
	n.rng.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	for _, addr := range unknown[:min(len(unknown), joinPings)] {
		if !n.mayAfford(200, 0) {
			break
		}
		n.seq++
		n.ping(addr, nil, n.seq)
	}
	if n.nextSync.After(n.now.Add(joinSync)) {
		n.nextSync = n.now.Add(joinSync)
	}
}
