package quarantine

import (
	"slices"
	"time"
)

// maxCrashes bounds the crashes kept per fingerprint. It exceeds the number that
// quarantines a request.
const maxCrashes = 8

// trialCrashes is the number of crashes on trial that quarantine a request. A request
// that has not crashed any target yet may be the cause of one of them.
const trialCrashes = 2

// repeatFactor lengthens the quarantine of a request that ends a target again after
// the last one.
const repeatFactor = 4

// crash is one death of a target's process.
type crash struct {
	reporter, seq uint64
	at            time.Time
	onTrial       bool
}

// sameEntry reports that c and other come from the same entry.
func (c crash) sameEntry(other crash) bool { return c.reporter == other.reporter && c.seq == other.seq }

// record holds the crashes and the last completion of one fingerprint.
type record struct {
	// crashes holds the latest crashes after completedAt, ordered by time.
	crashes     []crash
	completedAt time.Time
	expiry      time.Time
}

// addCrash adds a crash. It reports false for one that is known or that a completion
// rules out: one later than window before the crash.
func (r *record) addCrash(c crash, window time.Duration) bool {
	if !c.at.After(r.completedAt.Add(window)) {
		return false
	}
	if slices.ContainsFunc(r.crashes, c.sameEntry) {
		return false
	}
	i, _ := slices.BinarySearchFunc(r.crashes, c, compareCrashes)
	r.crashes = slices.Insert(r.crashes, i, c)
	if len(r.crashes) > maxCrashes {
		r.crashes = r.crashes[1:]
	}
	return true
}

// compareCrashes orders crashes by time, and those at the same time by their entry.
func compareCrashes(a, b crash) int {
	if c := a.at.Compare(b.at); c != 0 {
		return c
	}
	if a.reporter != b.reporter {
		if a.reporter < b.reporter {
			return -1
		}
		return 1
	}
	if a.seq < b.seq {
		return -1
	}
	return 1
}

// recordCompletion discards the crashes up to window after at: a request that
// completes after a crash, or shortly before it, does not crash every target.
func (r *record) recordCompletion(at time.Time, window time.Duration) {
	if !at.After(r.completedAt) {
		return
	}
	r.completedAt = at
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return !c.at.After(at.Add(window)) })
}

// state returns the state without regard to the time since the last crash.
func (r *record) state(c *Config) State {
	switch {
	case len(r.crashes) == 0:
		return Clear
	case c.RequireTrial && r.crashesOnTrial() < trialCrashes && r.separateCrashes(c.CrashSpacing) < c.MaxCrashes:
		return Suspect
	case !c.RequireTrial && len(r.crashes) == 1:
		return Suspect
	}
	return Quarantined
}

func (r *record) crashesOnTrial() (n int) {
	for _, c := range r.crashes {
		if c.onTrial {
			n++
		}
	}
	return n
}

// separateCrashes counts the crashes that are more than spacing after the one counted
// before.
func (r *record) separateCrashes(spacing time.Duration) (n int) {
	var last time.Time
	for _, c := range r.crashes {
		if n == 0 || c.at.Sub(last) > spacing {
			n++
			last = c.at
		}
	}
	return n
}

// quarantinedUntil returns the end of the quarantine of a quarantined record.
func (r *record) quarantinedUntil(c *Config) time.Time {
	if !c.RequireTrial {
		return r.expiry
	}
	ttl := c.QuarantineTTL
	for range max(0, r.crashesOnTrial()-trialCrashes) {
		ttl = min(ttl*repeatFactor, MaxEntryTTL)
	}
	return r.crashes[len(r.crashes)-1].at.Add(ttl)
}
