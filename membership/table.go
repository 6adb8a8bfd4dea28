package membership

import "github.com/google/uuid"

// insert adds e to the tables that hold every entry.
func (n *Node) insert(e *entry) {
	e.digest = digestOf(e.ID, e.metaInc)
	e.bucket = bucketOf(e.ID)
	e.bucketIndex = len(n.buckets[e.bucket])
	n.buckets[e.bucket] = append(n.buckets[e.bucket], e)
	n.members[e.ID] = e
}

// remove forgets a member that is gone.
func (n *Node) remove(e *entry) {
	n.gone = dropEntry(n.gone, e)
	b := n.buckets[e.bucket]
	last := b[len(b)-1]
	b[e.bucketIndex] = last
	last.bucketIndex = e.bucketIndex
	b[len(b)-1] = nil
	n.buckets[e.bucket] = b[:len(b)-1]
	delete(n.members, e.ID)
	e.rumor.queued = false
}

func dropEntry(list []*entry, e *entry) []*entry {
	last := list[len(list)-1]
	list[e.index] = last
	last.index = e.index
	list[len(list)-1] = nil
	return list[:len(list)-1]
}

// enter makes e count as present.
func (n *Node) enter(e *entry) {
	e.index = len(n.present)
	n.present = append(n.present, e)
	n.digests[e.bucket] ^= e.digest
	n.byAddr[e.Addr] = e
	// A random place among the members still to be probed in this round.
	n.order = append(n.order, e)
	last := len(n.order) - 1
	i := n.cursor + n.rng.IntN(last-n.cursor+1)
	n.order[i], n.order[last] = n.order[last], n.order[i]
}

// exit ends the presence of e.
func (n *Node) exit(e *entry) {
	n.present = dropEntry(n.present, e)
	n.digests[e.bucket] ^= e.digest
	if n.byAddr[e.Addr] == e {
		delete(n.byAddr, e.Addr)
	}
	if len(n.gone) >= n.cfg.MaxDead {
		oldest := n.gone[0]
		for _, g := range n.gone {
			if g.changedAt.Before(oldest.changedAt) {
				oldest = g
			}
		}
		n.remove(oldest)
		n.stats.Evicted++
	}
	e.index = len(n.gone)
	n.gone = append(n.gone, e)
}

// setState moves e to state s and keeps the tables in step.
func (n *Node) setState(e *entry, s State) {
	was := e.State
	e.State = s
	if was == s {
		return
	}
	if was == Suspect {
		e.suspicion = nil
		for i, o := range n.suspects {
			if o == e {
				n.suspects[i] = n.suspects[len(n.suspects)-1]
				n.suspects = n.suspects[:len(n.suspects)-1]
				break
			}
		}
	}
	if s == Suspect {
		n.suspects = append(n.suspects, e)
	}
	switch {
	case was.Present() && !s.Present():
		n.exit(e)
	case !was.Present() && s.Present():
		n.gone = dropEntry(n.gone, e)
		n.enter(e)
	}
	e.changedAt = n.now
}

// setMetaInc records that e now holds the metadata of incarnation inc.
func (n *Node) setMetaInc(e *entry, inc uint64) {
	if e.State.Present() {
		n.digests[e.bucket] ^= e.digest
	}
	e.metaInc = inc
	e.digest = digestOf(e.ID, inc)
	if e.State.Present() {
		n.digests[e.bucket] ^= e.digest
	}
}

func (n *Node) lookup(id uuid.UUID) *entry {
	if id == n.self.ID {
		return nil
	}
	return n.members[id]
}

func (n *Node) root() uint64 {
	// The buckets are combined by position, so that equal differences in two
	// buckets do not cancel out.
	var root uint64
	for i, d := range n.digests {
		root ^= (d + uint64(i)) * 0x9e3779b97f4a7c15
	}
	return root
}
