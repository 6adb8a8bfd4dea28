package idempotency

// records folds a batch and decides the keys that it concerns.
func (m *Machine) records(e Records) {
	m.readFailing = false
	if len(e.Batch.Records) > 0 {
		m.recordAt = m.now
	}
	var touched []*localKey
	m.fold.Apply(e.Batch, func(r Record, timeMS int64) {
		own := r.Owner == m.self
		l, handled := m.local[r.Hash]
		switch {
		case r.Type == RecordTick:
			return
		case r.Type == RecordRelease && own:
			if released, ok := m.released[r.Nonce]; ok {
				released.seen = true
			}
		case r.Type == RecordClaim && own:
			if handled && l.nonce == r.Nonce {
				if !l.placed {
					l.placed, l.placedTimeMS = true, timeMS
				}
			} else if released, ok := m.released[r.Nonce]; ok && !released.seen {
				m.appendRelease(r.Nonce, released)
			}
		}
		if handled {
			touched = append(touched, l)
		}
	})
	m.caughtUp = m.caughtUp || e.AtEnd
	for _, l := range touched {
		m.evaluate(l)
	}
	if e.AtEnd && m.fold.gap {
		m.appendTick()
	}
}

func (m *Machine) appendDone(ref AppendRef) {
	m.inFlight--
	m.appendFailed = false
	switch ref.Type {
	case RecordRelease:
		if r, ok := m.released[ref.Nonce]; ok {
			r.inFlight = false
		}
	case RecordTick:
		m.tickInFlight = false
	}
}

func (m *Machine) appendFailure(ref AppendRef) {
	m.inFlight--
	m.appendFailed = true
	m.probeAt = m.now + m.cfg.RetryPause
	if ref.Type == RecordTick {
		m.tickInFlight = false
		m.tickAt = m.now + m.cfg.RetryPause
		return
	}
	m.retries.push(retryItem{ref: ref, at: m.now + m.cfg.RetryPause})
}

// retry repeats an append with the same nonce while it is still wanted.
func (m *Machine) retry(ref AppendRef) {
	switch ref.Type {
	case RecordClaim:
		l, ok := m.local[ref.Hash]
		if ok && l.nonce == ref.Nonce && !l.placed && l.state == stateContending {
			m.appendClaim(l)
		}
	case RecordRelease:
		if r, ok := m.released[ref.Nonce]; ok {
			r.inFlight = false
			if !r.seen {
				m.appendRelease(ref.Nonce, r)
			}
		}
	}
}

// tick repeats appends, forgets old keys and keeps an idle stream dated.
func (m *Machine) tick() {
	for m.retries.len() > 0 && m.retries.front().at <= m.now {
		m.retry(m.retries.pop().ref)
		if m.appendFailed {
			break // the log is probed with one append per tick
		}
	}
	for m.expiring.len() > 0 && m.expiring.front().at <= m.now {
		l := m.expiring.pop().local
		if m.local[l.key.Hash] == l {
			delete(m.local, l.key.Hash)
			m.responses.remove(l.key.Hash)
		}
	}
	for m.expiringNonces.len() > 0 && m.expiringNonces.front().at <= m.now {
		delete(m.released, m.expiringNonces.pop().nonce)
	}
	if m.caughtUp && (m.fold.gap || m.now-m.recordAt >= m.idleTick()) {
		m.appendTick()
	}
}

// appendTick appends a tick, unless one was appended recently.
func (m *Machine) appendTick() {
	if m.tickInFlight || m.now < m.tickAt {
		return
	}
	m.tickInFlight = true
	m.tickAt = m.now + m.idleTick()
	m.append(AppendRef{Type: RecordTick}, Record{Type: RecordTick, Owner: m.self})
}

func (m *Machine) append(ref AppendRef, r Record) {
	m.inFlight++
	m.emit(Append{Ref: ref, Data: r.Encode()})
}
