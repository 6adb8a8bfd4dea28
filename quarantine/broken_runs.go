package quarantine

import (
	"slices"
	"time"
)

const (
	// breakInterval bounds the time within which the connections of one process
	// break when it ends.
	breakInterval = 250 * time.Millisecond
	// maxBreakAge bounds the time from the end of a target's process to the first
	// report of the next one.
	maxBreakAge = 15 * time.Second
	// maxBrokenRuns exceeds the slots of most targets.
	maxBrokenRuns = 512
)

// BrokenRun is a request whose connection to the target ended before its response
// was complete.
type BrokenRun struct {
	Fingerprint Fingerprint
	RequestID   string
	At          time.Time
}

// BrokenRuns holds broken runs until it is known whether the process of the target
// has ended: a response may be lost, or a connection reset, while it goes on. It is
// not safe for concurrent use.
type BrokenRuns struct {
	// runs is ordered by time.
	runs []*BrokenRun
}

// Add adds a run that broke at r.At, which is not before that of the last one.
func (b *BrokenRuns) Add(r *BrokenRun) {
	b.runs = append(b.runs, r)
	if len(b.runs) > maxBrokenRuns {
		b.runs = b.runs[1:]
	}
}

// Contains reports whether r has been added and not been taken.
func (b *BrokenRuns) Contains(r *BrokenRun) bool { return slices.Contains(b.runs, r) }

// TakeLast removes all runs and returns those that broke last, at about the same
// time. They were at work when the process of the target ended, if it has.
func (b *BrokenRuns) TakeLast(now time.Time) []*BrokenRun {
	all := b.runs
	b.runs = nil
	if len(all) == 0 {
		return nil
	}
	last := all[len(all)-1].At
	if now.Sub(last) > maxBreakAge {
		return nil
	}
	return slices.DeleteFunc(all, func(r *BrokenRun) bool { return last.Sub(r.At) > breakInterval })
}
