package idempotency

// takeToken ends a token and returns its key; ok is false if the token has
// already ended.
func (m *Machine) takeToken(token uint64) (*localKey, bool) {
	l, ok := m.tokens[token]
	if !ok {
		return nil, false
	}
	delete(m.tokens, token)
	l.token = 0
	return l, true
}

// write grants the first Write of a token.
func (m *Machine) write(token uint64) {
	l, ok := m.tokens[token]
	if !ok || l.state != stateGranted || m.tooOld(l) {
		return
	}
	l.state = stateWritten
	m.emit(AllowWrite{Token: token})
}

func (m *Machine) finish(token uint64, response []byte) {
	l, ok := m.takeToken(token)
	if !ok {
		return
	}
	l.state = stateFinished
	m.responses.put(l.key.Hash, response)
	m.scheduleExpiry(l)
	// Waiting attempts get the response even if it is too large to store.
	m.respondToAll(l, func(attempt uint64) {
		m.emit(Respond{Attempt: attempt, Replayed: true, Response: response})
	})
	m.replyToQueries(l, Outcome{State: OutcomeFinished, Response: response})
}

func (m *Machine) responseLost(token uint64) {
	l, ok := m.takeToken(token)
	if !ok {
		return
	}
	l.state = stateResponseLost
	m.scheduleExpiry(l)
	m.respondToAll(l, func(attempt uint64) {
		m.refuse(attempt, claimLost("the request was sent and its response was lost"))
	})
	m.replyToQueries(l, Outcome{State: OutcomeMayHaveRun})
}

// release passes the claim to the next waiting attempt or abandons it.
func (m *Machine) release(token uint64) {
	l, ok := m.takeToken(token)
	if !ok {
		return
	}
	switch {
	case len(l.attempts) == 0:
		m.abandon(l)
	case m.tooOld(l):
		m.fail(l, unavailable("the claim is older than the claim window"))
	default:
		m.grant(l)
	}
}

// scheduleExpiry keeps a finished key for the retention period.
func (m *Machine) scheduleExpiry(l *localKey) {
	m.expiring.push(expiringKey{local: l, at: m.now + m.retention()})
}
