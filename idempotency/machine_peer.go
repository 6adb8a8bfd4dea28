package idempotency

import "time"

// idleTick is how long the stream may be idle before this process appends a
// tick. It differs between processes, so that one tick serves all of them.
func (m *Machine) idleTick() time.Duration {
	half := m.cfg.tickInterval() / 2
	return half + half*time.Duration(m.self[15])/256
}

// ask asks the owner of the blocking claim.
func (m *Machine) ask(l *localKey, after time.Duration) {
	m.lastAsk++
	l.askID = m.lastAsk
	m.emit(Ask{ID: l.askID, Owner: m.fold.ids[l.asked.owner], After: after,
		Ref: ClaimRef{Hash: l.key.Hash, Nonce: l.asked.nonce}})
}

// answer handles what the owner of the blocking claim says.
func (m *Machine) answer(e Answer) {
	l, ok := m.local[e.Ref.Hash]
	if !ok || l.state != stateContending || l.askID != e.ID {
		return
	}
	o := e.Outcome
	switch o.State {
	case OutcomeFinished:
		m.answerAll(l, func(attempt uint64) {
			m.emit(Respond{Attempt: attempt, Replayed: true, Response: o.Response})
		})
		m.giveUp(l)
	case OutcomeFinishedWithoutResponse:
		m.fail(l, alreadyRan())
	case OutcomeRunning:
		l.blocked = true
		m.ask(l, m.cfg.RetryPause)
	case OutcomeNotRun:
		// The key is free when the release is in the log; the owner appends
		// it again for every question.
		if l.blocked {
			l.blocked, l.logSince = false, m.now
		}
		if l.nonce == 0 {
			if err := m.mayClaim(l.key); err != nil {
				m.fail(l, err)
				return
			}
			m.claim(l)
		}
		m.ask(l, 2*m.cfg.RetryPause)
	default:
		m.fail(l, claimLost("the process that holds the key does not know the outcome or is gone"))
	}
}

// question answers another process, at once or when the own claim has ended.
func (m *Machine) question(e Question) {
	l, ok := m.local[e.Ref.Hash]
	switch {
	case e.Owner != m.self:
		m.emit(Reply{ID: e.ID})
	case ok && l.nonce == e.Ref.Nonce && l.nonce != 0:
		switch l.state {
		case stateFinished:
			if response, ok := m.responses.get(e.Ref.Hash); ok {
				m.emit(Reply{ID: e.ID, Outcome: Outcome{State: OutcomeFinished, Response: response}})
			} else {
				m.emit(Reply{ID: e.ID, Outcome: Outcome{State: OutcomeFinishedWithoutResponse}})
			}
		case stateLost:
			m.emit(Reply{ID: e.ID, Outcome: Outcome{State: OutcomeMayHaveRun}})
		default:
			l.questions = append(l.questions, e.ID)
			m.questions[e.ID] = l
		}
	default:
		r, ok := m.released[e.Ref.Nonce]
		if !ok || r.hash != e.Ref.Hash {
			m.emit(Reply{ID: e.ID})
			return
		}
		// The asking process has not read the release, or it started after
		// the release and read a late copy of the claim.
		if m.now-r.lastSent >= m.cfg.RetryPause {
			m.appendRelease(e.Ref.Nonce, r)
		}
		m.emit(Reply{ID: e.ID, Outcome: Outcome{State: OutcomeNotRun}})
	}
}

func (m *Machine) questionTimeout(id uint64) {
	if l, ok := m.questions[id]; ok {
		delete(m.questions, id)
		l.questions = remove(l.questions, id)
		m.emit(Reply{ID: id, Outcome: Outcome{State: OutcomeRunning}})
	}
}

// replyAll answers the questions that wait for an own claim.
func (m *Machine) replyAll(l *localKey, o Outcome) {
	for _, id := range l.questions {
		delete(m.questions, id)
		m.emit(Reply{ID: id, Outcome: o})
	}
	l.questions = nil
}
