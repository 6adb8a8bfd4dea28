package idempotency

// take returns the key of a token that was not ended and ends the token.
func (m *Machine) take(token uint64) (*localKey, bool) {
	l, ok := m.tokens[token]
	if !ok {
		return nil, false
	}
	delete(m.tokens, token)
	l.token = 0
	return l, true
}

// write permits the first write of a token.
func (m *Machine) write(token uint64) {
	l, ok := m.tokens[token]
	if !ok || l.state != stateHeld || m.tooOld(l) {
		return
	}
	l.state = stateWritten
	m.emit(AllowWrite{Token: token})
}

func (m *Machine) finish(token uint64, response []byte) {
	l, ok := m.take(token)
	if !ok {
		return
	}
	l.state = stateFinished
	m.responses.put(l.key.Hash, response)
	m.remember(l)
	// Waiting attempts get the response also when it is too large to store.
	m.answerAll(l, func(attempt uint64) {
		m.emit(Respond{Attempt: attempt, Replayed: true, Response: response})
	})
	m.replyAll(l, Outcome{State: OutcomeFinished, Response: response})
}

func (m *Machine) lost(token uint64) {
	l, ok := m.take(token)
	if !ok {
		return
	}
	l.state = stateLost
	m.remember(l)
	m.answerAll(l, func(attempt uint64) {
		m.refuse(attempt, claimLost("the request was sent and its response was lost"))
	})
	m.replyAll(l, Outcome{State: OutcomeMayHaveRun})
}

// release hands the claim to the next waiting attempt, or gives it up.
func (m *Machine) release(token uint64) {
	l, ok := m.take(token)
	if !ok {
		return
	}
	switch {
	case len(l.attempts) == 0:
		m.giveUp(l)
	case m.tooOld(l):
		m.fail(l, unavailable("the claim has become older than the window"))
	default:
		m.grant(l)
	}
}

// remember keeps an ended key for as long as it may be asked for.
func (m *Machine) remember(l *localKey) {
	m.expiring.push(expiringKey{local: l, at: m.now + m.memory()})
}
