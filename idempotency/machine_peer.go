package idempotency

import "time"

// heartbeatDelay is how long the stream may be idle before this process appends a
// heartbeat. It differs between processes, so that usually only one of them does.
func (m *Machine) heartbeatDelay() time.Duration {
	half := m.cfg.maxHeartbeatInterval() / 2
	return half + half*time.Duration(m.self[15])/256
}

// queryOwner queries the owner of the blocking claim for its outcome.
func (m *Machine) queryOwner(l *localKey, after time.Duration) {
	m.lastQuery++
	l.queryID = m.lastQuery
	m.emit(QueryOwner{ID: l.queryID, Owner: m.index.ownerIDs[l.queried.owner], Delay: after,
		Ref: ClaimRef{Hash: l.key.Hash, Nonce: l.queried.nonce}})
}

// ownerReply handles the reply from the owner of the blocking claim.
func (m *Machine) ownerReply(e OwnerReply) {
	l, ok := m.local[e.Ref.Hash]
	if !ok || l.state != stateContending || l.queryID != e.ID {
		return
	}
	o := e.Outcome
	switch o.State {
	case OutcomeFinished:
		m.respondToAll(l, func(attempt uint64) {
			m.emit(Respond{Attempt: attempt, Replayed: true, Response: o.Response})
		})
		m.abandon(l)
	case OutcomeFinishedWithoutResponse:
		m.fail(l, alreadyRan())
	case OutcomeRunning:
		l.blocked = true
		m.queryOwner(l, m.cfg.RetryPause)
	case OutcomeNotRun:
		// The key becomes free when the release is read from the log; the
		// owner appends the release again when it is queried.
		if l.blocked {
			l.blocked, l.waitingSince = false, m.now
		}
		if l.nonce == 0 {
			if err := m.mayClaim(l.key); err != nil {
				m.fail(l, err)
				return
			}
			m.claim(l)
		}
		m.queryOwner(l, 2*m.cfg.RetryPause)
	default:
		m.fail(l, claimLost("the process that claimed the key does not know the outcome or cannot be reached"))
	}
}

// outcomeQuery answers a query from another process, at once or when the claim's
// outcome is known.
func (m *Machine) outcomeQuery(e OutcomeQuery) {
	l, ok := m.local[e.Ref.Hash]
	switch {
	case e.Owner != m.self:
		m.emit(OutcomeReply{ID: e.ID})
	case ok && l.nonce == e.Ref.Nonce && l.nonce != 0:
		switch l.state {
		case stateFinished:
			if response, ok := m.responses.get(e.Ref.Hash); ok {
				m.emit(OutcomeReply{ID: e.ID, Outcome: Outcome{State: OutcomeFinished, Response: response}})
			} else {
				m.emit(OutcomeReply{ID: e.ID, Outcome: Outcome{State: OutcomeFinishedWithoutResponse}})
			}
		case stateResponseLost:
			m.emit(OutcomeReply{ID: e.ID, Outcome: Outcome{State: OutcomeMayHaveRun}})
		default:
			l.queries = append(l.queries, e.ID)
			m.queries[e.ID] = l
		}
	default:
		r, ok := m.released[e.Ref.Nonce]
		if !ok || r.hash != e.Ref.Hash {
			m.emit(OutcomeReply{ID: e.ID})
			return
		}
		// The querying process has not read the release yet, or it started
		// after the release and read a late copy of the claim.
		if m.now-r.lastSent >= m.cfg.RetryPause {
			m.appendRelease(e.Ref.Nonce, r)
		}
		m.emit(OutcomeReply{ID: e.ID, Outcome: Outcome{State: OutcomeNotRun}})
	}
}

func (m *Machine) outcomeQueryTimeout(id uint64) {
	if l, ok := m.queries[id]; ok {
		delete(m.queries, id)
		l.queries = remove(l.queries, id)
		m.emit(OutcomeReply{ID: id, Outcome: Outcome{State: OutcomeRunning}})
	}
}

// replyToQueries answers the queries that wait for the claim of l.
func (m *Machine) replyToQueries(l *localKey, o Outcome) {
	for _, id := range l.queries {
		delete(m.queries, id)
		m.emit(OutcomeReply{ID: id, Outcome: o})
	}
	l.queries = nil
}
