package mesh

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/quarantine"
)

// maxTrialReports bounds the reports in the record of a node.
const maxTrialReports = 32

// trialReports holds the entries about crashes on trial that this node has reported.
// They are kept in its record, so that a request stays in quarantine when all nodes
// restart. It is safe for concurrent use.
type trialReports struct {
	mu      sync.Mutex
	entries []quarantine.Entry
}

// add adds an entry and reports whether it was not known.
func (t *trialReports) add(e quarantine.Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.ContainsFunc(t.entries, func(o quarantine.Entry) bool { return o.ID() == e.ID() }) {
		return false
	}
	t.entries = append(t.entries, e)
	if len(t.entries) > maxTrialReports {
		t.entries = t.entries[1:]
	}
	return true
}

// encoded returns the entries that have not expired.
func (t *trialReports) encoded(now time.Time) (encoded [][]byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = slices.DeleteFunc(t.entries, func(e quarantine.Entry) bool { return !e.Expiry.After(now) })
	for _, e := range t.entries {
		encoded = append(encoded, e.Encode())
	}
	return encoded
}

// recordTrialReport keeps an entry in the node's record if it is about a crash on
// trial.
func (n *Node) recordTrialReport(e quarantine.Entry) {
	if e.OnTrial && n.trialReports.add(e) && n.config.Records != nil {
		n.changeRecord()
	}
}

// restoreTrialReports applies the reports in a record; those of this node stay in its
// own one.
func (n *Node) restoreTrialReports(r Record) {
	for _, encoded := range r.TrialReports[:min(len(r.TrialReports), maxTrialReports)] {
		entry, err := quarantine.Decode(encoded)
		if err != nil {
			n.log.Warn("report in a node record rejected", "record", r.Instance, "error", err)
			continue
		}
		n.crashes.Merge(entry)
		if r.Instance == n.config.Name {
			n.trialReports.add(entry)
		}
	}
}

func equalReports(a, b [][]byte) bool { return slices.EqualFunc(a, b, bytes.Equal) }
