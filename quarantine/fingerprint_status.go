package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// FingerprintStatus describes a suspect or quarantined fingerprint in a state dump.
type FingerprintStatus struct {
	Fingerprint Fingerprint
	State       State
	// Crashes holds the times of the crashes attributed to the request.
	Crashes []time.Time
	Expiry  time.Time
}

// List returns the suspect and quarantined fingerprints at now, sorted by
// fingerprint.
func (t *Table) List(now time.Time) []FingerprintStatus {
	var out []FingerprintStatus
	for f, r := range t.records.byFingerprint {
		v := t.Check(now, f)
		if v.State == Clear {
			continue
		}
		l := FingerprintStatus{Fingerprint: f, State: v.State, Expiry: r.expiry}
		for _, c := range r.crashes {
			l.Crashes = append(l.Crashes, c.at)
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b FingerprintStatus) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}
