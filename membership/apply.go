package membership

// apply takes in one statement about a member. It returns the entry when the
// statement is older than what the node knows, so that the sender can be told.
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
	before, beforeMeta := e.State, e.Meta
	news, level := n.applyMeta(e, u)
	switch u.state {
	case Alive:
		if u.incarnation > e.Incarnation {
			e.Incarnation = u.incarnation
			if e.State != Alive {
				n.setState(e, Alive)
				level = min(level, prompt)
			}
			news = true
		} else if !e.State.Present() {
			return e
		}
	case Suspect:
		news = n.applySuspect(e, u) || news
		level = min(level, routine)
	case Dead, Left:
		switch {
		case u.incarnation < e.Incarnation:
			return e
		case e.State.Present(), u.state == Left && e.State == Dead:
			e.Incarnation = u.incarnation
			n.setState(e, u.state)
			news = true
			if u.state == Left {
				level = urgent
			} else {
				level = min(level, prompt)
			}
		default:
			e.Incarnation = u.incarnation
		}
	}
	if news {
		n.pass(e, min(level, routine), u.full && e.metaInc == u.metaInc)
	} else if u.incarnation == e.Incarnation && u.state == e.State {
		e.rumor.hear()
	}
	if e.State != before || e.Meta != beforeMeta {
		n.emit(MemberChanged{e.Member})
	}
	return nil
}

// applyMeta takes newer metadata from u and reports whether there was any, and
// how fast it must spread.
func (n *Node) applyMeta(e *entry, u *update) (news bool, level urgency) {
	if u.metaInc <= e.metaInc || !u.full && u.descInc != e.descInc {
		return false, routine
	}
	level = routine
	if u.meta.TargetState != e.Meta.TargetState {
		level = stateUrgency(u.meta.TargetState)
	} else if u.full {
		level = prompt
	}
	if u.full {
		if e.Addr != u.addr && e.State.Present() {
			if n.byAddr[e.Addr] == e {
				delete(n.byAddr, e.Addr)
			}
			n.byAddr[u.addr] = e
		}
		e.Addr, e.Meta = u.addr, u.meta
		e.descInc = u.descInc
	} else {
		e.Meta.TargetState = u.meta.TargetState
	}
	n.setMetaInc(e, u.metaInc)
	return true, level
}

func (n *Node) applySuspect(e *entry, u *update) (news bool) {
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

// applyNew adds a member. A member without metadata cannot be reached, and a
// dead member that the node never knew is of no use to it.
func (n *Node) applyNew(u *update) {
	if !u.full || !u.state.Present() {
		return
	}
	if len(n.present)+1 >= n.cfg.MaxMembers {
		n.stats.Evicted++
		return
	}
	e := &entry{
		Member:  Member{ID: u.id, Addr: u.addr, Incarnation: u.incarnation, Meta: u.meta},
		metaInc: u.metaInc, descInc: u.descInc, changedAt: n.now,
	}
	n.insert(e)
	n.enter(e)
	if u.state == Suspect {
		n.setState(e, Suspect)
		e.suspicion = n.newSuspicion(u.suspector)
	}
	if len(n.present) == 1 {
		n.nextSync = n.now
	}
	if e.Addr == n.self.Addr {
		// Only one process at a time holds an address, and this one does.
		n.declareDead(e)
	} else {
		n.pass(e, prompt, true)
	}
	n.emit(MemberChanged{e.Member})
}

// pass queues news heard from another member. What anti-entropy brings is only
// passed on if it is urgent: it repairs what dissemination has missed, and a
// joining member that repeated the whole table would use up its budget for
// minutes.
func (n *Node) pass(e *entry, level urgency, full bool) {
	if !n.syncing || level == urgent {
		n.enqueue(item{member: e}, level, full)
	}
}

// applySelf refutes what others wrongly say about this node.
func (n *Node) applySelf(u *update) {
	if n.leaving {
		return
	}
	if u.state == Alive && u.incarnation <= n.self.Incarnation || u.incarnation < n.self.Incarnation {
		if u.incarnation == n.self.Incarnation {
			n.self.rumor.hear()
		}
		return
	}
	n.raiseIncarnation(u.incarnation + 1)
	n.stats.Refutations++
	if u.state != Alive {
		n.adjustHealth(1)
	}
	n.enqueue(item{member: n.self}, urgent, false)
}

func (n *Node) adjustHealth(by int) {
	n.health = min(max(n.health+by, 0), n.cfg.MaxHealthScore)
}

// declareDead marks a present member dead on this node's own evidence.
func (n *Node) declareDead(e *entry) {
	n.setState(e, Dead)
	n.stats.Deaths++
	n.enqueue(item{member: e}, prompt, false)
}

// suspect raises or confirms a suspicion on this node's own evidence.
func (n *Node) suspect(e *entry) {
	own := shortHash(n.self.ID)
	switch e.State {
	case Alive:
		n.stats.Suspicions++
		n.setState(e, Suspect)
		e.suspicion = n.newSuspicion(own)
		n.emit(MemberChanged{e.Member})
	case Suspect:
		if !e.suspicion.confirm(own) {
			return
		}
	default:
		return
	}
	n.enqueue(item{member: e}, routine, false)
}
