package routing

import "time"

// Options configure a Table. Every zero field takes its default.
type Options struct {
	// Node identifies the calling node; nodes with different names use
	// different subsets.
	Node string
	// EjectAfter is the number of consecutive failures that eject a target.
	EjectAfter int
	// Silence is the least time without any response, while calls are in
	// flight, after which a target counts as silent.
	Silence time.Duration
	// ProbeMin and ProbeMax bound the back-off between an ejection and the
	// next probe. The back-off doubles with each failed probe.
	ProbeMin, ProbeMax time.Duration
	// LoadHalfLife is the age at which a reported load counts half.
	LoadHalfLife time.Duration
	// DomainFactor is how many times the cost of the best target elsewhere a
	// target of the node's own failure domain may cost and still be chosen.
	DomainFactor float64
	// FullUtilization is the share of the limit in use from which a target of the
	// node's own failure domain is no longer preferred by DomainFactor: calls
	// would wait there while slots are free elsewhere.
	FullUtilization float64
	// SaturatedFactor takes the place of DomainFactor from there on. At 1 calls
	// leave the failure domain for any difference, also when all targets are
	// equally full and nothing is gained.
	SaturatedFactor float64
	// MaxLatencyFactor bounds the influence of latency, so that a target with one
	// slow response still gets the calls that correct its average.
	MaxLatencyFactor float64
}
