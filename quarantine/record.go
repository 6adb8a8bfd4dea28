package quarantine

import "time"

// maxCrashes bounds the crashes kept per fingerprint. Two are enough for a
// quarantine.
const maxCrashes = 4

// crash is one death of a target's process.
type crash struct {
	reporter, seq uint64
	at            time.Time
}

// record holds the crashes and the last completion of one fingerprint.
type record struct {
	// crashes holds the latest crashes after completedAt.
	crashes     []crash
	completedAt time.Time
	expiry      time.Time
}

// addCrash adds a crash. It reports false for one that is known or not later than
// the last completion.
func (r *record) addCrash(c crash) bool {
	if !c.at.After(r.completedAt) {
		return false
	}
	for _, other := range r.crashes {
		if other.reporter == c.reporter && other.seq == c.seq {
			return false
		}
	}
	r.crashes = append(r.crashes, c)
	if len(r.crashes) > maxCrashes {
		oldest := 0
		for i, other := range r.crashes {
			if other.at.Before(r.crashes[oldest].at) {
				oldest = i
			}
		}
		r.crashes = append(r.crashes[:oldest], r.crashes[oldest+1:]...)
	}
	return true
}

// recordCompletion discards the crashes up to at: a request that completes after
// a crash does not crash every target.
func (r *record) recordCompletion(at time.Time) {
	if !at.After(r.completedAt) {
		return
	}
	r.completedAt = at
	kept := r.crashes[:0]
	for _, c := range r.crashes {
		if c.at.After(at) {
			kept = append(kept, c)
		}
	}
	r.crashes = kept
}

func (r *record) state() State {
	switch len(r.crashes) {
	case 0:
		return Clear
	case 1:
		return Suspect
	}
	return Quarantined
}
