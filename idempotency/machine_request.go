package idempotency

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// request handles a new attempt.
func (m *Machine) request(e Request) {
	if e.Key.Form == FormIssued {
		// Checked before the table: only keys that this process handed out
		// are ever entered there.
		if e.Key.Issuer != m.self {
			m.refuse(e.Attempt, kind.New(kind.ClaimLost, "the key was issued by another process"))
			return
		}
		if !m.issuer.genuine(e.Key) {
			// An earlier guard of this process may have issued and executed it.
			m.refuse(e.Attempt, claimLost("the key is not known to have been issued for this service"))
			return
		}
	}
	if l, ok := m.local[e.Key.Hash]; ok {
		m.join(l, e)
		return
	}
	if e.Key.Form == FormIssued {
		m.requestIssued(e)
		return
	}
	l := &localKey{key: e.Key.claimKey(), fingerprint: e.Fingerprint}
	if first, ok := m.fold.first(e.Key.Hash); ok {
		if first.fingerprint != e.Fingerprint {
			m.refuse(e.Attempt, keyReused())
			return
		}
	} else if err := m.mayClaim(l.key); err != nil {
		m.refuse(e.Attempt, err)
		return
	}
	m.local[e.Key.Hash] = l
	m.wait(l, e.Attempt)
	m.evaluate(l)
}

// requestIssued handles the first attempt with a genuine issued key. Without
// an entry in the table the key was not executed since the table last forgot
// keys, and it forgets no key that is younger than the window.
func (m *Machine) requestIssued(e Request) {
	if m.now-e.Key.IssuedAt > m.cfg.Window {
		m.refuse(e.Attempt, kind.New(kind.KeyExpired, "the issued key is older than the claim window"))
		return
	}
	if len(m.local) >= m.cfg.MaxKeys {
		m.refuse(e.Attempt, kind.New(kind.ClaimUnavailable, "too many remembered keys"))
		return
	}
	l := &localKey{key: e.Key.claimKey(), fingerprint: e.Fingerprint, claimedAt: m.now}
	m.local[e.Key.Hash] = l
	m.wait(l, e.Attempt)
	m.grant(l)
}

// join adds an attempt to a key that this process already handles.
func (m *Machine) join(l *localKey, e Request) {
	if l.fingerprint != e.Fingerprint {
		m.refuse(e.Attempt, keyReused())
		return
	}
	switch l.state {
	case stateFinished:
		m.replay(l, e.Attempt)
	case stateLost:
		m.refuse(e.Attempt, claimLost("the request was sent and its response was lost"))
	default:
		m.wait(l, e.Attempt)
	}
}

func (m *Machine) wait(l *localKey, attempt uint64) {
	l.attempts = append(l.attempts, attempt)
	m.attempts[attempt] = l
}

func (m *Machine) replay(l *localKey, attempt uint64) {
	if response, ok := m.responses.get(l.key.Hash); ok {
		m.emit(Respond{Attempt: attempt, Replayed: true, Response: response})
		return
	}
	m.refuse(attempt, alreadyRan())
}

// mayClaim checks before the append whether a claim for key can succeed. The
// decision is made when the claim is read back.
func (m *Machine) mayClaim(key claimKey) *kind.Error {
	switch {
	case key.Form == FormUUIDv7 && m.fold.expired(key.TimeMS):
		return keyExpired()
	case !m.caughtUp:
		return unavailable("the claims stream has not been read to its end")
	case m.readFailing:
		return unavailable("the claims stream cannot be read")
	case m.appendFailed && (m.inFlight > 0 || m.retries.len() > 0 || m.now < m.probeAt):
		// One append at a time probes the log. Without this every request
		// during an outage would leave a release to append.
		return unavailable("claims cannot be appended")
	case m.fold.gap || !m.fold.complete(key.Form, key.TimeMS, m.logTimeMS()):
		return unavailable("claims that may concern the key are not known")
	case m.fold.claims+len(m.local) >= m.cfg.MaxKeys:
		return unavailable("too many remembered keys")
	}
	return nil
}

// logTimeMS estimates the log's time from the newest record. It only saves
// appends that would be in vain.
func (m *Machine) logTimeMS() int64 {
	if m.fold.highMS == noTime {
		return noTime
	}
	return m.fold.highMS + (m.now - m.recordAt).Milliseconds() + m.cfg.LogStep.Milliseconds()
}

// claim appends an own claim for l.
func (m *Machine) claim(l *localKey) {
	m.lastNonce++
	if m.lastNonce == 0 {
		m.lastNonce++
	}
	l.nonce, l.placed, l.claimedAt, l.logSince = m.lastNonce, false, m.now, m.now
	m.appendClaim(l)
}

func (m *Machine) appendClaim(l *localKey) {
	r := Record{Type: RecordClaim, Form: l.key.Form, TimeMS: l.key.TimeMS, Hash: l.key.Hash,
		Fingerprint: l.fingerprint, Owner: m.self, Nonce: l.nonce}
	m.append(AppendRef{Type: RecordClaim, Hash: l.key.Hash, Nonce: l.nonce}, r)
}

// evaluate decides a contending key as far as the fold allows.
func (m *Machine) evaluate(l *localKey) {
	if l.state != stateContending || m.local[l.key.Hash] != l {
		return
	}
	if l.nonce != 0 && !l.placed {
		return
	}
	var blocker claim
	var blocked bool
	if l.placed {
		if err := m.checkPlaced(l); err != nil {
			m.fail(l, err)
			return
		}
		blocker, blocked = m.fold.blocker(l.key.Hash, m.ownID(l.nonce), l.key.Form, l.placedTimeMS)
		if !blocked {
			m.grant(l)
			return
		}
	} else if blocker, blocked = m.fold.first(l.key.Hash); !blocked {
		if err := m.mayClaim(l.key); err != nil {
			m.fail(l, err)
			return
		}
		l.blocked = false
		m.claim(l)
		return
	}
	if blocker.fingerprint != l.fingerprint {
		m.fail(l, keyReused())
		return
	}
	owner := m.fold.ids[blocker.owner]
	if owner == m.self {
		// An own claim that is neither running nor remembered as ended: it
		// may have run, unless it is released and the release not read yet.
		if r, ok := m.released[blocker.nonce]; ok {
			m.appendRelease(blocker.nonce, r)
			return
		}
		m.fail(l, claimLost("the outcome is no longer remembered"))
		return
	}
	id := claimID{nonce: blocker.nonce, owner: blocker.owner}
	if l.asked != id {
		l.asked, l.blocked = id, true
		m.ask(l, 0)
	}
}

// checkPlaced judges the own claim by the log's time and the key's time.
func (m *Machine) checkPlaced(l *localKey) *kind.Error {
	if l.key.Form == FormUUIDv7 {
		age := l.placedTimeMS - l.key.TimeMS
		if age > m.cfg.Window.Milliseconds() {
			return keyExpired()
		}
		if age < -m.cfg.Skew.Milliseconds() {
			return kind.Newf(kind.KeyMalformed, "the key's time is %v ahead of the log's clock", time.Duration(-age)*time.Millisecond)
		}
	}
	if !m.fold.complete(l.key.Form, l.key.TimeMS, l.placedTimeMS) {
		return unavailable("claims that may concern the key are not known")
	}
	if m.tooOld(l) {
		return unavailable("the claim has become older than the window")
	}
	return nil
}

// tooOld reports whether a claim has waited so long that another claim for an
// opaque key may be valid by now.
func (m *Machine) tooOld(l *localKey) bool { return m.now-l.claimedAt >= m.cfg.Window }

func (m *Machine) ownID(nonce uint64) claimID {
	return claimID{nonce: nonce, owner: m.fold.ownerIndex(m.self)}
}

// grant hands a token to the attempt that has waited longest.
func (m *Machine) grant(l *localKey) {
	attempt := l.attempts[0]
	l.attempts = l.attempts[1:]
	delete(m.attempts, attempt)
	m.lastToken++
	l.state, l.token, l.blocked = stateHeld, m.lastToken, false
	m.tokens[l.token] = l
	m.emit(Respond{Attempt: attempt, Token: l.token})
}

// fail refuses every waiting attempt of a key that was not executed and gives
// up its claim.
func (m *Machine) fail(l *localKey, err *kind.Error) {
	m.answerAll(l, func(attempt uint64) {
		own := *err // callers may change their error
		m.refuse(attempt, &own)
	})
	m.giveUp(l)
}

// answerAll answers and removes the waiting attempts.
func (m *Machine) answerAll(l *localKey, answer func(attempt uint64)) {
	for _, attempt := range l.attempts {
		delete(m.attempts, attempt)
		answer(attempt)
	}
	l.attempts = nil
}

// giveUp forgets a key that was not executed and releases its claim.
func (m *Machine) giveUp(l *localKey) {
	m.replyAll(l, Outcome{State: OutcomeNotRun})
	delete(m.local, l.key.Hash)
	if l.nonce == 0 {
		return
	}
	r := &releasedClaim{hash: l.key.Hash}
	m.released[l.nonce] = r
	m.expiringNonces.push(expiringNonce{nonce: l.nonce, at: m.now + 2*m.memory()})
	m.appendRelease(l.nonce, r)
}

func (m *Machine) appendRelease(nonce uint64, r *releasedClaim) {
	if r.inFlight {
		return
	}
	r.inFlight, r.seen, r.lastSent = true, false, m.now
	rec := Record{Type: RecordRelease, Hash: r.hash, Owner: m.self, Nonce: nonce}
	m.append(AppendRef{Type: RecordRelease, Hash: r.hash, Nonce: nonce}, rec)
}

// claimTimeout ends an attempt that has waited too long for the log. Waiting
// for another execution does not count.
func (m *Machine) claimTimeout(e ClaimTimeout) {
	l, ok := m.attempts[e.Attempt]
	if ok && l.state == stateContending && !l.blocked && m.now-l.logSince >= e.Limit {
		m.cancel(e.Attempt)
	}
}

// cancel ends an attempt.
func (m *Machine) cancel(attempt uint64) {
	l, ok := m.attempts[attempt]
	if !ok {
		return
	}
	delete(m.attempts, attempt)
	l.attempts = remove(l.attempts, attempt)
	switch {
	case l.state != stateContending:
		m.refuse(attempt, kind.New(kind.DeadlineExpired, "the same key is still running").WithRun(kind.MayHaveRun))
	case l.blocked:
		m.refuse(attempt, claimLost("another process holds the key and has not finished"))
	default:
		m.refuse(attempt, unavailable("the claim was not confirmed in time"))
	}
	if l.state == stateContending && len(l.attempts) == 0 {
		m.giveUp(l)
	}
}

func unavailable(detail string) *kind.Error {
	return kind.New(kind.ClaimUnavailable, detail).WithRun(kind.NotRun)
}

func claimLost(detail string) *kind.Error {
	return kind.New(kind.ClaimLost, detail).WithRun(kind.MayHaveRun)
}

func keyReused() *kind.Error {
	return kind.New(kind.KeyReused, "the key belongs to another request").WithRun(kind.NotRun)
}

func keyExpired() *kind.Error {
	return kind.New(kind.KeyExpired, "the key is older than the claim window").WithRun(kind.MayHaveRun)
}

func alreadyRan() *kind.Error {
	return kind.New(kind.AlreadyRan, "the response is no longer kept").WithRun(kind.Ran)
}
