package membership

// apply merges one received update into the member table. If the update is
// older than the local state, it returns the entry, so that the newer state can
// be sent back.
func (n *Node) apply(u *update) (outdated *entry) {
	if u.id == n.self.ID {
		n.applySelf(u)
		return nil
	}
	e := n.members[u.id]
	if e == nil {
		n.applyNew(u)
		return nil
	}
	oldState, oldMeta := e.State, e.Meta
	changed, urgency := n.applyMeta(e, u)
	switch u.state {
	case Alive:
		if u.incarnation > e.Incarnation {
			e.Incarnation = u.incarnation
			if e.State != Alive {
				n.setState(e, Alive)
				urgency = min(urgency, prompt)
			}
			changed = true
		} else if !e.State.Present() {
			return e
		}
	case Suspect:
		changed = n.applySuspect(e, u) || changed
		urgency = min(urgency, routine)
	case Dead, Left:
		switch {
		case u.incarnation < e.Incarnation:
			return e
		case e.State.Present(), u.state == Left && e.State == Dead:
			e.Incarnation = u.incarnation
			n.setState(e, u.state)
			changed = true
			if u.state == Left {
				urgency = urgent
			} else {
				urgency = min(urgency, prompt)
			}
		default:
			e.Incarnation = u.incarnation
		}
	}
	if changed {
		n.forward(e, min(urgency, routine), u.hasFullMeta && e.metaIncarnation == u.metaIncarnation)
	} else if u.incarnation == e.Incarnation && u.state == e.State {
		e.rumor.countDuplicate()
	}
	if e.State != oldState || e.Meta != oldMeta {
		n.emit(MemberChanged{e.Member})
	}
	return nil
}

// applyMeta copies the metadata of u if it is newer than that of e. It reports
// whether it was, and how urgently the change must be disseminated.
func (n *Node) applyMeta(e *entry, u *update) (changed bool, urgency urgencyLevel) {
	if u.metaIncarnation <= e.metaIncarnation || !u.hasFullMeta && u.descIncarnation != e.descIncarnation {
		return false, routine
	}
	urgency = routine
	if u.meta.TargetState != e.Meta.TargetState {
		urgency = stateUrgency(u.meta.TargetState)
	} else if u.hasFullMeta {
		urgency = prompt
	}
	if u.hasFullMeta {
		if e.Addr != u.addr && e.State.Present() {
			if n.presentByAddr[e.Addr] == e {
				delete(n.presentByAddr, e.Addr)
			}
			n.presentByAddr[u.addr] = e
		}
		e.Addr, e.Meta = u.addr, u.meta
		e.descIncarnation = u.descIncarnation
	} else {
		e.Meta.TargetState = u.meta.TargetState
	}
	n.setMetaIncarnation(e, u.metaIncarnation)
	return true, urgency
}

// applySuspect applies an update that suspects e, and reports whether it
// changed anything that must be disseminated.
func (n *Node) applySuspect(e *entry, u *update) (changed bool) {
	switch {
	case u.incarnation < e.Incarnation:
		return false
	case u.incarnation == e.Incarnation && e.State == Suspect:
		return e.suspicion.confirm(u.suspector)
	case u.incarnation == e.Incarnation && e.State != Alive:
		return false
	}
	e.Incarnation = u.incarnation
	n.setState(e, Suspect)
	e.suspicion = n.newSuspicion(u.suspector)
	return true
}

// applyNew adds an unknown member. Updates without full metadata are ignored,
// because they hold no address, and so are unknown members that are dead or left.
func (n *Node) applyNew(u *update) {
	if !u.hasFullMeta || !u.state.Present() {
		return
	}
	if len(n.present)+1 >= n.cfg.MaxMembers {
		n.stats.Evicted++
		return
	}
	e := &entry{
		Member:          Member{ID: u.id, Addr: u.addr, Incarnation: u.incarnation, Meta: u.meta},
		metaIncarnation: u.metaIncarnation, descIncarnation: u.descIncarnation, changedAt: n.now,
	}
	n.insert(e)
	n.addPresent(e)
	if u.state == Suspect {
		n.setState(e, Suspect)
		e.suspicion = n.newSuspicion(u.suspector)
	}
	if len(n.present) == 1 {
		n.nextSync = n.now
	}
	if e.Addr == n.self.Addr {
		// Only one process at a time can own an address, and this node owns it.
		n.declareDead(e)
	} else {
		n.forward(e, prompt, true)
	}
	n.emit(MemberChanged{e.Member})
}

// forward queues an update received from another member for dissemination.
// Updates received through anti-entropy are forwarded only if they are urgent:
// most members have them already, and a joining member that forwarded the whole
// table would use up its send budget for minutes.
func (n *Node) forward(e *entry, urgency urgencyLevel, withFullMeta bool) {
	if !n.syncing || urgency == urgent {
		n.enqueue(queueItem{member: e}, urgency, withFullMeta)
	}
}

// applySelf refutes an update that reports this node as suspect, dead or left,
// or with an incarnation above its own.
func (n *Node) applySelf(u *update) {
	if n.leaving {
		return
	}
	if u.state == Alive && u.incarnation <= n.self.Incarnation || u.incarnation < n.self.Incarnation {
		if u.incarnation == n.self.Incarnation {
			n.self.rumor.countDuplicate()
		}
		return
	}
	n.raiseIncarnation(u.incarnation + 1)
	n.stats.Refutations++
	if u.state != Alive {
		n.adjustHealthScore(1)
	}
	n.enqueue(queueItem{member: n.self}, urgent, false)
}

func (n *Node) adjustHealthScore(delta int) {
	n.healthScore = min(max(n.healthScore+delta, 0), n.cfg.MaxHealthScore)
}

// declareDead marks a present member dead based on local observation.
func (n *Node) declareDead(e *entry) {
	n.setState(e, Dead)
	n.stats.Deaths++
	n.enqueue(queueItem{member: e}, prompt, false)
}

// suspect raises or confirms a suspicion based on a failed local probe.
func (n *Node) suspect(e *entry) {
	ownHash := shortHash(n.self.ID)
	switch e.State {
	case Alive:
		n.stats.Suspicions++
		n.setState(e, Suspect)
		e.suspicion = n.newSuspicion(ownHash)
		n.emit(MemberChanged{e.Member})
	case Suspect:
		if !e.suspicion.confirm(ownHash) {
			return
		}
	default:
		return
	}
	n.enqueue(queueItem{member: e}, routine, false)
}
