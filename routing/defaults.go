package routing

import "time"

// Defaults of Options and PickInput.
const (
	// DefaultSubsetSize bounds the number of targets of a service that a node
	// connects to.
	DefaultSubsetSize = 8
	// DefaultEjectAfter tolerates the few failures that one crash or one
	// broken connection causes at light load.
	DefaultEjectAfter = 5
	// DefaultSilenceTimeout is longer than any queue timeout, so that a target whose
	// calls are only queued does not count as unresponsive.
	DefaultSilenceTimeout  = time.Second
	DefaultMinProbeBackoff = 500 * time.Millisecond
	DefaultMaxProbeBackoff = 8 * time.Second
	// DefaultLoadHalfLife is a few round trips, within which calls of other nodes
	// change a target's load.
	DefaultLoadHalfLife    = 200 * time.Millisecond
	DefaultDomainFactor    = 2.0
	DefaultFullUtilization = 0.8
	DefaultSaturatedFactor = 1.0
	// DefaultMaxLatencyFactor exceeds the difference in speed between healthy
	// targets.
	DefaultMaxLatencyFactor = 4.0
)

func (o *Options) applyDefaults() {
	setDefault(&o.EjectAfter, DefaultEjectAfter)
	setDefault(&o.SilenceTimeout, DefaultSilenceTimeout)
	setDefault(&o.MinProbeBackoff, DefaultMinProbeBackoff)
	setDefault(&o.MaxProbeBackoff, DefaultMaxProbeBackoff)
	setDefault(&o.LoadHalfLife, DefaultLoadHalfLife)
	setDefault(&o.DomainFactor, DefaultDomainFactor)
	setDefault(&o.FullUtilization, DefaultFullUtilization)
	setDefault(&o.SaturatedFactor, DefaultSaturatedFactor)
	setDefault(&o.MaxLatencyFactor, DefaultMaxLatencyFactor)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
