package membership

import "github.com/google/uuid"

// insert adds e to members and to its bucket.
func (n *Node) insert(e *entry) {
	e.digest = memberDigest(e.ID, e.metaIncarnation)
	e.bucket = memberBucket(e.ID)
	e.bucketIndex = len(n.buckets[e.bucket])
	n.buckets[e.bucket] = append(n.buckets[e.bucket], e)
	n.members[e.ID] = e
}

// remove deletes an absent member.
func (n *Node) remove(e *entry) {
	n.absent = removeEntry(n.absent, e)
	b := n.buckets[e.bucket]
	last := b[len(b)-1]
	b[e.bucketIndex] = last
	last.bucketIndex = e.bucketIndex
	b[len(b)-1] = nil
	n.buckets[e.bucket] = b[:len(b)-1]
	delete(n.members, e.ID)
	e.rumor.queued = false
}

// removeEntry removes e from list, which is Node.present or Node.absent, by
// moving the last entry to its index.
func removeEntry(list []*entry, e *entry) []*entry {
	last := list[len(list)-1]
	list[e.index] = last
	last.index = e.index
	list[len(list)-1] = nil
	return list[:len(list)-1]
}

// addPresent adds e to the present members.
func (n *Node) addPresent(e *entry) {
	e.index = len(n.present)
	n.present = append(n.present, e)
	n.bucketDigests[e.bucket] ^= e.digest
	n.presentByAddr[e.Addr] = e
	// Insert e at a random position among the members that are still to be
	// probed in the current pass.
	n.probeOrder = append(n.probeOrder, e)
	last := len(n.probeOrder) - 1
	i := n.probeCursor + n.rng.IntN(last-n.probeCursor+1)
	n.probeOrder[i], n.probeOrder[last] = n.probeOrder[last], n.probeOrder[i]
}

// movePresentToAbsent moves e from present to absent. If absent is full, it
// removes the member that has been absent longest.
func (n *Node) movePresentToAbsent(e *entry) {
	n.present = removeEntry(n.present, e)
	n.bucketDigests[e.bucket] ^= e.digest
	if n.presentByAddr[e.Addr] == e {
		delete(n.presentByAddr, e.Addr)
	}
	if len(n.absent) >= n.cfg.MaxDead {
		oldest := n.absent[0]
		for _, g := range n.absent {
			if g.changedAt.Before(oldest.changedAt) {
				oldest = g
			}
		}
		n.remove(oldest)
		n.stats.Evicted++
	}
	e.index = len(n.absent)
	n.absent = append(n.absent, e)
}

// setState sets the state of e and updates the tables accordingly.
func (n *Node) setState(e *entry, state State) {
	old := e.State
	e.State = state
	if old == state {
		return
	}
	if old == Suspect {
		e.suspicion = nil
		for i, o := range n.suspects {
			if o == e {
				n.suspects[i] = n.suspects[len(n.suspects)-1]
				n.suspects = n.suspects[:len(n.suspects)-1]
				break
			}
		}
	}
	if state == Suspect {
		n.suspects = append(n.suspects, e)
	}
	switch {
	case old.Present() && !state.Present():
		n.movePresentToAbsent(e)
	case !old.Present() && state.Present():
		n.absent = removeEntry(n.absent, e)
		n.addPresent(e)
	}
	e.changedAt = n.now
}

// setMetaIncarnation sets the incarnation of the metadata of e and updates the
// digests.
func (n *Node) setMetaIncarnation(e *entry, incarnation uint64) {
	if e.State.Present() {
		n.bucketDigests[e.bucket] ^= e.digest
	}
	e.metaIncarnation = incarnation
	e.digest = memberDigest(e.ID, incarnation)
	if e.State.Present() {
		n.bucketDigests[e.bucket] ^= e.digest
	}
}

// lookup returns the entry of another member, and nil if it is unknown or is
// this node itself.
func (n *Node) lookup(id uuid.UUID) *entry {
	if id == n.self.ID {
		return nil
	}
	return n.members[id]
}

// rootDigest returns a digest of all bucket digests.
func (n *Node) rootDigest() uint64 {
	// Each bucket digest is mixed with its index, so that equal differences in
	// two buckets do not cancel out.
	var root uint64
	for i, d := range n.bucketDigests {
		root ^= (d + uint64(i)) * 0x9e3779b97f4a7c15
	}
	return root
}
