package quarantine

import (
	"slices"
	"time"
)

// Table holds a node's view of suspect and quarantined requests.
type Table struct {
	cfg     Config
	seq     uint64
	records recordSet
	// completions is used only with Config.CompletionWindow.
	completions completions
	// trialFingerprint is the suspect running on this node's target, if trialUntil
	// is set.
	trialFingerprint Fingerprint
	trialUntil       time.Time
	// besideOthers counts the suspects that run on this node's target and are not on
	// trial.
	besideOthers int
	// pendingCompletions are to be published at publishAt.
	pendingCompletions []Fingerprint
	publishAt          time.Time
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg.WithDefaults(), records: newRecordSet()}
}

// Len returns the number of fingerprints with a record.
func (t *Table) Len() int { return len(t.records.byFingerprint) }

// Crashed records that the process of this node's target died while the requests
// inFlight were running. lostTrials are those of them whose trial is over: their
// connections ended before the end of the process was known.
//
// If a request was on trial, the crash is not attributed to other suspects: they have
// been running since before they became suspect, and the request on trial is the likelier
// cause. With Config.RequireTrial the crash is attributed to all, and counts as one on
// trial only if no other request has been at work at as many crashes; of several on
// trial, the one with the most crashes is judged.
func (t *Table) Crashed(now time.Time, inFlight, lostTrials []Fingerprint) []Effect {
	now = now.Truncate(time.Millisecond)
	trials := lostTrials
	if t.trialUntil.After(now) && slices.Contains(inFlight, t.trialFingerprint) {
		trials = append(slices.Clone(trials), t.trialFingerprint)
	}
	t.trialUntil = time.Time{}
	onTrial, trialInFlight := t.mostCrashes(now, trials), len(trials) > 0
	attributed := make([]Fingerprint, 0, len(inFlight))
	endsOnTrial, rival := t.Check(now, onTrial).Crashes, false
	for _, f := range inFlight {
		if slices.Contains(attributed, f) || t.completedWithin(f, now) {
			continue
		}
		if trialInFlight && f != onTrial {
			verdict := t.Check(now, f)
			if verdict.State != Clear && !t.cfg.RequireTrial {
				continue
			}
			crashes, crashesOnTrial := verdict.Crashes, endsOnTrial
			if f.Content() == onTrial.Content() {
				// Each counts the crashes of the other, which tell nothing between them.
				crashes, crashesOnTrial = t.ownCrashes(now, f), t.ownCrashes(now, onTrial)
			}
			rival = rival || verdict.State != Clear && crashes >= crashesOnTrial
		}
		attributed = append(attributed, f)
	}
	if !t.cfg.RequireTrial || !trialInFlight || rival {
		return t.publishEntries(now, attributed, nil)
	}
	others := slices.DeleteFunc(attributed, func(f Fingerprint) bool { return f == onTrial })
	proven := Entry{At: now, Expiry: now.Add(MaxEntryTTL), Crashed: []Fingerprint{onTrial}, OnTrial: true}
	return append([]Effect{t.publishEntry(proven)}, t.publishEntries(now, others, nil)...)
}

// mostCrashes returns the request with the most crashes, of several the one with the most
// under its own caller, of several the first one.
func (t *Table) mostCrashes(now time.Time, among []Fingerprint) (most Fingerprint) {
	highest, highestOwn := -1, -1
	for _, f := range among {
		crashes, own := t.Check(now, f).Crashes, t.ownCrashes(now, f)
		if crashes > highest || crashes == highest && own > highestOwn {
			most, highest, highestOwn = f, crashes, own
		}
	}
	return most
}

// ownCrashes returns the number of crashes under f, without those under other callers.
func (t *Table) ownCrashes(now time.Time, f Fingerprint) int {
	if r := t.records.byFingerprint[f]; r != nil && r.expiry.After(now) {
		return len(r.crashes)
	}
	return 0
}

// CrashedElsewhere records that a request was at work at a target that ended together
// with the node beside it, so that nobody else reports that. onTrial reports that the
// request was on trial there.
func (t *Table) CrashedElsewhere(now time.Time, f Fingerprint, onTrial bool) []Effect {
	now = now.Truncate(time.Millisecond)
	switch {
	case t.completedWithin(f, now):
		return nil
	case onTrial && t.cfg.RequireTrial:
		return []Effect{t.publishEntry(Entry{At: now, Expiry: now.Add(MaxEntryTTL), Crashed: []Fingerprint{f}, OnTrial: true})}
	}
	return t.publishEntries(now, []Fingerprint{f}, nil)
}

// completedWithin reports whether f is known to have completed shortly before now.
func (t *Table) completedWithin(f Fingerprint, now time.Time) bool {
	at := t.completions.last(f)
	return t.cfg.CompletionWindow > 0 && !at.IsZero() && !now.After(at.Add(t.cfg.CompletionWindow))
}

// Completed records that a request completed on this node's target. It publishes that
// only for a request that is suspect or quarantined.
func (t *Table) Completed(now time.Time, f Fingerprint) []Effect {
	if f == t.trialFingerprint {
		t.trialUntil = time.Time{}
	}
	if !t.ObserveCompletion(now, f) {
		return nil
	}
	if len(t.pendingCompletions) == 0 {
		t.publishAt = now.Add(t.cfg.CompletionDelay)
	}
	t.pendingCompletions = append(t.pendingCompletions, f)
	if len(t.pendingCompletions) < MaxEntryFingerprints {
		return nil
	}
	return t.publishCompletions(now)
}

// ObserveCompletion records that a request completed on any target, without publishing
// it. It reports whether the request was suspect or quarantined.
func (t *Table) ObserveCompletion(now time.Time, f Fingerprint) bool {
	suspected := t.Check(now, f).State != Clear
	if t.cfg.CompletionWindow > 0 {
		t.completions.add(f, now)
	}
	if !suspected {
		return false
	}
	expiry := now.Add(t.cfg.SuspectTTL)
	r := t.getOrCreateRecord(f, expiry)
	if r == nil {
		return false
	}
	r.recordCompletion(now, t.cfg.CompletionWindow)
	if expiry.After(r.expiry) {
		r.expiry = expiry
	}
	return true
}

// Tick publishes pending completions that are due and removes expired records.
// It should be called about once per CompletionDelay.
func (t *Table) Tick(now time.Time) []Effect {
	for f, r := range t.records.byFingerprint {
		if !r.expiry.After(now) {
			t.records.remove(f)
		}
	}
	if len(t.pendingCompletions) == 0 || t.publishAt.After(now) {
		return nil
	}
	return t.publishCompletions(now)
}

// publishCompletions publishes the pending completions with the time now. This
// also clears a crash that another node saw during the last CompletionDelay,
// which is safe because a request that crashes every target never completes.
func (t *Table) publishCompletions(now time.Time) []Effect {
	var cleared []Fingerprint
	for _, f := range t.pendingCompletions {
		// A completion does not clear a crash that followed it.
		if t.Check(now, f).State == Clear {
			cleared = append(cleared, f)
		}
	}
	t.pendingCompletions = nil
	return t.publishEntries(now.Truncate(time.Millisecond), nil, cleared)
}

// publishEntries splits the fingerprints into entries, merges these into the
// table and returns the effects that publish them.
func (t *Table) publishEntries(now time.Time, crashed, completed []Fingerprint) []Effect {
	crashTTL := t.cfg.QuarantineTTL
	if t.cfg.RequireTrial {
		crashTTL = t.cfg.SuspectTTL
	}
	var out []Effect
	for chunk := range slices.Chunk(crashed, MaxEntryFingerprints) {
		out = append(out, t.publishEntry(Entry{At: now, Expiry: now.Add(crashTTL), Crashed: chunk}))
	}
	for chunk := range slices.Chunk(completed, MaxEntryFingerprints) {
		out = append(out, t.publishEntry(Entry{At: now, Expiry: now.Add(t.cfg.SuspectTTL), Completed: chunk}))
	}
	return out
}

func (t *Table) publishEntry(e Entry) Effect {
	t.seq++
	e.Reporter, e.Seq = t.cfg.Reporter, t.seq
	t.Merge(e.At, e)
	return Publish{e}
}

// Merge applies an entry, which may arrive late, more than once or out of order.
// It reports whether the entry is valid; an expired one is valid but ignored.
func (t *Table) Merge(now time.Time, e Entry) bool {
	if !e.valid() {
		return false
	}
	if !e.Expiry.After(now) {
		return true
	}
	if e.At.After(now) {
		// The reporter's clock is ahead. Without this, completions would count as
		// earlier than the crash until that time has come.
		e.At = now.Truncate(time.Millisecond)
	}
	for _, f := range e.Crashed {
		if r := t.getOrCreateRecord(f, e.Expiry); r != nil {
			r.addCrash(crash{e.Reporter, e.Seq, e.At, e.OnTrial}, t.cfg.CompletionWindow)
			t.extendExpiry(r, e)
		}
	}
	for _, f := range e.Completed {
		if r := t.getOrCreateRecord(f, e.Expiry); r != nil {
			r.recordCompletion(e.At, t.cfg.CompletionWindow)
			t.extendExpiry(r, e)
		}
	}
	return true
}

// extendExpiry extends the expiry of r to the TTL of its state after e.At.
func (t *Table) extendExpiry(r *record, e Entry) {
	ttl := t.cfg.SuspectTTL
	if r.state(&t.cfg) == Quarantined {
		ttl = t.cfg.QuarantineTTL
		if t.cfg.RequireTrial {
			// The record outlasts the quarantine, so that the request is on trial
			// when it comes again.
			ttl = MaxEntryTTL
		}
	}
	if expiry := e.At.Add(ttl); expiry.After(r.expiry) {
		r.expiry = expiry
	}
}

// getOrCreateRecord returns the record of f. A full table evicts the first record
// in the order of evictBefore to create one. It returns nil if that record is
// quarantined and does not expire before expiry.
func (t *Table) getOrCreateRecord(f Fingerprint, expiry time.Time) *record {
	if r := t.records.byFingerprint[f]; r != nil {
		return r
	}
	if t.Len() >= t.cfg.MaxRecords {
		var evictee Fingerprint
		var evicteeRecord *record
		for g, r := range t.records.byFingerprint {
			if evicteeRecord == nil || t.evictBefore(g, r, evictee, evicteeRecord) {
				evictee, evicteeRecord = g, r
			}
		}
		if evicteeRecord.state(&t.cfg) == Quarantined && !evicteeRecord.expiry.Before(expiry) {
			return nil
		}
		t.records.remove(evictee)
	}
	r := &record{completedAt: t.completions.last(f)}
	t.records.add(f, r)
	return r
}

// evictBefore orders records for eviction: by state, quarantined last, then by the number
// of crashes, then by expiry, then by fingerprint.
func (t *Table) evictBefore(f Fingerprint, r *record, g Fingerprint, s *record) bool {
	if a, b := r.state(&t.cfg), s.state(&t.cfg); a != b {
		return a < b
	}
	if a, b := len(r.crashes), len(s.crashes); a != b {
		return a < b
	}
	if !r.expiry.Equal(s.expiry) {
		return r.expiry.Before(s.expiry)
	}
	return f < g
}

// Check returns the state of a request at now. Crashes under the same request of other
// callers make it suspect, unless it has completed since. They don't quarantine it, as the
// target may well complete it.
func (t *Table) Check(now time.Time, f Fingerprint) Verdict {
	var v Verdict
	r := t.records.byFingerprint[f]
	if r != nil && r.expiry.After(now) {
		v.State, v.Crashes = r.state(&t.cfg), len(r.crashes)
	}
	if others := t.crashesOfOthers(now, f); others > 0 {
		v.State, v.Crashes = max(v.State, Suspect), v.Crashes+others
	}
	if v.State == Quarantined {
		v.Until = r.quarantinedUntil(&t.cfg)
		if !v.Until.After(now) {
			v.State, v.Until = Suspect, time.Time{}
		}
	}
	return v
}

// crashesOfOthers returns the number of crashes under requests with the content of f that
// other callers have sent, without those that a completion of f rules out.
func (t *Table) crashesOfOthers(now time.Time, f Fingerprint) int {
	callers := t.records.byContent[f.Content()]
	if len(callers) == 0 {
		return 0
	}
	completedAt := t.completions.last(f)
	var counted []crash
	if own := t.records.byFingerprint[f]; own != nil {
		if own.completedAt.After(completedAt) {
			completedAt = own.completedAt
		}
		// Requests of several callers may have been at work at the same crash.
		counted = slices.Clone(own.crashes)
	}
	ownCrashes := len(counted)
	for _, g := range callers {
		r := t.records.byFingerprint[g]
		if g == f || !r.expiry.After(now) {
			continue
		}
		for _, c := range r.crashes {
			if c.at.After(completedAt.Add(t.cfg.CompletionWindow)) && !slices.ContainsFunc(counted, c.sameEntry) {
				counted = append(counted, c)
			}
		}
	}
	return len(counted) - ownCrashes
}

// BeginTrial starts a trial, in which the suspect f runs on this node's target.
// It reports false if f is quarantined, or another suspect is running: suspects on
// trial run one at a time, so that a crash is attributed to only one of them. The
// trial ends with Completed, EndTrial, Crashed, at the time of EndTrialAt or after
// Config.TrialTimeout.
func (t *Table) BeginTrial(now time.Time, f Fingerprint) bool {
	if t.trialUntil.After(now) || t.besideOthers > 0 || t.Check(now, f).State == Quarantined {
		return false
	}
	t.trialFingerprint, t.trialUntil = f, now.Add(t.cfg.TrialTimeout)
	return true
}

// EndTrial ends the trial of f without a result, for example because its caller
// canceled the request before it ran.
func (t *Table) EndTrial(f Fingerprint) {
	if t.trialFingerprint == f {
		t.trialUntil = time.Time{}
	}
}

// EndTrialAt ends the trial of f without a result at a later time, unless
// Config.TrialTimeout ends it before: its run is no longer awaited, but may go on at the
// target.
func (t *Table) EndTrialAt(f Fingerprint, until time.Time) {
	if t.trialFingerprint == f && until.Before(t.trialUntil) {
		t.trialUntil = until
	}
}

// TrialUntil returns the end of the trial in progress if nothing ends it before, or a time
// that has passed.
func (t *Table) TrialUntil() time.Time { return t.trialUntil }

// BeginBesideOthers starts a run of a suspect on this node's target beside other
// suspects. It reports false while one is on trial. EndBesideOthers ends the run.
func (t *Table) BeginBesideOthers(now time.Time) bool {
	if t.trialUntil.After(now) {
		return false
	}
	t.besideOthers++
	return true
}

// EndBesideOthers ends a run that BeginBesideOthers has started.
func (t *Table) EndBesideOthers() { t.besideOthers-- }
