package routing

import "time"

// Options configures a Table. Zero fields are set to their defaults.
type Options struct {
	// Node is the name of the calling node. Nodes with different names use different
	// subsets.
	Node string
	// EjectAfter is the number of consecutive failures that eject a target.
	EjectAfter int
	// SilenceTimeout is the minimum time without any response, while calls are in
	// flight, after which a target counts as unresponsive.
	SilenceTimeout time.Duration
	// MinProbeBackoff and MaxProbeBackoff bound the back-off between an ejection and
	// the next probe. The back-off doubles with each failed probe.
	MinProbeBackoff, MaxProbeBackoff time.Duration
	// AssumeReadyAfter is the time after which a target that the membership reports as
	// starting is tried. In a large cluster in which many members change at once, the
	// news that it is ready takes longer than it does to become ready, and its node
	// refuses the call if it is not. 0 waits for the news.
	AssumeReadyAfter time.Duration
	// LoadHalfLife is the age at which a reported load counts half.
	LoadHalfLife time.Duration
	// DomainFactor is the ratio by which the cost of a target in the node's own
	// failure domain may exceed that of the best remote target and still be chosen.
	DomainFactor float64
	// FullUtilization is the utilization at which DomainFactor stops applying to a
	// target in the node's own failure domain, because calls would queue there while
	// remote targets have free slots.
	FullUtilization float64
	// SaturatedFactor replaces DomainFactor at and above FullUtilization. At 1, any
	// difference in cost moves calls out of the failure domain, even if all targets
	// are equally loaded and nothing is gained.
	SaturatedFactor float64
	// MaxLatencyFactor bounds the effect of latency on the cost, so that a target
	// with one slow response still gets calls that correct its average.
	MaxLatencyFactor float64
}
