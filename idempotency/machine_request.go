package idempotency

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// request handles a new attempt.
func (m *Machine) request(e Request) {
	if e.Key.Format == FormatIssued {
		// Checked before the lookup in m.local, which holds only issued keys
		// that were verified.
		if e.Key.Issuer != m.self {
			m.refuse(e.Attempt, kind.New(kind.ClaimLost, "the key was issued by another process"))
			return
		}
		if !m.issuer.verify(e.Key) {
			// An earlier Machine of this process may have issued and
			// executed the key.
			m.refuse(e.Attempt, claimLost("the issued key cannot be verified for this service"))
			return
		}
	}
	if l, ok := m.local[e.Key.Hash]; ok {
		m.join(l, e)
		return
	}
	if e.Key.Format == FormatIssued {
		m.requestIssued(e)
		return
	}
	l := &localKey{key: e.Key.claimKey(), fingerprint: e.Fingerprint}
	if first, ok := m.index.first(e.Key.Hash); ok {
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

// requestIssued handles an attempt with a verified issued key that is not in
// m.local. Such a key was never executed, unless it is older than the window:
// m.local keeps younger keys.
func (m *Machine) requestIssued(e Request) {
	if m.now-e.Key.IssuedAt > m.cfg.Window {
		m.refuse(e.Attempt, kind.New(kind.KeyExpired, "the issued key is older than the claim window"))
		return
	}
	if len(m.local) >= m.cfg.MaxKeys {
		m.refuse(e.Attempt, kind.New(kind.ClaimUnavailable, "too many idempotency keys in memory"))
		return
	}
	l := &localKey{key: e.Key.claimKey(), fingerprint: e.Fingerprint, claimedAt: m.now}
	m.local[e.Key.Hash] = l
	m.wait(l, e.Attempt)
	m.grant(l)
}

// join adds an attempt to a key that is in m.local.
func (m *Machine) join(l *localKey, e Request) {
	if l.fingerprint != e.Fingerprint {
		m.refuse(e.Attempt, keyReused())
		return
	}
	switch l.state {
	case stateFinished:
		m.replay(l, e.Attempt)
	case stateResponseLost:
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

// mayClaim returns an error if a claim for key cannot succeed. It only avoids
// useless appends; the decision is made when the claim is read back.
func (m *Machine) mayClaim(key claimKey) *kind.Error {
	switch {
	case key.Format == FormatUUIDv7 && m.index.expired(key.TimeMS):
		return keyExpired()
	case !m.caughtUp:
		return unavailable("the claims stream has not been read to its end")
	case m.readFailing:
		return unavailable("the claims stream cannot be read")
	case m.appendFailed && (m.appendsInFlight > 0 || m.retries.len() > 0 || m.now < m.nextProbeAt):
		// While appends fail, one append at a time probes the log. Otherwise
		// every request during an outage would leave a release to append.
		return unavailable("claims cannot be appended")
	case m.index.gap || !m.index.complete(key.Format, key.TimeMS, m.logTimeMS()):
		return unavailable("earlier claims for the key may be unknown")
	case m.index.claims+len(m.local) >= m.cfg.MaxKeys:
		return unavailable("too many idempotency keys in memory")
	}
	return nil
}

// logTimeMS estimates the current log time from the newest record. It is used only
// to avoid useless appends.
func (m *Machine) logTimeMS() int64 {
	if m.index.latestMS == noTime {
		return noTime
	}
	return m.index.latestMS + (m.now - m.lastRecordAt).Milliseconds() + m.cfg.MaxLogClockStep.Milliseconds()
}

// claim appends a new claim of this process for l.
func (m *Machine) claim(l *localKey) {
	m.lastNonce++
	if m.lastNonce == 0 {
		m.lastNonce++
	}
	l.nonce, l.confirmed, l.claimedAt, l.waitingSince = m.lastNonce, false, m.now, m.now
	m.appendClaim(l)
}

func (m *Machine) appendClaim(l *localKey) {
	r := Record{Type: RecordClaim, Format: l.key.Format, TimeMS: l.key.TimeMS, Hash: l.key.Hash,
		Fingerprint: l.fingerprint, Owner: m.self, Nonce: l.nonce}
	m.append(AppendRef{Type: RecordClaim, Hash: l.key.Hash, Nonce: l.nonce}, r)
}

// evaluate decides a contending key if the index allows a decision, and otherwise
// claims the key or queries the owner of the blocking claim.
func (m *Machine) evaluate(l *localKey) {
	if l.state != stateContending || m.local[l.key.Hash] != l {
		return
	}
	if l.nonce != 0 && !l.confirmed {
		return
	}
	var blocker claim
	var blocked bool
	if l.confirmed {
		if err := m.checkConfirmed(l); err != nil {
			m.fail(l, err)
			return
		}
		blocker, blocked = m.index.blocker(l.key.Hash, m.ownID(l.nonce), l.key.Format, l.confirmedTimeMS)
		if !blocked {
			m.grant(l)
			return
		}
	} else if blocker, blocked = m.index.first(l.key.Hash); !blocked {
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
	owner := m.index.ownerIDs[blocker.owner]
	if owner == m.self {
		// A claim of this process that is neither running nor kept as
		// finished: the request may have run, unless the claim was released
		// and the release has not been read yet.
		if r, ok := m.released[blocker.nonce]; ok {
			m.appendRelease(blocker.nonce, r)
			return
		}
		m.fail(l, claimLost("the outcome of an earlier request with the key is no longer stored"))
		return
	}
	id := claimID{nonce: blocker.nonce, owner: blocker.owner}
	if l.queried != id {
		l.queried, l.blocked = id, true
		m.queryOwner(l, 0)
	}
}

// checkConfirmed checks the confirmed claim of l against the key's time, the
// window and the completeness of the index.
func (m *Machine) checkConfirmed(l *localKey) *kind.Error {
	if l.key.Format == FormatUUIDv7 {
		age := l.confirmedTimeMS - l.key.TimeMS
		if age > m.cfg.Window.Milliseconds() {
			return keyExpired()
		}
		if age < -m.cfg.Skew.Milliseconds() {
			return kind.Newf(kind.KeyMalformed, "the key's time is %v ahead of the log's clock", time.Duration(-age)*time.Millisecond)
		}
	}
	if !m.index.complete(l.key.Format, l.key.TimeMS, l.confirmedTimeMS) {
		return unavailable("earlier claims for the key may be unknown")
	}
	if m.tooOld(l) {
		return unavailable("the claim is older than the claim window")
	}
	return nil
}

// tooOld reports whether the claim of l is so old that another claim for an
// opaque key may be valid by now.
func (m *Machine) tooOld(l *localKey) bool { return m.now-l.claimedAt >= m.cfg.Window }

func (m *Machine) ownID(nonce uint64) claimID {
	return claimID{nonce: nonce, owner: m.index.ownerIndex(m.self)}
}

// grant gives a token to the attempt that has waited longest.
func (m *Machine) grant(l *localKey) {
	attempt := l.attempts[0]
	l.attempts = l.attempts[1:]
	delete(m.attempts, attempt)
	m.lastToken++
	l.state, l.token, l.blocked = stateGranted, m.lastToken, false
	m.tokens[l.token] = l
	m.emit(Respond{Attempt: attempt, Token: l.token})
}

// fail refuses all waiting attempts of a key that was not executed and abandons
// its claim.
func (m *Machine) fail(l *localKey, err *kind.Error) {
	m.respondToAll(l, func(attempt uint64) {
		own := *err // a copy for each caller, who may modify it
		m.refuse(attempt, &own)
	})
	m.abandon(l)
}

// respondToAll calls respond for every waiting attempt and removes them.
func (m *Machine) respondToAll(l *localKey, respond func(attempt uint64)) {
	for _, attempt := range l.attempts {
		delete(m.attempts, attempt)
		respond(attempt)
	}
	l.attempts = nil
}

// abandon removes a key that was not executed and releases its claim.
func (m *Machine) abandon(l *localKey) {
	m.replyToQueries(l, Outcome{State: OutcomeNotRun})
	delete(m.local, l.key.Hash)
	if l.nonce == 0 {
		return
	}
	r := &releasedClaim{hash: l.key.Hash}
	m.released[l.nonce] = r
	m.expiringNonces.push(expiringNonce{nonce: l.nonce, at: m.now + 2*m.retention()})
	m.appendRelease(l.nonce, r)
}

func (m *Machine) appendRelease(nonce uint64, r *releasedClaim) {
	if r.inFlight {
		return
	}
	r.inFlight, r.confirmed, r.lastSent = true, false, m.now
	rec := Record{Type: RecordRelease, Hash: r.hash, Owner: m.self, Nonce: nonce}
	m.append(AppendRef{Type: RecordRelease, Hash: r.hash, Nonce: nonce}, rec)
}

// claimTimeout ends an attempt that has waited too long for the log. Waiting for
// another process's execution does not count.
func (m *Machine) claimTimeout(e ClaimTimeout) {
	l, ok := m.attempts[e.Attempt]
	if ok && l.state == stateContending && !l.blocked && m.now-l.waitingSince >= e.Limit {
		m.cancel(e.Attempt)
	}
}

func (m *Machine) cancel(attempt uint64) {
	l, ok := m.attempts[attempt]
	if !ok {
		return
	}
	delete(m.attempts, attempt)
	l.attempts = remove(l.attempts, attempt)
	switch {
	case l.state != stateContending:
		m.refuse(attempt, kind.New(kind.DeadlineExpired, "a request with the same key is still running").WithRun(kind.MayHaveRun))
	case l.blocked:
		m.refuse(attempt, claimLost("another process claimed the key and has not finished"))
	default:
		m.refuse(attempt, unavailable("the claim was not confirmed by the log in time"))
	}
	if l.state == stateContending && len(l.attempts) == 0 {
		m.abandon(l)
	}
}

func unavailable(detail string) *kind.Error {
	return kind.New(kind.ClaimUnavailable, detail).WithRun(kind.NotRun)
}

func claimLost(detail string) *kind.Error {
	return kind.New(kind.ClaimLost, detail).WithRun(kind.MayHaveRun)
}

func keyReused() *kind.Error {
	return kind.New(kind.KeyReused, "the key was used for a different request").WithRun(kind.NotRun)
}

func keyExpired() *kind.Error {
	return kind.New(kind.KeyExpired, "the key is older than the claim window").WithRun(kind.MayHaveRun)
}

func alreadyRan() *kind.Error {
	return kind.New(kind.AlreadyRan, "the request ran; its response is no longer stored").WithRun(kind.Ran)
}
