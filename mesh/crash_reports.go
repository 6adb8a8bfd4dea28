package mesh

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/quarantine"
)

const (
	// maxCrashReports bounds the reports in the record of a node.
	maxCrashReports = 32
	// maxBlamed is the number of requests at work at a target that ended up to which its
	// end says enough about each of them to be kept in the record. Most ends have dozens
	// at work, of which at most one is the cause.
	maxBlamed = 4
	// minRepeatedCrashes is the number of crashes from which a request is kept in the
	// record, however many were at work beside it.
	minRepeatedCrashes = 2
)

// crashReports holds the entries about crashes that this node has reported and that
// outlast its process in its record: a start of all nodes at once would otherwise make
// every crashing request unknown. It is safe for concurrent use.
type crashReports struct {
	mu      sync.Mutex
	entries []quarantine.Entry
}

// add adds an entry and reports whether it was not known. If there are too many, the
// oldest one makes room, one about a crash on trial last.
func (r *crashReports) add(e quarantine.Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.ContainsFunc(r.entries, func(o quarantine.Entry) bool { return o.ID() == e.ID() }) {
		return false
	}
	r.entries = append(r.entries, e)
	if len(r.entries) > maxCrashReports {
		oldest := max(slices.IndexFunc(r.entries, func(o quarantine.Entry) bool { return !o.OnTrial }), 0)
		r.entries = slices.Delete(r.entries, oldest, oldest+1)
	}
	return true
}

// encoded returns the entries that have not expired.
func (r *crashReports) encoded(now time.Time) (encoded [][]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = slices.DeleteFunc(r.entries, func(e quarantine.Entry) bool { return !e.Expiry.After(now) })
	for _, e := range r.entries {
		encoded = append(encoded, e.Encode())
	}
	return encoded
}

// recordCrashReport keeps an entry in the node's record: whole if it is about a crash on
// trial or few requests were at work, otherwise what it says about the requests that have
// crashed targets before.
func (n *Node) recordCrashReport(e quarantine.Entry, fewAtWork bool) {
	if !e.OnTrial && !fewAtWork {
		e.Crashed = slices.DeleteFunc(slices.Clone(e.Crashed), func(f quarantine.Fingerprint) bool {
			return n.crashes.Check(f).Crashes < minRepeatedCrashes
		})
	}
	if len(e.Crashed) > 0 && n.crashReports.add(e) && n.config.Records != nil {
		n.changeRecord()
	}
}

// restoreCrashReports applies the reports in a record; those of this node stay in its
// own one.
func (n *Node) restoreCrashReports(r Record) {
	for _, encoded := range r.CrashReports[:min(len(r.CrashReports), maxCrashReports)] {
		entry, err := quarantine.Decode(encoded)
		if err != nil {
			n.log.Warn("report in a node record rejected", "record", r.Instance, "error", err)
			continue
		}
		n.crashes.Merge(entry)
		if r.Instance == n.config.Name {
			n.crashReports.add(entry)
		}
	}
}

func equalReports(a, b [][]byte) bool { return slices.EqualFunc(a, b, bytes.Equal) }
