package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Listed is one fingerprint in a state dump.
type Listed struct {
	Fingerprint Fingerprint
	State       State
	// Crashes holds the times of the crashes attributed to the request.
	Crashes []time.Time
	Expiry  time.Time
}

// List returns the suspects and quarantined fingerprints at now, in order.
func (t *Table) List(now time.Time) []Listed {
	var out []Listed
	for f, r := range t.records {
		if r.state() == Clear || !r.expiry.After(now) {
			continue
		}
		l := Listed{Fingerprint: f, State: r.state(), Expiry: r.expiry}
		for _, c := range r.crashes {
			l.Crashes = append(l.Crashes, c.at)
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Listed) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}
