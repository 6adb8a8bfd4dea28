// Package target is a stand-in for a customer's target: an HTTP service with
// slots, a service time, sub-calls and faults that can be switched on.
package target

import "time"

// Config describes one stand-in target.
type Config struct {
	Customer string
	Service  string
	// Address is the listen address; port 0 selects a free port.
	Address string
	// NodeAddress is the target-side address of the node beside the target. Without
	// it the target neither announces itself nor makes sub-calls.
	NodeAddress string
	// AnnouncedAddress replaces the listen address in announcements, such as by the
	// address of a link in front of the target.
	AnnouncedAddress string
	// LedgerURL is the base URL of a remote ledger. Starts and effects are
	// recorded there before the response, so that they outlive the process. If
	// empty, they are recorded in Ledger only.
	LedgerURL string
	// Slots is the number of requests that run concurrently; others wait inside
	// the target.
	Slots int
	// Backlog is the maximum number of requests that wait inside the target;
	// beyond it the target responds with 503 without running the request.
	Backlog int
	// ServiceTime is the mean time that a request holds a slot, without its
	// sub-calls.
	ServiceTime time.Duration
	// Calls lists the sub-calls of each request, in order.
	Calls []SubCall
	// CrashPath is a path prefix whose requests crash the process.
	CrashPath string
	// ColdStart is the period after a start during which requests take four
	// times as long.
	ColdStart time.Duration
	// RestartDelay is the time from a crash to the next start.
	RestartDelay time.Duration
	// Seed seeds the jitter of the service time.
	Seed uint64
	// Exit ends the process on a crash. If nil, the target restarts within the
	// process.
	Exit func()
	// Ledger records starts and side effects; nil creates a new ledger.
	Ledger *Ledger
}

// SubCall is one call that each request of a target makes.
type SubCall struct {
	// Service is the callee as SERVICE.CUSTOMER.
	Service string
	Path    string
	// PathPrefix limits the sub-call to requests whose path has this prefix.
	PathPrefix string
}
