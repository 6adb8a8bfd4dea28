package quarantine

import "time"

// maxCrashes bounds the crashes kept per fingerprint; two already decide.
const maxCrashes = 4

// crash is one death of a target's process.
type crash struct {
	reporter, seq uint64
	at            time.Time
}

// record is what a table knows about one fingerprint.
type record struct {
	// crashes holds the latest crashes after completedAt.
	crashes     []crash
	completedAt time.Time
	expiry      time.Time
}

// add takes in a crash and reports whether it counts.
func (r *record) add(c crash) bool {
	if !c.at.After(r.completedAt) {
		return false
	}
	for _, o := range r.crashes {
		if o.reporter == c.reporter && o.seq == c.seq {
			return false
		}
	}
	r.crashes = append(r.crashes, c)
	if len(r.crashes) > maxCrashes {
		oldest := 0
		for i, o := range r.crashes {
			if o.at.Before(r.crashes[oldest].at) {
				oldest = i
			}
		}
		r.crashes = append(r.crashes[:oldest], r.crashes[oldest+1:]...)
	}
	return true
}

// complete drops the crashes up to at: a request that ran to its end after a
// crash is not one that crashes every target.
func (r *record) complete(at time.Time) {
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
