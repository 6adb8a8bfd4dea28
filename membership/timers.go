package membership

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// housekeepingInterval is the time between removals of expired broadcasts
	// and of members that have been absent for DeadRetention.
	housekeepingInterval = 10 * time.Second
	// suspicionTick is the resolution of suspicion timeouts.
	suspicionTick = 100 * time.Millisecond
	// isolatedProbeInterval replaces DeadProbeInterval while no other member is
	// present. It doubles up to maxIsolatedProbeInterval to bound the traffic at
	// the seeds when a whole cluster starts.
	isolatedProbeInterval    = time.Second
	maxIsolatedProbeInterval = 16 * time.Second
	// maxLeaveRounds bounds the time that leaving takes in a small cluster, where
	// an update round reaches fewer than UrgentFanout members.
	maxLeaveRounds = 6
	// pauseThreshold is the timer delay from which on the node assumes that its
	// process was paused.
	pauseThreshold = time.Second
)

// NextTick returns when the node next needs a Tick. After LeaveComplete it needs
// none, and NextTick returns a time one hour ahead.
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
	if n.updateRoundPending() || n.leaving {
		earlier(n.nextUrgent)
	}
	for _, p := range n.probes {
		earlier(p.nextAt)
	}
	for _, r := range n.relays {
		earlier(r.deadline)
	}
	if len(n.suspects) > 0 {
		earlier(n.now.Add(suspicionTick))
	}
	return next
}

// updateRoundPending reports whether updates or the configuration offset must be
// sent in an update round.
func (n *Node) updateRoundPending() bool {
	return n.queues[urgent].size > 0 || n.offsetSendsLeft > 0 ||
		n.queues[prompt].size > 0 && n.budget.available(roundReserves[prompt]) > n.cfg.MaxDatagramBytes
}

// handlePause detects that this process was paused. Other members may have
// answered during the pause, so it drops the probes and relayed pings in
// progress, extends the suspicion timeouts and starts an anti-entropy exchange.
func (n *Node) handlePause(now time.Time) {
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
	n.advanceProbes()
	n.expireRelays()
	for i := len(n.suspects) - 1; i >= 0; i-- {
		if e := n.suspects[i]; due(e.suspicion.deadline(), n.now) {
			n.declareDead(e)
			n.emit(MemberChanged{e.Member})
		}
	}
	if due(n.nextProbe, n.now) {
		n.nextProbe = n.now.Add(n.cfg.ProbeInterval * time.Duration(1+n.healthScore))
		if !n.leaving {
			n.startProbe()
		}
	}
	if due(n.nextUrgent, n.now) && (n.updateRoundPending() || n.leaving) {
		n.nextUrgent = n.now.Add(n.cfg.UrgentInterval)
		n.sendUpdateRound()
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
			n.seedRetryInterval = min(max(2*n.seedRetryInterval, isolatedProbeInterval), maxIsolatedProbeInterval)
			interval = n.seedRetryInterval
		} else {
			n.seedRetryInterval = 0
		}
		n.nextDeadProbe = n.now.Add(n.jitter(interval))
		if !n.leaving {
			n.probeAbsent()
		}
	}
	if due(n.nextHousekeeping, n.now) {
		n.nextHousekeeping = n.now.Add(housekeepingInterval)
		n.expireBroadcasts()
		for i := len(n.absent) - 1; i >= 0; i-- {
			if e := n.absent[i]; n.now.Sub(e.changedAt) >= n.cfg.DeadRetention {
				n.remove(e)
			}
		}
	}
}

// sendUpdateRound sends queued updates to UrgentFanout random members. SWIM only
// piggybacks updates on probes; update rounds bound the time in which urgent
// updates are disseminated.
func (n *Node) sendUpdateRound() {
	if n.leaving {
		if !n.self.rumor.queued || len(n.present) == 0 || n.leaveRounds == maxLeaveRounds {
			n.stopped = true
			n.emit(LeaveComplete{})
			return
		}
		n.leaveRounds++
	}
	for _, peer := range n.updatePeers(n.cfg.UrgentFanout) {
		b := n.newUpdatesBuilder()
		n.addQueuedUpdates(b, roundReserves)
		if len(b.msg.Updates)+len(b.msg.Broadcasts) == 0 {
			if n.offsetSendsLeft <= 0 || n.budget.available(0) < b.size+PacketOverheadBytes {
				if n.queues[urgent].size > 0 {
					n.stats.Deferred++
				}
				return
			}
		}
		if n.offsetSendsLeft > 0 {
			n.offsetSendsLeft--
		}
		n.send(peer.Addr, b)
	}
}

// probeAbsent pings a dead member, or a seed that is not a present member, so
// that the two sides of a healed partition find each other. New nodes also join
// this way.
func (n *Node) probeAbsent() {
	if len(n.present) == 0 {
		n.probeSeed()
	}
	var dead []*entry
	for tries := 0; tries < 8 && len(n.absent) > 0 && len(dead) == 0; tries++ {
		if e := n.absent[n.rng.IntN(len(n.absent))]; e.State == Dead && n.presentByAddr[e.Addr] == nil {
			dead = append(dead, e)
		}
	}
	if !n.hasBudget(200, 0) {
		return
	}
	if len(dead) > 0 {
		n.lastSeq++
		n.ping(dead[0].Addr, dead[0], n.lastSeq)
	} else if len(n.present) > 0 {
		n.probeSeed()
	}
}

func (n *Node) probeSeed() {
	if len(n.cfg.Seeds) == 0 {
		return
	}
	addr := unmapAddrPort(n.cfg.Seeds[n.rng.IntN(len(n.cfg.Seeds))])
	if addr == n.self.Addr || n.presentByAddr[addr] != nil {
		return
	}
	n.lastSeq++
	n.ping(addr, nil, n.lastSeq)
}

const (
	// maxSeeds bounds the seeds of a node. The newest ones are kept, because
	// older addresses are more likely to be unused.
	maxSeeds = 256
	// maxSeedPings bounds the seeds that are pinged when seeds are added. When
	// all processes restart at once, none knows the others, and with one ping at
	// a time they would need seconds to find each other.
	maxSeedPings = 8
	// seedSyncDelay is the time from these pings to the next anti-entropy
	// exchange. The acks have arrived by then.
	seedSyncDelay = 50 * time.Millisecond
)

// addSeeds stores further addresses to join through and pings some of those that
// do not belong to a present member.
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
		if n.presentByAddr[addr] == nil {
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
	for _, addr := range unknown[:min(len(unknown), maxSeedPings)] {
		if !n.hasBudget(200, 0) {
			break
		}
		n.lastSeq++
		n.ping(addr, nil, n.lastSeq)
	}
	if n.nextSync.After(n.now.Add(seedSyncDelay)) {
		n.nextSync = n.now.Add(seedSyncDelay)
	}
}
