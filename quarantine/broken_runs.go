package quarantine

import (
	"slices"
	"time"
)

const (
	// maxBreakAge bounds the time from the end of a target's process to the first
	// report of the next one.
	maxBreakAge = 15 * time.Second
	// maxBrokenRuns exceeds the slots of most targets.
	maxBrokenRuns = 512
)

// BrokenRun is a request whose connection to the target ended before its response
// was complete: the connection broke, or the request was given up.
type BrokenRun struct {
	Fingerprint Fingerprint
	RequestID   string
	// Until is when the request was last at work at the target, at the latest.
	Until time.Time
	// OnTrial reports that the request was on trial.
	OnTrial bool
}

// BrokenRuns holds broken runs until it is known whether the process of the target
// has ended: a response may be lost, or a connection reset, while it goes on. It is
// not safe for concurrent use.
type BrokenRuns struct {
	// runs is in the order of Add.
	runs []*BrokenRun
}

// Add adds a run. The one that was added first makes room if there are too many.
func (b *BrokenRuns) Add(r *BrokenRun) {
	b.runs = append(b.runs, r)
	if len(b.runs) > maxBrokenRuns {
		b.runs = b.runs[1:]
	}
}

// Len returns the number of broken runs.
func (b *BrokenRuns) Len() int { return len(b.runs) }

// Contains reports whether r has been added and not been taken.
func (b *BrokenRuns) Contains(r *BrokenRun) bool { return slices.Contains(b.runs, r) }

// Alive drops the runs that were at work no longer than until at: the process of the
// target has begun a run at that time and completed it.
func (b *BrokenRuns) Alive(at time.Time) {
	if len(b.runs) > 0 {
		b.runs = slices.DeleteFunc(b.runs, func(r *BrokenRun) bool { return r.Until.Before(at) })
	}
}

// Take removes and returns the runs that were at work since the process of the target was
// last known as alive. If it has ended, they were at work then or came later.
func (b *BrokenRuns) Take(now time.Time) []*BrokenRun {
	all := b.runs
	b.runs = nil
	return slices.DeleteFunc(all, func(r *BrokenRun) bool { return now.Sub(r.Until) > maxBreakAge })
}
