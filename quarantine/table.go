package quarantine

import (
	"slices"
	"time"
)

// Table is one node's knowledge of suspects and quarantined requests.
type Table struct {
	cfg     Config
	seq     uint64
	records map[Fingerprint]*record
	// trial is the suspect running on this node's target, if trialUntil is set.
	trial      Fingerprint
	trialUntil time.Time
	// completed waits to be published at publishAt.
	completed []Fingerprint
	publishAt time.Time
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg.WithDefaults(), records: make(map[Fingerprint]*record)}
}

// Len returns the number of fingerprints kept.
func (t *Table) Len() int { return len(t.records) }

// Crashed reports that the process of this node's target died while inFlight
// were running. If a trial was among them, it alone is blamed a second time:
// other suspects that were still running from before their suspicion was known
// are more likely victims.
func (t *Table) Crashed(now time.Time, inFlight []Fingerprint) []Effect {
	now = now.Truncate(time.Millisecond)
	onTrial := t.trialUntil.After(now) && slices.Contains(inFlight, t.trial)
	t.trialUntil = time.Time{}
	blamed := make([]Fingerprint, 0, len(inFlight))
	for _, f := range inFlight {
		if onTrial && f != t.trial && t.Check(now, f).State != Clear || slices.Contains(blamed, f) {
			continue
		}
		blamed = append(blamed, f)
	}
	return t.publish(now, blamed, nil)
}

// Completed reports that a request ran to its end on this node's target. Only
// suspects need it; for others it does nothing.
func (t *Table) Completed(now time.Time, f Fingerprint) []Effect {
	if f == t.trial {
		t.trialUntil = time.Time{}
	}
	r := t.records[f]
	if r == nil || r.state() == Clear || !r.expiry.After(now) {
		return nil
	}
	r.complete(now)
	if len(t.completed) == 0 {
		t.publishAt = now.Add(t.cfg.CompletionDelay)
	}
	t.completed = append(t.completed, f)
	if len(t.completed) < MaxFingerprints {
		return nil
	}
	return t.flush(now)
}

// Tick publishes collected completions that are due and drops what has expired.
// It is to be called about once per CompletionDelay.
func (t *Table) Tick(now time.Time) []Effect {
	for f, r := range t.records {
		if !r.expiry.After(now) {
			delete(t.records, f)
		}
	}
	if len(t.completed) == 0 || t.publishAt.After(now) {
		return nil
	}
	return t.flush(now)
}

// flush publishes the collected completions with the present time. A crash that
// another node saw during the last CompletionDelay is cleared with them; a
// request that crashes every target never completes.
func (t *Table) flush(now time.Time) []Effect {
	var still []Fingerprint
	for _, f := range t.completed {
		// A crash since the completion must not be cleared with it.
		if r := t.records[f]; r != nil && r.state() == Clear {
			still = append(still, f)
		}
	}
	t.completed = nil
	return t.publish(now.Truncate(time.Millisecond), nil, still)
}

// publish makes entries, merges them and returns them.
func (t *Table) publish(now time.Time, crashed, completed []Fingerprint) []Effect {
	var out []Effect
	for chunk := range slices.Chunk(crashed, MaxFingerprints) {
		out = append(out, t.report(Entry{At: now, Expiry: now.Add(t.cfg.QuarantineLife), Crashed: chunk}))
	}
	for chunk := range slices.Chunk(completed, MaxFingerprints) {
		out = append(out, t.report(Entry{At: now, Expiry: now.Add(t.cfg.SuspectLife), Completed: chunk}))
	}
	return out
}

func (t *Table) report(e Entry) Effect {
	t.seq++
	e.Reporter, e.Seq = t.cfg.Reporter, t.seq
	t.Merge(e.At, e)
	return Publish{e}
}

// Merge takes in an entry, which may arrive late, twice or out of order. It
// reports whether the entry was acceptable.
func (t *Table) Merge(now time.Time, e Entry) bool {
	if !e.valid() {
		return false
	}
	if !e.Expiry.After(now) {
		return true
	}
	for _, f := range e.Crashed {
		if r := t.record(f, e.Expiry); r != nil {
			r.add(crash{e.Reporter, e.Seq, e.At})
			t.extend(r, e)
		}
	}
	for _, f := range e.Completed {
		if r := t.record(f, e.Expiry); r != nil {
			r.complete(e.At)
			t.extend(r, e)
		}
	}
	return true
}

// extend sets the expiry that the state of r calls for.
func (t *Table) extend(r *record, e Entry) {
	life := t.cfg.SuspectLife
	if r.state() == Quarantined {
		life = t.cfg.QuarantineLife
	}
	if until := e.At.Add(life); until.After(r.expiry) {
		r.expiry = until
	}
}

// record returns the record of f, and makes one if there is room or a record
// that expires before expiry can make way. Quarantined records make way last.
func (t *Table) record(f Fingerprint, expiry time.Time) *record {
	if r := t.records[f]; r != nil {
		return r
	}
	if len(t.records) >= t.cfg.MaxEntries {
		var worst Fingerprint
		var worstRecord *record
		for g, r := range t.records {
			if worstRecord == nil || evictBefore(g, r, worst, worstRecord) {
				worst, worstRecord = g, r
			}
		}
		if worstRecord.state() == Quarantined && !worstRecord.expiry.Before(expiry) {
			return nil
		}
		delete(t.records, worst)
	}
	r := &record{}
	t.records[f] = r
	return r
}

// evictBefore orders records for eviction: by state, then by expiry.
func evictBefore(f Fingerprint, r *record, g Fingerprint, s *record) bool {
	if r.state() != s.state() {
		return r.state() < s.state()
	}
	if !r.expiry.Equal(s.expiry) {
		return r.expiry.Before(s.expiry)
	}
	return f < g
}

// Check returns how a request is to be treated.
func (t *Table) Check(now time.Time, f Fingerprint) Verdict {
	r := t.records[f]
	if r == nil || !r.expiry.After(now) {
		return Verdict{}
	}
	return Verdict{State: r.state(), Crashes: len(r.crashes)}
}

// BeginTrial reports whether the suspect f may run on this node's target now.
// Suspects run one at a time, so that a crash does not count against two of
// them. The trial ends with Completed, EndTrial, Crashed or Config.TrialTimeout.
func (t *Table) BeginTrial(now time.Time, f Fingerprint) bool {
	if t.trialUntil.After(now) || t.Check(now, f).State == Quarantined {
		return false
	}
	t.trial, t.trialUntil = f, now.Add(t.cfg.TrialTimeout)
	return true
}

// EndTrial ends the trial of f without a result, such as when its caller went
// away before it ran.
func (t *Table) EndTrial(f Fingerprint) {
	if t.trial == f {
		t.trialUntil = time.Time{}
	}
}
