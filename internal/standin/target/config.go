// Package target is a stand-in for a customer's target: an HTTP service with
// slots, a service time, sub-calls and faults that can be switched on.
package target

import "time"

// Config describes one stand-in target.
type Config struct {
	Customer string
	Service  string
	// Address to listen on; port 0 picks a free one.
	Address string
	// Node is the target-side address of the node beside the target. Without
	// it the target neither announces itself nor makes sub-calls.
	Node string
	// Announced replaces the address that the target announces, such as that of
	// a link in front of it.
	Announced string
	// LedgerURL is where effects are recorded before the answer, so that they
	// outlive the process. Empty records them in Effects only.
	LedgerURL string
	// Slots is how many requests run at once; others wait inside the target.
	Slots int
	// Backlog bounds the requests that wait inside the target; beyond it the
	// target answers 503 without running the request.
	Backlog int
	// ServiceTime is the mean time that a request holds a slot, without its
	// sub-calls.
	ServiceTime time.Duration
	// Calls lists the sub-calls of each request.
	Calls []SubCall
	// CrashPath is a path prefix whose requests crash the process.
	CrashPath string
	// ColdStart is the time after a start in which requests take four times
	// as long.
	ColdStart time.Duration
	// RestartDelay is the time from a crash to the next start.
	RestartDelay time.Duration
	// Seed fixes the service time jitter.
	Seed uint64
	// Exit ends the process on a crash; nil restarts the target in place.
	Exit func()
	// Effects records the side effects; nil makes a new ledger.
	Effects *Ledger
}

// SubCall is one call that each request of a target makes.
type SubCall struct {
	// Service is the callee as SERVICE.CUSTOMER.
	Service string
	Path    string
	// On limits the sub-call to requests whose path has this prefix.
	On string
}
