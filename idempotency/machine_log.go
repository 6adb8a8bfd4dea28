package idempotency

// records adds a batch to the index and re-evaluates the keys that it affects.
func (m *Machine) records(e Records) {
	m.readFailing = false
	if len(e.Batch.Records) > 0 {
		m.lastRecordAt = m.now
	}
	var affected []*localKey
	m.index.Apply(e.Batch, func(r Record, timeMS int64) {
		own := r.Owner == m.self
		l, handled := m.local[r.Hash]
		switch {
		case r.Type == RecordHeartbeat:
			return
		case r.Type == RecordRelease && own:
			if released, ok := m.released[r.Nonce]; ok {
				released.confirmed = true
			}
		case r.Type == RecordClaim && own:
			if handled && l.nonce == r.Nonce {
				if !l.confirmed {
					l.confirmed, l.confirmedTimeMS = true, timeMS
				}
			} else if released, ok := m.released[r.Nonce]; ok && !released.confirmed {
				m.appendRelease(r.Nonce, released)
			}
		}
		if handled {
			affected = append(affected, l)
		}
	})
	m.caughtUp = m.caughtUp || e.AtEnd
	for _, l := range affected {
		m.evaluate(l)
	}
	if e.AtEnd && m.index.gap {
		m.appendHeartbeat()
	}
}

func (m *Machine) appendDone(ref AppendRef) {
	m.appendsInFlight--
	m.appendFailed = false
	switch ref.Type {
	case RecordRelease:
		if r, ok := m.released[ref.Nonce]; ok {
			r.inFlight = false
		}
	case RecordHeartbeat:
		m.heartbeatInFlight = false
	}
}

func (m *Machine) appendFailure(ref AppendRef) {
	m.appendsInFlight--
	m.appendFailed = true
	m.nextProbeAt = m.now + m.cfg.RetryPause
	if ref.Type == RecordHeartbeat {
		m.heartbeatInFlight = false
		m.nextHeartbeatAt = m.now + m.cfg.RetryPause
		return
	}
	m.retries.push(retryItem{ref: ref, at: m.now + m.cfg.RetryPause})
}

// retry repeats an append with the same nonce if it is still needed.
func (m *Machine) retry(ref AppendRef) {
	switch ref.Type {
	case RecordClaim:
		l, ok := m.local[ref.Hash]
		if ok && l.nonce == ref.Nonce && !l.confirmed && l.state == stateContending {
			m.appendClaim(l)
		}
	case RecordRelease:
		if r, ok := m.released[ref.Nonce]; ok {
			r.inFlight = false
			if !r.confirmed {
				m.appendRelease(ref.Nonce, r)
			}
		}
	}
}

// tick retries appends, removes expired keys and appends a heartbeat to an idle
// stream.
func (m *Machine) tick() {
	for m.retries.len() > 0 && m.retries.front().at <= m.now {
		m.retry(m.retries.pop().ref)
		if m.appendFailed {
			break // while appends fail, one append per tick probes the log
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
	if m.caughtUp && (m.index.gap || m.now-m.lastRecordAt >= m.heartbeatDelay()) {
		m.appendHeartbeat()
	}
}

// appendHeartbeat appends a heartbeat unless one was appended recently.
func (m *Machine) appendHeartbeat() {
	if m.heartbeatInFlight || m.now < m.nextHeartbeatAt {
		return
	}
	m.heartbeatInFlight = true
	m.nextHeartbeatAt = m.now + m.heartbeatDelay()
	m.append(AppendRef{Type: RecordHeartbeat}, Record{Type: RecordHeartbeat, Owner: m.self})
}

func (m *Machine) append(ref AppendRef, r Record) {
	m.appendsInFlight++
	m.emit(Append{Ref: ref, Data: r.Encode()})
}
